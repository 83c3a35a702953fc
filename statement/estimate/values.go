package estimate

import (
	"math"
	"strconv"
	"strings"
	"time"

	"chutechute/statement/lex"
	"chutechute/statement/shape"
)

// stringContent returns the text between the quotes of a string literal, in which escapes are not decoded. For any
// other value it returns the whole text of the value.
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

// maxNumberLength is the maximum length, in bytes, of a string that is parsed as a number.
const maxNumberLength = 40

// numericValue returns a value as a number, a date in seconds of Unix time. It returns NaN for a value that is neither
// a number nor a date.
func numericValue(text string, v shape.Value) float64 {
	if v.Kind == lex.Parameter {
		return math.NaN()
	}
	s := stringContent(text, v)
	if len(s) > maxNumberLength {
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

// parseDate parses a date of the form YYYY-MM-DD, optionally followed by HH:MM or HH:MM:SS, as seconds of Unix time.
func parseDate(s string) (float64, bool) {
	if len(s) < 10 || s[4] != '-' || s[7] != '-' {
		return 0, false
	}
	year, month, day := parseDigits(s[:4]), parseDigits(s[5:7]), parseDigits(s[8:10])
	if year < 0 || month < 1 || day < 1 || month > 12 || day > 31 {
		return 0, false
	}
	seconds := float64(time.Date(year, time.Month(month), day, 0, 0, 0, 0, time.UTC).Unix())
	if len(s) >= 16 && s[13] == ':' {
		seconds += float64(max(0, parseDigits(s[11:13]))*3600 + max(0, parseDigits(s[14:16]))*60)
	}
	if len(s) >= 19 && s[16] == ':' {
		seconds += float64(max(0, parseDigits(s[17:19])))
	}
	return seconds, true
}

// parseDigits parses a number that consists of digits only. It returns -1 for anything else.
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

// intervalSeconds parses an interval such as '7 days 3 hours' and returns its absolute value in seconds. It returns NaN
// for anything else.
func intervalSeconds(s string) float64 {
	total, number := 0.0, math.NaN() // number waits for its unit; NaN before the first
	for word := range strings.FieldsSeq(s) {
		if x, err := strconv.ParseFloat(word, 64); err == nil {
			number = x
			continue
		}
		unit, ok := unitSeconds(strings.TrimSuffix(word, "s"))
		if !ok {
			return math.NaN()
		}
		total, number = total+number*unit, 0
	}
	if number != 0 { // a number without a unit; NaN if there was none
		total += number
	}
	return math.Abs(total)
}

// unitSeconds returns the length, in seconds, of a unit of time in the singular. ok is false for an unknown unit.
func unitSeconds(unit string) (seconds float64, ok bool) {
	const day = 24 * 3600
	switch unit {
	case "second", "sec":
		return 1, true
	case "minute", "min":
		return 60, true
	case "hour":
		return 3600, true
	case "day":
		return day, true
	case "week":
		return 7 * day, true
	case "month", "mon":
		return 30 * day, true
	case "year":
		return 365 * day, true
	}
	return 0, false
}

// literalPrefixLength returns the number of bytes before the first wildcard of a LIKE pattern.
func literalPrefixLength(s string) int {
	if i := strings.IndexAny(s, "%_"); i >= 0 {
		return i
	}
	return len(s)
}
