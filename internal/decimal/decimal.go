// Package decimal reads figures that peers send as text.
package decimal

import (
	"fmt"
	"strconv"
	"strings"
)

// Parse reads a plain decimal number from 0 to most: no sign of a form that only Go reads, no infinity.
func Parse(text string, most float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !(x >= 0 && x <= most) || strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, fmt.Errorf("%.80q is no number from 0 to %g", text, most)
	}
	return x, nil
}
