package docs

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"math"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"chutechute/internal/discovery"
	"chutechute/internal/scale"
)

// constants may stand in expressions by their names.
var constants = map[string]float64{
	"secondsADay":   86400,
	"changesEach":   2,                  // of the view, for a machine that fails or is restarted: it goes, and it comes
	"loadOneIn":     20,                 // statements, as QUESTIONS.md takes it
	"socketsEach":   3,                  // of limits.sockets for a client connection: clients get a third
	"largestFrame":  discovery.MaxFrame, // bytes of a list
	"usersFronts":   2700,
	"usersEngines":  34000,
	"usersZones":    23,
	"usersMachines": 53,
	"usersClients":  22_000_000,
	"usersQueries":  2_700_000, // a second
	"usersChanges":  26000,     // of configuration a day
	"usersFailures": 140,       // a day
	"usersRestarts": 3000,      // a day
	"usersBytes":    11,        // thousands a second, of control, of a front end
	"nearOneCore":   2048,      // engines, the size next to which a core is full
}

// units are the only bare numbers that expressions reckon with; other numbers are the x of a figure.
var units = []float64{10, 1000, 10_000, 1_000_000}

// A calculator works out the expressions of the page's figures: numbers, + - * /, brackets, the ids of earlier
// rows, and
//
//	mean(file, axis, x, figure)   the mean of a file's points at x
//	most(file, axis, x, figure)   the largest of them
//	point(file, figure)           the mean of all points of a file that have a figure
//	peak(file, figure)            the largest of them
//	largest(file, axis)           the largest x of a file's points
//	slope(file, axis, figure)     of the straight line through all points
//	at(file, axis, figure, x)     of the fit through all points, extrapolated where x lies beyond them
//	sizes(files, figure, x)       of the fit through several files, "baseline-*", by their numbers of front ends; figures as the tool's
//	                              fit names them
//	role(file, role, figure)      of a role, by its key in the file
//	spread(file, figure)          of how long changes took
//	field(file, key)              another number of a file
//
// and the names of constants.
type calculator struct {
	results   results
	values    map[string]float64 // of the rows before, as rounded on the page
	usedFiles map[string]bool
	used      map[string]bool // rows that others are worked out from
	fits      []string        // of the row at hand
}

func (c *calculator) usedRows() map[string]bool {
	if c.used == nil {
		c.used = map[string]bool{}
	}
	return c.used
}

// row gives a row as the result files have it.
func (c *calculator) row(row figureRow) (figureRow, error) {
	c.fits = nil
	tree, err := parser.ParseExpr(row.from)
	if err != nil {
		return row, fmt.Errorf("expression: %w", err)
	}
	if _, bare := tree.(*ast.BasicLit); bare {
		return row, errors.New("a bare number is no source")
	}
	value, err := c.value(tree)
	if err != nil {
		return row, err
	}
	step, err := strconv.ParseFloat(row.step, 64)
	if err != nil || step <= 0 {
		return row, fmt.Errorf("step %q is no number above 0", row.step)
	}
	rounded, text := round(value, step)
	c.values[row.id] = rounded
	row.figure = text + strings.TrimPrefix(row.figure, number.FindString(row.figure))
	row.fit = strings.Join(c.fits, "; ")
	return row, nil
}

// round gives a value as a multiple of a step, and its text with as many decimals as the step has.
func round(value, step float64) (float64, string) {
	_, decimals, _ := strings.Cut(strconv.FormatFloat(step, 'f', -1, 64), ".")
	text := strconv.FormatFloat(math.Round(value/step)*step, 'f', len(decimals), 64)
	rounded, _ := strconv.ParseFloat(text, 64)
	whole, fraction, _ := strings.Cut(text, ".")
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if fraction != "" {
		whole += "." + fraction
	}
	return rounded, whole
}

func (c *calculator) value(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
	case *ast.ParenExpr:
		return c.value(e.X)
	case *ast.Ident:
		if value, ok := constants[e.Name]; ok {
			return value, nil
		}
		value, ok := c.values[e.Name]
		if !ok {
			return 0, fmt.Errorf("no row %q before", e.Name)
		}
		c.usedRows()[e.Name] = true
		return value, nil
	case *ast.BinaryExpr:
		return c.binary(e)
	case *ast.CallExpr:
		return c.call(e)
	}
	return 0, fmt.Errorf("expression has a %T", e)
}

func (c *calculator) binary(e *ast.BinaryExpr) (float64, error) {
	a, err := c.value(e.X)
	if err != nil {
		return 0, err
	}
	b, err := c.value(e.Y)
	if err != nil {
		return 0, err
	}
	for side, value := range map[ast.Expr]float64{e.X: a, e.Y: b} {
		if _, bare := side.(*ast.BasicLit); bare && !slices.Contains(units, value) {
			return 0, fmt.Errorf("%g is no unit: a number without a source", value)
		}
	}
	switch e.Op {
	case token.ADD:
		return a + b, nil
	case token.SUB:
		return a - b, nil
	case token.MUL:
		return a * b, nil
	case token.QUO:
		return a / b, nil
	}
	return 0, fmt.Errorf("expression has a %s", e.Op)
}

// arguments takes a call's arguments: texts, and numbers by an expression.
func (c *calculator) arguments(e *ast.CallExpr) (texts []string, numbers []float64, err error) {
	for _, argument := range e.Args {
		if literal, ok := argument.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				return nil, nil, err
			}
			texts = append(texts, text)
			continue
		}
		value, err := c.value(argument)
		if err != nil {
			return nil, nil, err
		}
		numbers = append(numbers, value)
	}
	return texts, numbers, nil
}

func (c *calculator) call(e *ast.CallExpr) (float64, error) {
	texts, numbers, err := c.arguments(e)
	if err != nil {
		return 0, err
	}
	name := fmt.Sprint(e.Fun)
	if name == "sizes" && len(texts) == 2 && len(numbers) == 1 {
		return c.sizes(texts[0], texts[1], numbers[0])
	}
	wanted, known := map[string][2]int{"mean": {3, 1}, "most": {3, 1}, "slope": {3, 0}, "at": {3, 1}, "role": {3, 0}, "spread": {2, 0},
		"field": {2, 0}, "largest": {2, 0}, "point": {2, 0}, "peak": {2, 0}}[name]
	if !known || len(texts) != wanted[0] || len(numbers) != wanted[1] {
		return 0, fmt.Errorf("no %s of %d texts and %d numbers", name, len(texts), len(numbers))
	}
	result := c.results.byName[texts[0]]
	if result == nil {
		return 0, fmt.Errorf("no result file %q", texts[0])
	}
	c.usedFiles[texts[0]] = true
	switch name {
	case "mean", "most":
		return pointsAt(result, name, texts[1], numbers[0], texts[2])
	case "slope", "at":
		fit, ok := scale.FitOf(texts[2], "", samples(result, texts[1], texts[2]))
		if !ok {
			return 0, fmt.Errorf("%q has too few sizes for a fit", texts)
		}
		if name == "slope" {
			c.fits = append(c.fits, fitText(fit, "linear", 0))
			return fit.Linear.Slope, nil
		}
		value, law, beyond := fit.At(numbers[0])
		c.fits = append(c.fits, fitText(fit, law, beyond))
		return value, nil
	case "point", "peak":
		return pointsWith(result, name, texts[1])
	case "largest":
		return largestX(result, texts[1])
	case "role":
		for _, role := range result.Roles {
			if role.Role == texts[1] {
				return keyOf(role, texts[2])
			}
		}
		return 0, fmt.Errorf("no role %q", texts[1])
	case "spread":
		return keyOf(result.Spread, texts[1])
	}
	return keyOf(result, texts[1])
}

// sizes is a figure at a size by the fit through several result files.
func (c *calculator) sizes(pattern, figure string, x float64) (float64, error) {
	var list []*scale.Result
	for _, name := range slices.Sorted(maps.Keys(c.results.byName)) {
		if match, err := path.Match(pattern, name); err != nil {
			return 0, err
		} else if match {
			list = append(list, c.results.byName[name])
			c.usedFiles[name] = true
		}
	}
	for _, fit := range scale.Fits(list) {
		if fit.Figure == figure {
			value, law, beyond := fit.At(x)
			c.fits = append(c.fits, fitText(fit, law, beyond))
			return value, nil
		}
	}
	return 0, fmt.Errorf("no fit of %q through %q", figure, pattern)
}

func samples(result *scale.Result, axis, figure string) (list []scale.Sample) {
	for _, point := range result.Points {
		if value, ok := point.Figures[figure]; ok && point.Axis == axis {
			list = append(list, scale.Sample{X: point.X, Y: value})
		}
	}
	return list
}

func pointsAt(result *scale.Result, which, axis string, x float64, figure string) (float64, error) {
	sum, most, count := 0.0, math.Inf(-1), 0
	for _, sample := range samples(result, axis, figure) {
		if sample.X == x {
			sum, most, count = sum+sample.Y, max(most, sample.Y), count+1
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("no point with %s %g and %q", axis, x, figure)
	}
	if which == "most" {
		return most, nil
	}
	return sum / float64(count), nil
}

func pointsWith(result *scale.Result, which, figure string) (float64, error) {
	sum, most, count := 0.0, math.Inf(-1), 0
	for _, point := range result.Points {
		if value, ok := point.Figures[figure]; ok {
			sum, most, count = sum+value, max(most, value), count+1
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("no point with %q", figure)
	}
	if which == "peak" {
		return most, nil
	}
	return sum / float64(count), nil
}

func largestX(result *scale.Result, axis string) (float64, error) {
	largest := math.Inf(-1)
	for _, point := range result.Points {
		if point.Axis == axis {
			largest = max(largest, point.X)
		}
	}
	if math.IsInf(largest, -1) {
		return 0, fmt.Errorf("no points of %q", axis)
	}
	return largest, nil
}

// fitText is how a row tells of its fit: the law, what it misses as a share of the value or in the figure's unit,
// and the range.
func fitText(fit scale.Fit, law string, beyond float64) string {
	line, misses := &fit.Linear, ""
	if law == "power" {
		line = fit.Power
		misses = fmt.Sprintf("%.0f%%", 100*line.Residual)
	} else {
		misses = fmt.Sprintf("%.3g", line.Residual)
	}
	_, from := round(fit.From, 1)
	_, to := round(fit.To, 1)
	text := fmt.Sprintf("%s, misses %s, %s to %s", law, misses, from, to)
	if beyond > 1 {
		text += fmt.Sprintf(", %.2g times beyond", beyond)
	}
	return text
}

// keyOf is a number of a result by its key in the file.
func keyOf(of any, key string) (float64, error) {
	text, err := json.Marshal(of)
	if err != nil {
		return 0, err
	}
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return 0, err
	}
	value, ok := keys[key].(float64)
	if !ok {
		return 0, fmt.Errorf("no number %q", key)
	}
	return value, nil
}

func decodeResult(text []byte) (*scale.Result, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	result := &scale.Result{}
	if err := decoder.Decode(result); err != nil {
		return nil, err
	}
	if result.Name == "" {
		return nil, errors.New("has no name")
	}
	return result, nil
}

var spaces = regexp.MustCompile(`\s+`)

// describe is a result file's row. Scatter is the largest difference between two runs of one size: of the figure in
// the middle, and of the one that differs most.
func describe(name string, result *scale.Result, digest string) fileRow {
	points, unit := len(result.Points), "points"
	scatter := "one run"
	if points == 0 {
		points, unit = result.FrontEnds, "front ends, "+result.Mode
	}
	var differ []float64
	for _, fit := range scale.Fits([]*scale.Result{result}) {
		differ = append(differ, fit.RepeatDiffers)
	}
	slices.Sort(differ)
	if len(differ) > 0 && differ[len(differ)-1] > 0 {
		scatter = fmt.Sprintf("%.0f%%, %.0f%%", 100*differ[len(differ)/2], 100*differ[len(differ)-1])
	}
	return fileRow{name, result.Date, spaces.ReplaceAllString(fmt.Sprintf("%d %s", points, unit), " "), scatter, digest}
}
