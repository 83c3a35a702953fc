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

// constants can be used in expressions by name.
var constants = map[string]float64{
	"secondsADay":   86400,
	"changesEach":   2,                  // changes of the view for each failed or restarted machine: it leaves and rejoins
	"loadOneIn":     20,                 // one statement in 20 is a load, as QUESTIONS.md assumes
	"socketsEach":   3,                  // limits.sockets per client connection: clients get a third of the sockets
	"largestFrame":  discovery.MaxFrame, // bytes of an endpoint list
	"usersFronts":   2700,
	"usersEngines":  34000,
	"usersZones":    23,
	"usersMachines": 53,
	"usersClients":  22_000_000,
	"usersQueries":  2_700_000, // per second
	"usersChanges":  26000,     // of configuration, per day
	"usersFailures": 140,       // per day
	"usersRestarts": 3000,      // per day
	"usersBytes":    11,        // kB/s of control traffic per front end
	"nearOneCore":   2048,      // engines, the size next to the one at which a core is saturated
}

// unitFactors are the only number literals that expressions can calculate with. Elsewhere a literal can only be the x
// argument of a function.
var unitFactors = []float64{10, 1000, 10_000, 1_000_000}

// A calculator evaluates the expressions of the page's figures. They consist of numbers, + - * /, parentheses, the ids
// of earlier rows, the names of constants and these functions:
//
//	mean(file, axis, x, figure)   the mean of a file's points at x
//	most(file, axis, x, figure)   the largest of a file's points at x
//	point(file, figure)           the mean of all points of a file that have the figure
//	peak(file, figure)            the largest of all points of a file that have the figure
//	largest(file, axis)           the largest x of a file's points on the axis
//	slope(file, axis, figure)     the slope of the straight line through all points
//	at(file, axis, figure, x)     the value at x of the fit through all points, extrapolated if x is beyond them
//	sizes(files, figure, x)       the value at x of the fit through several files, by their numbers of front ends;
//	                              files is a pattern ("baseline-*"), figure a name as chutechute-scale fit prints it
//	role(file, role, figure)      a figure of a role, by its key in the file
//	spread(file, figure)          a figure of how long changes took to spread, by its key in the file
//	field(file, key)              another number of a file
type calculator struct {
	results   results
	values    map[string]float64 // of earlier rows, as rounded on the page
	usedFiles map[string]bool
	used      map[string]bool // rows that other rows' expressions use
	fits      []string        // of the row being evaluated
}

func (c *calculator) usedRows() map[string]bool {
	if c.used == nil {
		c.used = map[string]bool{}
	}
	return c.used
}

// evaluateRow returns the row with the figure and fit computed from the result files.
func (c *calculator) evaluateRow(row figureRow) (figureRow, error) {
	c.fits = nil
	tree, err := parser.ParseExpr(row.expression)
	if err != nil {
		return row, fmt.Errorf("expression: %w", err)
	}
	if _, bare := tree.(*ast.BasicLit); bare {
		return row, errors.New("a bare number is not a source")
	}
	value, err := c.evaluate(tree)
	if err != nil {
		return row, err
	}
	step, err := strconv.ParseFloat(row.step, 64)
	if err != nil || step <= 0 {
		return row, fmt.Errorf("step %q is not a positive number", row.step)
	}
	rounded, text := roundToStep(value, step)
	c.values[row.id] = rounded
	row.figure = text + strings.TrimPrefix(row.figure, number.FindString(row.figure))
	row.fit = strings.Join(c.fits, "; ")
	return row, nil
}

// roundToStep rounds value to a multiple of step. It also returns the text, with as many decimals as step has and
// commas between thousands.
func roundToStep(value, step float64) (float64, string) {
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

func (c *calculator) evaluate(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.BasicLit:
		return strconv.ParseFloat(strings.ReplaceAll(e.Value, "_", ""), 64)
	case *ast.ParenExpr:
		return c.evaluate(e.X)
	case *ast.Ident:
		if value, ok := constants[e.Name]; ok {
			return value, nil
		}
		value, ok := c.values[e.Name]
		if !ok {
			return 0, fmt.Errorf("no earlier row %q", e.Name)
		}
		c.usedRows()[e.Name] = true
		return value, nil
	case *ast.BinaryExpr:
		return c.evaluateBinary(e)
	case *ast.CallExpr:
		return c.evaluateCall(e)
	}
	return 0, fmt.Errorf("unsupported %T in expression", e)
}

func (c *calculator) evaluateBinary(e *ast.BinaryExpr) (float64, error) {
	a, err := c.evaluate(e.X)
	if err != nil {
		return 0, err
	}
	b, err := c.evaluate(e.Y)
	if err != nil {
		return 0, err
	}
	for side, value := range map[ast.Expr]float64{e.X: a, e.Y: b} {
		if _, bare := side.(*ast.BasicLit); bare && !slices.Contains(unitFactors, value) {
			return 0, fmt.Errorf("%g is not a unit factor: a number without a source", value)
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
	return 0, fmt.Errorf("unsupported operator %s in expression", e.Op)
}

// evaluateArguments returns a call's string arguments and the values of its other arguments, each in order.
func (c *calculator) evaluateArguments(e *ast.CallExpr) (texts []string, numbers []float64, err error) {
	for _, argument := range e.Args {
		if literal, ok := argument.(*ast.BasicLit); ok && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			if err != nil {
				return nil, nil, err
			}
			texts = append(texts, text)
			continue
		}
		value, err := c.evaluate(argument)
		if err != nil {
			return nil, nil, err
		}
		numbers = append(numbers, value)
	}
	return texts, numbers, nil
}

func (c *calculator) evaluateCall(e *ast.CallExpr) (float64, error) {
	texts, numbers, err := c.evaluateArguments(e)
	if err != nil {
		return 0, err
	}
	name := fmt.Sprint(e.Fun)
	if name == "sizes" && len(texts) == 2 && len(numbers) == 1 {
		return c.evaluateFitAcrossFiles(texts[0], texts[1], numbers[0])
	}
	wanted, known := map[string][2]int{"mean": {3, 1}, "most": {3, 1}, "slope": {3, 0}, "at": {3, 1}, "role": {3, 0},
		"spread": {2, 0}, "field": {2, 0}, "largest": {2, 0}, "point": {2, 0}, "peak": {2, 0}}[name]
	if !known || len(texts) != wanted[0] || len(numbers) != wanted[1] {
		return 0, fmt.Errorf("no function %s with %d string and %d number arguments", name, len(texts), len(numbers))
	}
	result := c.results.byName[texts[0]]
	if result == nil {
		return 0, fmt.Errorf("no result file %q", texts[0])
	}
	c.usedFiles[texts[0]] = true
	switch name {
	case "mean", "most":
		return aggregateAt(result, name, texts[1], numbers[0], texts[2])
	case "slope", "at":
		fit, ok := scale.FitSamples(texts[2], "", samples(result, texts[1], texts[2]))
		if !ok {
			return 0, fmt.Errorf("%q has too few sizes for a fit", texts)
		}
		if name == "slope" {
			c.fits = append(c.fits, describeFit(fit, "linear", 0))
			return fit.Linear.Slope, nil
		}
		value, law, beyond := fit.Estimate(numbers[0])
		c.fits = append(c.fits, describeFit(fit, law, beyond))
		return value, nil
	case "point", "peak":
		return aggregateAll(result, name, texts[1])
	case "largest":
		return largestX(result, texts[1])
	case "role":
		for _, role := range result.Roles {
			if role.Role == texts[1] {
				return numberField(role, texts[2])
			}
		}
		return 0, fmt.Errorf("no role %q", texts[1])
	case "spread":
		return numberField(result.Spread, texts[1])
	}
	return numberField(result, texts[1])
}

// evaluateFitAcrossFiles returns a figure at size x from the fit through the result files whose names match pattern.
func (c *calculator) evaluateFitAcrossFiles(pattern, figure string, x float64) (float64, error) {
	var list []*scale.Result
	for _, name := range slices.Sorted(maps.Keys(c.results.byName)) {
		if match, err := path.Match(pattern, name); err != nil {
			return 0, err
		} else if match {
			list = append(list, c.results.byName[name])
			c.usedFiles[name] = true
		}
	}
	for _, fit := range scale.FitResults(list) {
		if fit.Figure == figure {
			value, law, beyond := fit.Estimate(x)
			c.fits = append(c.fits, describeFit(fit, law, beyond))
			return value, nil
		}
	}
	return 0, fmt.Errorf("no fit of %q through the files %q", figure, pattern)
}

// samples returns the points of a result on an axis that have the figure.
func samples(result *scale.Result, axis, figure string) (list []scale.Sample) {
	for _, point := range result.Points {
		if value, ok := point.Figures[figure]; ok && point.Axis == axis {
			list = append(list, scale.Sample{X: point.X, Y: value})
		}
	}
	return list
}

// aggregateAt returns the largest (function "most") or the mean of a figure over the points at x.
func aggregateAt(result *scale.Result, function, axis string, x float64, figure string) (float64, error) {
	sum, most, count := 0.0, math.Inf(-1), 0
	for _, sample := range samples(result, axis, figure) {
		if sample.X == x {
			sum, most, count = sum+sample.Y, max(most, sample.Y), count+1
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("no point with %s %g and %q", axis, x, figure)
	}
	if function == "most" {
		return most, nil
	}
	return sum / float64(count), nil
}

// aggregateAll returns the largest (function "peak") or the mean of a figure over all points that have it.
func aggregateAll(result *scale.Result, function, figure string) (float64, error) {
	sum, most, count := 0.0, math.Inf(-1), 0
	for _, point := range result.Points {
		if value, ok := point.Figures[figure]; ok {
			sum, most, count = sum+value, max(most, value), count+1
		}
	}
	if count == 0 {
		return 0, fmt.Errorf("no point with %q", figure)
	}
	if function == "peak" {
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

// describeFit returns the text of a row's column "fit": the law, the residual (as a percentage for a power law, else in
// the unit of the result file), the range of measured sizes, and how far beyond it the value is extrapolated.
func describeFit(fit scale.Fit, law string, beyond float64) string {
	line, misses := &fit.Linear, ""
	if law == "power" {
		line = fit.Power
		misses = fmt.Sprintf("%.0f%%", 100*line.Residual)
	} else {
		misses = fmt.Sprintf("%.3g", line.Residual)
	}
	_, from := roundToStep(fit.From, 1)
	_, to := roundToStep(fit.To, 1)
	text := fmt.Sprintf("%s, misses %s, %s to %s", law, misses, from, to)
	if beyond > 1 {
		text += fmt.Sprintf(", %.2g times beyond", beyond)
	}
	return text
}

// numberField returns the number that v has under a JSON key.
func numberField(v any, key string) (float64, error) {
	text, err := json.Marshal(v)
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

// decodeResult decodes a result file. Unknown fields and a missing name are errors.
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

// describeFile returns the row that a result file must have. Its scatter is the largest difference between two runs of
// the same size, for the median figure and for the figure with the largest difference.
func describeFile(name string, result *scale.Result, digest string) fileRow {
	points, unit := len(result.Points), "points"
	scatter := "one run"
	if points == 0 {
		points, unit = result.FrontEnds, "front ends, "+result.Mode
	}
	var differ []float64
	for _, fit := range scale.FitResults([]*scale.Result{result}) {
		differ = append(differ, fit.MaxRepeatDifference)
	}
	slices.Sort(differ)
	if len(differ) > 0 && differ[len(differ)-1] > 0 {
		scatter = fmt.Sprintf("%.0f%%, %.0f%%", 100*differ[len(differ)/2], 100*differ[len(differ)-1])
	}
	return fileRow{name, result.Date, spaces.ReplaceAllString(fmt.Sprintf("%d %s", points, unit), " "), scatter, digest}
}
