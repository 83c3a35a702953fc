package estimate

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"chutechute/statement/lex"
	"chutechute/statement/shape"
)

// Maximum numbers of features of a shape.
const (
	MaxNumbers    = 4
	MaxCategories = 2
)

// Features are the inputs of a model's prediction: numbers, which are NaN if unknown, and hashes of categorical values,
// which are 0 if unknown.
type Features struct {
	Numbers    [MaxNumbers]float64
	Categories [MaxCategories]uint32
}

// Features returns the features of a statement of the plan's shape from its text, its values and the number of rows in
// its VALUES lists. It does not allocate.
func (p *FeaturePlan) Features(text string, values []shape.Value, rowCount int) (f Features) {
	for i := range f.Numbers {
		f.Numbers[i] = math.NaN()
	}
	for i, feature := range p.numbers {
		v := values[feature.valueIndex]
		switch feature.kind {
		case rangeWidth:
			f.Numbers[i] = math.Log1p(math.Abs(numericValue(text, values[feature.upperIndex]) - numericValue(text, v)))
		case intervalLength:
			f.Numbers[i] = math.Log1p(intervalSeconds(stringContent(text, v)))
		case listLength:
			f.Numbers[i] = math.Log(float64(v.Count))
		case insertedRows:
			f.Numbers[i] = math.Log(float64(max(1, rowCount)))
		case rowLimit:
			f.Numbers[i] = math.Log1p(numericValue(text, v))
		case openBound:
			f.Numbers[i] = numericValue(text, v)
		case patternPrefix:
			if v.Kind == lex.String {
				f.Numbers[i] = float64(literalPrefixLength(stringContent(text, v)))
			}
		}
	}
	for i, index := range p.categories {
		if v := values[index]; v.Kind != lex.Parameter && v.Count == 1 {
			f.Categories[i] = uint32(xxhash.Sum64String(text[v.Start:v.End])) | 1 // never 0
		}
	}
	return f
}
