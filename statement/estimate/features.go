package estimate

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"chutechute/statement/lex"
	"chutechute/statement/shape"
)

// Limits of the features of one shape.
const (
	MaxNumbers    = 4
	MaxCategories = 2
)

// Features are what a model predicts from: numbers, which are NaN where a value is not known, and hashes of
// categorical values, which are 0 there.
type Features struct {
	Numbers    [MaxNumbers]float64
	Categories [MaxCategories]uint32
}

// Features returns the features of one statement of the plan's shape, by its text, its values and the rows of its
// VALUES lists. It allocates nothing.
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
