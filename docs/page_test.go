package docs

import (
	"crypto/sha256"
	"fmt"
	"io/fs"
	"maps"
	"regexp"
	"slices"
	"strings"

	"chutechute/internal/scale"
)

// A capacityPage is docs/CAPACITY.md. Its text names each figure as `18.6 ms [d3]`; the table under "Figures" has a
// row for d3 with the figure, the step that it is rounded to, the expression that works it out of the result files,
// and the fit where it uses one; the table under "Files" has a row for each result file with a digest. Numbers
// without such a mark are the users' own, which stand in bold in the table under "What the users ask".
type capacityPage struct {
	text    string // all but the two tables of sources
	figures []figureRow
	files   []fileRow
	asked   []string // the users' own figures
}

// figureRow is one figure's source.
type figureRow struct{ id, figure, step, from, fit string }

// fileRow is one result file's.
type fileRow struct{ name, date, points, scatter, digest string }

const (
	askedHeading   = "## What the users ask"
	figuresHeading = "## Figures"
	filesHeading   = "## Files"
)

// sections divides a page at its headings of the second level.
func sections(page string) (list []string) {
	start := 0
	for _, at := range regexp.MustCompile(`(?m)^## `).FindAllStringIndex(page, -1) {
		list = append(list, page[start:at[0]])
		start = at[0]
	}
	return append(list, page[start:])
}

// cells gives the rows of a section's table without its head.
func cells(section string) (rows [][]string) {
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			continue
		}
		var row []string
		for _, cell := range strings.Split(strings.Trim(line, "|"), "|") {
			row = append(row, strings.TrimSpace(cell))
		}
		rows = append(rows, row)
	}
	return rows[min(2, len(rows)):]
}

var bold = regexp.MustCompile(`\*\*([^*]+)\*\*`)

// parsePage reads a page; an error names the row that has another form.
func parsePage(page string) (p capacityPage, err error) {
	for _, section := range sections(page) {
		switch heading, _, _ := strings.Cut(section, "\n"); heading {
		case figuresHeading:
			for _, row := range cells(section) {
				if len(row) != 5 {
					return p, fmt.Errorf("figures: %q has %d cells, not 5", row, len(row))
				}
				p.figures = append(p.figures, figureRow{row[0], row[1], row[2], strings.Trim(row[3], "`"), row[4]})
			}
		case filesHeading:
			for _, row := range cells(section) {
				if len(row) != 5 {
					return p, fmt.Errorf("files: %q has %d cells, not 5", row, len(row))
				}
				p.files = append(p.files, fileRow{strings.Trim(row[0], "`"), row[1], row[2], row[3], strings.Trim(row[4], "`")})
			}
		case askedHeading:
			for _, match := range bold.FindAllStringSubmatch(section, -1) {
				p.asked = append(p.asked, match[1])
			}
			p.text += bold.ReplaceAllString(section, "")
		default:
			p.text += section
		}
	}
	return p, nil
}

// results are the result files by name, and their digests.
type results struct {
	byName  map[string]*scale.Result
	digests map[string]string
}

// passing is the result that 'make scale' writes: a trial of whoever runs it, which no page uses.
const passing = "short.json"

// readResults reads all result files of a folder.
func readResults(folder fs.FS) (r results, err error) {
	r = results{byName: map[string]*scale.Result{}, digests: map[string]string{}}
	paths, err := fs.Glob(folder, "*.json")
	if err != nil {
		return r, err
	}
	for _, path := range paths {
		if path == passing {
			continue
		}
		text, err := fs.ReadFile(folder, path)
		if err != nil {
			return r, err
		}
		result, err := decodeResult(text)
		if err != nil {
			return r, fmt.Errorf("%s: %w", path, err)
		}
		name := strings.TrimSuffix(path, ".json")
		if name != result.Name && name != result.Mode+"-"+result.Name { // a scenario's name alone in virtual time
			return r, fmt.Errorf("%s: is named %q within", path, result.Name)
		}
		r.byName[name], r.digests[name] = result, fmt.Sprintf("%x", sha256.Sum256(text))[:8]
	}
	return r, nil
}

var (
	codeSpan = regexp.MustCompile("`[^`]*`")
	mark     = regexp.MustCompile(`\[([a-z][a-z0-9]*)\]`)
	number   = regexp.MustCompile(`\d[\d,]*(?:\.\d+)?`)
)

// check says what on the page the result files don't bear out, and which sources nothing on the page uses.
func (p *capacityPage) check(r results) (faults []string) {
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	rows := map[string]figureRow{}
	calculator := &calculator{results: r, values: map[string]float64{}, usedFiles: map[string]bool{}}
	for _, row := range p.figures {
		if _, twice := rows[row.id]; twice {
			fault("[%s] has two rows", row.id)
		}
		rows[row.id] = row
		expected, err := calculator.row(row)
		if err != nil {
			fault("[%s] %v", row.id, err)
		} else if row != expected {
			fault("[%s] is | %s | %s | %s |, worked out as %s, fit %s", row.id, row.figure, row.step, row.fit, expected.figure, expected.fit)
		}
	}
	faults = append(faults, p.checkFiles(r, calculator.usedFiles)...)
	used := maps.Clone(calculator.usedRows())
	faults = append(faults, p.checkText(rows, used)...)
	for _, row := range p.figures {
		if !used[row.id] {
			fault("[%s] stands nowhere on the page", row.id)
		}
	}
	return faults
}

// checkFiles compares the table of files with the files.
func (p *capacityPage) checkFiles(r results, used map[string]bool) (faults []string) {
	listed := map[string]bool{}
	for _, row := range p.files {
		listed[row.name] = true
		result := r.byName[row.name]
		if result == nil {
			faults = append(faults, fmt.Sprintf("%s: no such result file", row.name))
			continue
		}
		if expected := describe(row.name, result, r.digests[row.name]); row != expected {
			faults = append(faults, fmt.Sprintf("%s: is %v, expected %v", row.name, row, expected))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.byName)) {
		if !listed[name] {
			faults = append(faults, fmt.Sprintf("%s: result file without a row: %v", name, describe(name, r.byName[name], r.digests[name])))
		}
		if !used[name] {
			faults = append(faults, fmt.Sprintf("%s: no figure comes from this result file", name))
		}
	}
	return faults
}

// checkText looks at each mark and each number in the text, and notes the rows that are used.
func (p *capacityPage) checkText(rows map[string]figureRow, used map[string]bool) (faults []string) {
	text := codeSpan.ReplaceAllString(p.text, "")
	rest := ""
	from := 0
	for _, at := range mark.FindAllStringSubmatchIndex(text, -1) {
		if strings.HasPrefix(text[at[1]:], "(") {
			continue // a link
		}
		id := text[at[2]:at[3]]
		before := strings.TrimRight(text[from:at[0]], " ")
		from = at[1]
		row, ok := rows[id]
		if !ok {
			faults = append(faults, fmt.Sprintf("[%s] has no row", id))
			continue
		}
		used[id] = true
		cut, ok := strings.CutSuffix(before, row.figure)
		if !ok || strings.HasSuffix(cut, ",") || number.MatchString(lastByte(cut)) || strings.HasSuffix(cut, ".") {
			faults = append(faults, fmt.Sprintf("[%s] stands after %q, its row says %q", id, lastWords(before), row.figure))
		}
		rest += cut + "\x00"
	}
	rest += text[from:]
	for _, at := range number.FindAllStringIndex(rest, -1) {
		if partOfWord(rest, at[0]) || p.askedAt(rest[at[0]:]) {
			continue
		}
		faults = append(faults, fmt.Sprintf("a number without a source: %q", lastWords(rest[:at[1]])+firstWords(rest[at[1]:])))
	}
	return faults
}

// askedAt says whether text begins with a figure of the users' own.
func (p *capacityPage) askedAt(text string) bool {
	return slices.ContainsFunc(p.asked, func(asked string) bool { return strings.HasPrefix(text, asked) })
}

// partOfWord says whether the number at a place goes on from a letter, as in p99.
func partOfWord(text string, at int) bool {
	return at > 0 && regexp.MustCompile(`[A-Za-z]`).MatchString(text[at-1:at])
}

func lastByte(text string) string { return text[max(0, len(text)-1):] }

func lastWords(text string) string { return text[max(0, len(text)-30):] }

func firstWords(text string) string { return text[:min(len(text), 20)] }
