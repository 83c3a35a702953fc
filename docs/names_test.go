package docs

import (
	"fmt"
	"go/ast"
	"io/fs"
	"regexp"
	"strings"
)

var (
	qualified = regexp.MustCompile(`^((?:[a-z]+/)*[a-z]+)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	inDiagram = regexp.MustCompile(`\b(?:[a-z]+/)*[a-z]+\.[A-Z]\w*(?:\.[A-Za-z]\w*)?`)
	variable  = regexp.MustCompile(`^[A-Z][A-Z0-9]*_[A-Z0-9_]+$`)
	key       = regexp.MustCompile(`^[a-z][a-z_]*(?:\.[a-z][a-z_]*)*$`)
	flag      = regexp.MustCompile(`^--([a-z-]+)`)
)

// name says what is wrong with `package.Name` or `package.Type.Member`; nothing where the code has it.
func (c *codeBase) name(of, name string) string {
	folders := c.byName[of]
	if strings.Contains(of, "/") || c.names[of] != nil {
		folders = []string{of}
	}
	var found []string
	for _, folder := range folders {
		if c.names[folder][name] {
			found = append(found, folder)
		}
	}
	switch {
	case len(folders) == 0 || c.names[folders[0]] == nil:
		return fmt.Sprintf("no package %s", of)
	case len(found) == 0:
		return fmt.Sprintf("no %s in %s", name, strings.Join(folders, ", "))
	case len(found) > 1:
		return fmt.Sprintf("%s is in %s: give the package's path", name, strings.Join(found, ", "))
	case found[0] != driver && !exported(name):
		return fmt.Sprintf("%s of %s is not exported", name, found[0])
	}
	return ""
}

func exported(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if !ast.IsExported(part) {
			return false
		}
	}
	return true
}

// span says what is wrong with a code span: each has to be of a kind that the code has.
func (c *codeBase) span(text string) string {
	if _, err := fs.Stat(c.files, text); err == nil && strings.Contains(text, "/") || c.names[text] != nil {
		return ""
	}
	if match := qualified.FindStringSubmatch(text); match != nil && !c.isKey(text) {
		return c.name(match[1], match[2])
	}
	words := strings.Fields(text)
	switch {
	case words[0] == "chutechute":
		for _, word := range words[1:] {
			if !c.commands[word] {
				return fmt.Sprintf("no command %s", word)
			}
		}
	case flag.MatchString(text):
		if name := flag.FindStringSubmatch(text)[1]; !c.commands[name] {
			return fmt.Sprintf("no flag %s", name)
		}
	case variable.MatchString(text):
		if !c.literals[text] {
			return fmt.Sprintf("no source has %s", text)
		}
	case !c.isKey(text) && !c.counters[text] && !c.logs[text]:
		return fmt.Sprintf("%q is no path, name, command, variable, key, counter or log line", text)
	}
	return ""
}

// isKey says whether a text is a key of the configuration, the installation file or the settings.
func (c *codeBase) isKey(text string) bool {
	if !key.MatchString(text) {
		return false
	}
	for part := range strings.SplitSeq(text, ".") {
		if !c.keys[part] {
			return false
		}
	}
	return true
}
