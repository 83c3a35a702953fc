package estimate

import (
	"unsafe"

	"chutechute/statement/syntax"
)

// numberKind is how a numeric feature is computed from the values of a statement.
type numberKind uint8

const (
	rangeWidth     numberKind = iota // of a range: log of 1 + the distance of its bounds
	intervalLength                   // of an interval: log of 1 + its seconds
	listLength                       // of a list: log of the number of its values
	rowLimit                         // of LIMIT: log of 1 + the number
	insertedRows                     // of VALUES: log of the number of rows
	openBound                        // of a range open on one side: the bound itself
	patternPrefix                    // of a LIKE pattern: bytes before its first wildcard
	numberKinds                      // the number of kinds
)

// priorSlopes are the assumed effects of numeric features on the log of a cost, before any measurement.
var priorSlopes = [numberKinds]float64{
	rangeWidth:     0.5,
	intervalLength: 0.5,
	listLength:     0.7,
	rowLimit:       0.2,
	insertedRows:   0.7,
	patternPrefix:  -0.2,
}

// numericFeature is a feature that is computed from one value or, for a width, from two.
type numericFeature struct {
	kind                   numberKind
	valueIndex, upperIndex int // indexes of values of the statement; upperIndex is for rangeWidth
}

// FeaturePlan says which values of the statements of one shape are features.
type FeaturePlan struct {
	numbers    []numericFeature
	categories []int // indexes of the values whose frequent contents matter
}

// NewFeaturePlan returns the plan of a shape whose statements have so many values. Of the numeric features, those that
// tell most of a cost come first, since there are at most MaxNumbers.
func NewFeaturePlan(facts *syntax.Facts, valueCount int) FeaturePlan {
	var p FeaturePlan
	paired := map[int]bool{}
	p.addWidths(facts.Predicates, paired, valueCount)
	for _, predicate := range facts.Predicates {
		if predicate.Op == syntax.In {
			p.addNumber(listLength, predicate.Value, 0, valueCount)
		}
	}
	if facts.Verb == "insert" || facts.Verb == "values" {
		p.addNumber(insertedRows, 0, 0, valueCount)
	}
	p.addNumber(rowLimit, facts.LimitValue, 0, valueCount)
	for i, predicate := range facts.Predicates {
		switch predicate.Op {
		case syntax.Like:
			p.addNumber(patternPrefix, predicate.Value, 0, valueCount)
		case syntax.Greater, syntax.Less:
			if !paired[i] {
				p.addNumber(openBound, predicate.Value, 0, valueCount)
			}
		case syntax.Equal, syntax.In:
			p.addCategory(predicate.Value, valueCount)
		}
	}
	return p
}

// addWidths adds the widths of ranges and the lengths of intervals. It records in paired, by index, the predicates that
// are the two bounds of one range.
func (p *FeaturePlan) addWidths(predicates []syntax.Predicate, paired map[int]bool, valueCount int) {
	for i, predicate := range predicates {
		switch predicate.Op {
		case syntax.Between:
			p.addNumber(rangeWidth, predicate.Value, predicate.Upper, valueCount)
		case syntax.Interval:
			p.addNumber(intervalLength, predicate.Value, 0, valueCount)
		case syntax.Greater, syntax.Less:
			if other := findOtherBound(predicates, i, paired); other >= 0 {
				p.addNumber(rangeWidth, predicates[other].Value, predicate.Value, valueCount)
				paired[i], paired[other] = true, true
			}
		}
	}
}

// findOtherBound returns the index of the first predicate before a bound that is the opposite bound of the same column
// and not yet paired, or -1.
func findOtherBound(predicates []syntax.Predicate, index int, paired map[int]bool) int {
	bound := predicates[index]
	for i, other := range predicates[:index] {
		if other.Column == bound.Column && other.Op != bound.Op && !paired[i] &&
			(other.Op == syntax.Greater || other.Op == syntax.Less) {
			return i
		}
	}
	return -1
}

// addNumber adds a numeric feature of one or two values, by their indexes, unless there is no such value or there are
// MaxNumbers features.
func (p *FeaturePlan) addNumber(kind numberKind, valueIndex, upperIndex, valueCount int) {
	if valueIndex >= 0 && valueIndex < valueCount && upperIndex < valueCount && len(p.numbers) < MaxNumbers {
		p.numbers = append(p.numbers, numericFeature{kind, valueIndex, upperIndex})
	}
}

// addCategory adds a categorical feature unless there are MaxCategories.
func (p *FeaturePlan) addCategory(valueIndex, valueCount int) {
	if valueIndex < valueCount && len(p.categories) < MaxCategories {
		p.categories = append(p.categories, valueIndex)
	}
}

// Size returns the memory that the plan refers to, in bytes.
func (p *FeaturePlan) Size() int {
	const numberSize, categorySize = int(unsafe.Sizeof(numericFeature{})), int(unsafe.Sizeof(int(0)))
	return numberSize*cap(p.numbers) + categorySize*cap(p.categories)
}
