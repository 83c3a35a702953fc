package estimate

import (
	"unsafe"

	"chutechute/statement/syntax"
)

// numberKind defines how a numeric feature is computed from the values of a statement.
type numberKind uint8

const (
	rangeWidth     numberKind = iota // log of 1 + the distance between the bounds of a range
	intervalLength                   // log of 1 + the length of an interval in seconds
	listLength                       // log of the number of values in a list
	rowLimit                         // log of 1 + the number in LIMIT
	insertedRows                     // log of the number of rows in VALUES
	openBound                        // the bound of a range that is open on one side
	patternPrefix                    // number of bytes before the first wildcard of a LIKE pattern
	numberKinds                      // number of kinds
)

// priorSlopes are the effects of numeric features on the log of a cost that are assumed before any measurement.
var priorSlopes = [numberKinds]float64{
	rangeWidth:     0.5,
	intervalLength: 0.5,
	listLength:     0.7,
	rowLimit:       0.2,
	insertedRows:   0.7,
	patternPrefix:  -0.2,
}

// numericFeature is a feature that is computed from one value or, for rangeWidth, from two.
type numericFeature struct {
	kind                   numberKind
	valueIndex, upperIndex int // indexes of values of the statement; only rangeWidth uses upperIndex
}

// FeaturePlan defines which values of the statements of one shape are used as features.
type FeaturePlan struct {
	numbers    []numericFeature
	categories []int // indexes of the values that are categorical features
}

// NewFeaturePlan returns the plan of a shape whose statements have valueCount values. Numeric features are added in the
// order of their importance for the cost, since there are at most MaxNumbers.
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

// addWidths adds the widths of ranges and the lengths of intervals. Predicates that are together the two bounds of a
// range are recorded in paired by their indexes.
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

// findOtherBound returns the index of the first predicate before the given one that is the opposite bound of the same
// column and is not paired yet. It returns -1 if there is none.
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

// addNumber adds a numeric feature that uses the values with the given indexes. It does nothing if an index is out of
// range or if there are already MaxNumbers features.
func (p *FeaturePlan) addNumber(kind numberKind, valueIndex, upperIndex, valueCount int) {
	if valueIndex >= 0 && valueIndex < valueCount && upperIndex < valueCount && len(p.numbers) < MaxNumbers {
		p.numbers = append(p.numbers, numericFeature{kind, valueIndex, upperIndex})
	}
}

// addCategory adds a categorical feature unless there are already MaxCategories of them.
func (p *FeaturePlan) addCategory(valueIndex, valueCount int) {
	if valueIndex < valueCount && len(p.categories) < MaxCategories {
		p.categories = append(p.categories, valueIndex)
	}
}

// Size returns the size, in bytes, of the memory that the plan refers to.
func (p *FeaturePlan) Size() int {
	const numberSize, categorySize = int(unsafe.Sizeof(numericFeature{})), int(unsafe.Sizeof(int(0)))
	return numberSize*cap(p.numbers) + categorySize*cap(p.categories)
}
