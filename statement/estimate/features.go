// Package estimate learns what statements cost from what they turned out to cost.
//
// A Model belongs to one shape of statements and one quantity, cost or memory. It predicts from the values
// that a statement names, since one shape may be cheap with some values and dear with others, and gives an
// upper bound that widens where outcomes disagree. It does no I/O and reads no clock.
package estimate

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chutechute/statement/lex"
	"chutechute/statement/shape"
	"chutechute/statement/syntax"
)

// The most features of one shape.
const (
	MaxNumbers    = 4
	MaxCategories = 2
)

// numberKind is how a number is drawn from a statement's values.
type numberKind uint8

const (
	rangeWidth     numberKind = iota // of a range: log of 1 + the distance of its bounds
	intervalLength                   // of an interval: log of 1 + its seconds
	listLength                       // of a list: log of its length
	rowLimit                         // log of 1 + the number
	insertedRows                     // of VALUES: log of their number
	openBound                        // of a range open on one side: the bound itself
	patternPrefix                    // of a LIKE pattern: characters before its first wildcard
	numberKinds
)

// priorSlopes are what a number is held to do to the log of a cost before anything was seen.
var priorSlopes = [numberKinds]float64{rangeWidth: 0.5, intervalLength: 0.5, listLength: 0.7, rowLimit: 0.2, insertedRows: 0.7, patternPrefix: -0.2}

type numericFeature struct {
	kind                   numberKind
	valueIndex, upperIndex int // values of the statement
}

// FeaturePlan says which values of a shape's statements are features. It belongs to the shape.
type FeaturePlan struct {
	numbers    []numericFeature
	categories []int // values whose frequent contents matter
}

// NewFeaturePlan draws up the plan of a shape with so many values.
func NewFeaturePlan(f *syntax.Facts, values int) FeaturePlan {
	var p FeaturePlan
	add := func(k numberKind, at, upto int) {
		if at >= 0 && at < values && upto < values && len(p.numbers) < MaxNumbers {
			p.numbers = append(p.numbers, numericFeature{k, at, upto})
		}
	}
	paired := map[int]bool{}
	for i, q := range f.Predicates { // widths first: they tell the most
		switch q.Op {
		case syntax.Between:
			add(rangeWidth, q.Value, q.Upper)
		case syntax.Interval:
			add(intervalLength, q.Value, 0)
		case syntax.Greater, syntax.Less:
			for j, other := range f.Predicates[:i] {
				if other.Column == q.Column && other.Op != q.Op && !paired[j] &&
					(other.Op == syntax.Greater || other.Op == syntax.Less) {
					add(rangeWidth, other.Value, q.Value)
					paired[i], paired[j] = true, true
					break
				}
			}
		}
	}
	for _, q := range f.Predicates {
		if q.Op == syntax.In {
			add(listLength, q.Value, 0)
		}
	}
	if f.Verb == "insert" || f.Verb == "values" {
		add(insertedRows, 0, 0)
	}
	add(rowLimit, f.LimitValue, 0)
	for i, q := range f.Predicates {
		switch {
		case q.Op == syntax.Like:
			add(patternPrefix, q.Value, 0)
		case (q.Op == syntax.Greater || q.Op == syntax.Less) && !paired[i]:
			add(openBound, q.Value, 0)
		}
		if (q.Op == syntax.Equal || q.Op == syntax.In) && q.Value < values && len(p.categories) < MaxCategories {
			p.categories = append(p.categories, q.Value)
		}
	}
	return p
}

// Size is what the plan holds, in bytes.
func (p *FeaturePlan) Size() int { return 24*cap(p.numbers) + 8*cap(p.categories) }

// Features are what a model predicts from: numbers, which are NaN where a value is not known, and hashes of
// contents, which are 0 there.
type Features struct {
	Numbers    [MaxNumbers]float64
	Categories [MaxCategories]uint32
}

// Features draws the features of one statement of the plan's shape. It allocates nothing.
func (p *FeaturePlan) Features(text string, values []shape.Value, rowCount int) (f Features) {
	for i := range f.Numbers {
		f.Numbers[i] = math.NaN()
	}
	for i, n := range p.numbers {
		v := values[n.valueIndex]
		switch n.kind {
		case rangeWidth:
			f.Numbers[i] = math.Log1p(math.Abs(numericValue(text, values[n.upperIndex]) - numericValue(text, v)))
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
	for i, at := range p.categories {
		if v := values[at]; v.Kind != lex.Parameter && v.Count == 1 {
			f.Categories[i] = uint32(xxhash.Sum64String(text[v.Start:v.End])) | 1
		}
	}
	return f
}

// stringContent is what stands between the quotes of a text, as it stands there.
func stringContent(text string, v shape.Value) string {
	s := text[v.Start:v.End]
	if v.Kind != lex.String {
		return s
	}
	open := strings.IndexByte(s, '\'')
	if open < 0 || open+1 >= len(s) || s[len(s)-1] != '\'' {
		return s
	}
	return s[open+1 : len(s)-1]
}

// numericValue is a value as a number: that of a date is in seconds. It is NaN for anything else.
func numericValue(text string, v shape.Value) float64 {
	if v.Kind == lex.Parameter {
		return math.NaN()
	}
	s := stringContent(text, v)
	if len(s) > 40 {
		return math.NaN()
	}
	if v.Kind == lex.String {
		if x, ok := parseDate(s); ok {
			return x
		}
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsInf(x, 0) {
		return math.NaN()
	}
	if v.Negative {
		x = -x
	}
	return x
}

// parseDate reads YYYY-MM-DD, also with HH:MM or HH:MM:SS behind it, as seconds of Unix time.
func parseDate(s string) (float64, bool) {
	if len(s) < 10 || s[4] != '-' || s[7] != '-' {
		return 0, false
	}
	y, m, d := parseDigits(s[:4]), parseDigits(s[5:7]), parseDigits(s[8:10])
	if y < 0 || m < 1 || d < 1 || m > 12 || d > 31 {
		return 0, false
	}
	at := float64(time.Date(y, time.Month(m), d, 0, 0, 0, 0, time.UTC).Unix())
	if len(s) >= 16 && s[13] == ':' {
		at += float64(max(0, parseDigits(s[11:13]))*3600 + max(0, parseDigits(s[14:16]))*60)
	}
	if len(s) >= 19 && s[16] == ':' {
		at += float64(max(0, parseDigits(s[17:19])))
	}
	return at, true
}

// parseDigits is a number of digits alone, or -1.
func parseDigits(s string) int {
	n := 0
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return -1
		}
		n = n*10 + int(s[i]-'0')
	}
	return n
}

// intervalSeconds reads an interval such as '7 days 3 hours'; NaN where it can't.
func intervalSeconds(s string) float64 {
	total, n := 0.0, math.NaN()
	for word := range strings.FieldsSeq(s) {
		if x, err := strconv.ParseFloat(word, 64); err == nil {
			n = x
			continue
		}
		unit, ok := 0.0, true
		switch strings.TrimSuffix(word, "s") {
		case "second", "sec":
			unit = 1
		case "minute", "min":
			unit = 60
		case "hour":
			unit = 3600
		case "day":
			unit = 86400
		case "week":
			unit = 7 * 86400
		case "month", "mon":
			unit = 30 * 86400
		case "year":
			unit = 365 * 86400
		default:
			ok = false
		}
		if !ok {
			return math.NaN()
		}
		total, n = total+n*unit, 0
	}
	if n != 0 { // a number alone, or nothing
		total += n
	}
	return math.Abs(total)
}

// literalPrefixLength is how many bytes of a LIKE pattern stand before its first wildcard.
func literalPrefixLength(s string) int {
	if i := strings.IndexAny(s, "%_"); i >= 0 {
		return i
	}
	return len(s)
}
