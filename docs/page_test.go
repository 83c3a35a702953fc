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

// A capacityPage is docs/CAPACITY.md. In its text each figure has a reference, as in `18.6 ms [d3]`. The table under
// "Figures" has a row for d3 with the figure, the step that it is rounded to, the expression that computes it from the
// result files, and the fit if the expression uses one. The table under "Files" has a row with a digest for each result
// file. Numbers without a reference must be requirements of the users, in bold in the table under "What the users ask".
type capacityPage struct {
	text         string // without the tables of figures and files
	figures      []figureRow
	files        []fileRow
	requirements []string // figures that the users require
}

// figureRow is a row of the table of figures.
type figureRow struct{ id, figure, step, expression, fit string }

// fileRow is a row of the table of result files.
type fileRow struct{ name, date, points, scatter, digest string }

const (
	requirementsHeading = "## What the users ask"
	figuresHeading      = "## Figures"
	filesHeading        = "## Files"
)

// sections splits a page at its second-level headings.
func sections(page string) (list []string) {
	start := 0
	for _, at := range regexp.MustCompile(`(?m)^## `).FindAllStringIndex(page, -1) {
		list = append(list, page[start:at[0]])
		start = at[0]
	}
	return append(list, page[start:])
}

// tableRows returns the rows of a section's table without the header.
func tableRows(section string) (rows [][]string) {
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

// parsePage parses a page; an error names the malformed row.
func parsePage(page string) (p capacityPage, err error) {
	for _, section := range sections(page) {
		switch heading, _, _ := strings.Cut(section, "\n"); heading {
		case figuresHeading:
			for _, row := range tableRows(section) {
				if len(row) != 5 {
					return p, fmt.Errorf("figures: %q has %d cells, not 5", row, len(row))
				}
				p.figures = append(p.figures, figureRow{row[0], row[1], row[2], strings.Trim(row[3], "`"), row[4]})
			}
		case filesHeading:
			for _, row := range tableRows(section) {
				if len(row) != 5 {
					return p, fmt.Errorf("files: %q has %d cells, not 5", row, len(row))
				}
				p.files = append(p.files,
					fileRow{strings.Trim(row[0], "`"), row[1], row[2], row[3], strings.Trim(row[4], "`")})
			}
		case requirementsHeading:
			for _, match := range bold.FindAllStringSubmatch(section, -1) {
				p.requirements = append(p.requirements, match[1])
			}
			p.text += bold.ReplaceAllString(section, "")
		default:
			p.text += section
		}
	}
	return p, nil
}

// results holds the result files and the start of their SHA-256 digests, by name.
type results struct {
	byName  map[string]*scale.Result
	digests map[string]string
}

// shortResultFile is written by each 'make scale' as a local trial; no page uses it.
const shortResultFile = "short.json"

// readResults reads all result files of a folder except shortResultFile.
func readResults(folder fs.FS) (r results, err error) {
	r = results{byName: map[string]*scale.Result{}, digests: map[string]string{}}
	paths, err := fs.Glob(folder, "*.json")
	if err != nil {
		return r, err
	}
	for _, path := range paths {
		if path == shortResultFile {
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
		// A result in virtual time has the name of its scenario; its file name has the mode before it.
		if name != result.Name && name != result.Mode+"-"+result.Name {
			return r, fmt.Errorf("%s: contains the result %q", path, result.Name)
		}
		r.byName[name], r.digests[name] = result, fmt.Sprintf("%x", sha256.Sum256(text))[:8]
	}
	return r, nil
}

var (
	codeSpan        = regexp.MustCompile("`[^`]*`")
	figureReference = regexp.MustCompile(`\[([a-z][a-z0-9]*)\]`)
	number          = regexp.MustCompile(`\d[\d,]*(?:\.\d+)?`)
)

// check reports what on the page differs from the result files, and which rows and result files are unused.
func (p *capacityPage) check(r results) (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	rows := map[string]figureRow{}
	calculator := &calculator{results: r, values: map[string]float64{}, usedFiles: map[string]bool{}}
	for _, row := range p.figures {
		if _, twice := rows[row.id]; twice {
			report("[%s] has two rows", row.id)
		}
		rows[row.id] = row
		expected, err := calculator.evaluateRow(row)
		if err != nil {
			report("[%s] %v", row.id, err)
		} else if row != expected {
			report("[%s] is | %s | %s | %s |, computed as %s, fit %s",
				row.id, row.figure, row.step, row.fit, expected.figure, expected.fit)
		}
	}
	problems = append(problems, p.checkFiles(r, calculator.usedFiles)...)
	used := maps.Clone(calculator.usedRows())
	problems = append(problems, p.checkText(rows, used)...)
	for _, row := range p.figures {
		if !used[row.id] {
			report("[%s] is not used on the page", row.id)
		}
	}
	return problems
}

// checkFiles compares the table of result files with the files; used are the names of files that expressions use.
func (p *capacityPage) checkFiles(r results, used map[string]bool) (problems []string) {
	listed := map[string]bool{}
	for _, row := range p.files {
		listed[row.name] = true
		result := r.byName[row.name]
		if result == nil {
			problems = append(problems, fmt.Sprintf("%s: no such result file", row.name))
			continue
		}
		if expected := describeFile(row.name, result, r.digests[row.name]); row != expected {
			problems = append(problems, fmt.Sprintf("%s: is %v, expected %v", row.name, row, expected))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.byName)) {
		if !listed[name] {
			problems = append(problems, fmt.Sprintf("%s: result file without a row: %v",
				name, describeFile(name, r.byName[name], r.digests[name])))
		}
		if !used[name] {
			problems = append(problems, fmt.Sprintf("%s: no figure uses this result file", name))
		}
	}
	return problems
}

// checkText checks that each reference follows its row's figure and that each other number is a requirement. It marks
// the referenced rows in used.
func (p *capacityPage) checkText(rows map[string]figureRow, used map[string]bool) (problems []string) {
	text := codeSpan.ReplaceAllString(p.text, "")
	rest := ""
	from := 0
	for _, at := range figureReference.FindAllStringSubmatchIndex(text, -1) {
		if strings.HasPrefix(text[at[1]:], "(") {
			continue // a link
		}
		id := text[at[2]:at[3]]
		before := strings.TrimRight(text[from:at[0]], " ")
		from = at[1]
		row, ok := rows[id]
		if !ok {
			problems = append(problems, fmt.Sprintf("[%s] has no row", id))
			continue
		}
		used[id] = true
		cut, ok := strings.CutSuffix(before, row.figure)
		if !ok || strings.HasSuffix(cut, ",") || number.MatchString(lastByte(cut)) || strings.HasSuffix(cut, ".") {
			problems = append(problems, fmt.Sprintf("[%s] follows %q, but its row has %q", id, endOf(before), row.figure))
		}
		rest += cut + "\x00"
	}
	rest += text[from:]
	for _, at := range number.FindAllStringIndex(rest, -1) {
		if partOfWord(rest, at[0]) || p.startsWithRequirement(rest[at[0]:]) {
			continue
		}
		problems = append(problems,
			fmt.Sprintf("a number without a source: %q", endOf(rest[:at[1]])+startOf(rest[at[1]:])))
	}
	return problems
}

// startsWithRequirement reports whether text starts with a figure that the users require.
func (p *capacityPage) startsWithRequirement(text string) bool {
	return slices.ContainsFunc(p.requirements, func(figure string) bool { return strings.HasPrefix(text, figure) })
}

// partOfWord reports whether the number at an index directly follows a letter, as in p99.
func partOfWord(text string, at int) bool {
	return at > 0 && regexp.MustCompile(`[A-Za-z]`).MatchString(text[at-1:at])
}

func lastByte(text string) string { return text[max(0, len(text)-1):] }

// endOf returns the last bytes of text, as context in a message.
func endOf(text string) string { return text[max(0, len(text)-30):] }

// startOf returns the first bytes of text, as context in a message.
func startOf(text string) string { return text[:min(len(text), 20)] }
