// Package decimal reads the decimal numbers that clients and engines send as text.
package decimal

import (
	"fmt"
	"strconv"
	"strings"
)

// characters may appear in a plain decimal number. strconv accepts more, as in 0x1p-2, 1_000 or Inf.
const characters = "0123456789.eE+-"

// Parse reads a plain decimal number from 0 to limit. Its error quotes the text and has no prefix, because the caller
// adds what the number is.
func Parse(text string, limit float64) (float64, error) {
	number, err := strconv.ParseFloat(text, 64)
	inRange := number >= 0 && number <= limit // false for NaN
	if err != nil || !inRange || strings.Trim(text, characters) != "" {
		return 0, fmt.Errorf("%.80q is no number from 0 to %g", text, limit)
	}
	return number, nil
}
