package docs

import (
	"fmt"
	"go/ast"
	"io/fs"
	"regexp"
	"strings"
)

var (
	qualifiedName = regexp.MustCompile(`^((?:[a-z]+/)*[a-z]+)\.([A-Za-z]\w*(?:\.[A-Za-z]\w*)?)$`)
	diagramName   = regexp.MustCompile(`\b(?:[a-z]+/)*[a-z]+\.[A-Z]\w*(?:\.[A-Za-z]\w*)?`)
	envVariable   = regexp.MustCompile(`^[A-Z][A-Z0-9]*_[A-Z0-9_]+$`)
	keyPath       = regexp.MustCompile(`^[a-z][a-z_]*(?:\.[a-z][a-z_]*)*$`)
	flagName      = regexp.MustCompile(`^--([a-z-]+)`)
)

// checkName returns what is wrong with `package.Name` or `package.Type.Member`, or "" if the code has it. A package is
// given by its name, or by its path where several packages declare the name.
func (c *codeBase) checkName(pkg, name string) string {
	folders := c.foldersByPackage[pkg]
	if strings.Contains(pkg, "/") || c.names[pkg] != nil {
		folders = []string{pkg}
	}
	var found []string
	for _, folder := range folders {
		if c.names[folder][name] {
			found = append(found, folder)
		}
	}
	switch {
	case len(folders) == 0 || c.names[folders[0]] == nil:
		return fmt.Sprintf("no package %s", pkg)
	case len(found) == 0:
		return fmt.Sprintf("no %s in %s", name, strings.Join(folders, ", "))
	case len(found) > 1:
		return fmt.Sprintf("%s is ambiguous, declared in %s: use the package path", name, strings.Join(found, ", "))
	case found[0] != serverFolder && !isExportedPath(name):
		return fmt.Sprintf("%s of %s is not exported", name, found[0])
	}
	return ""
}

// isExportedPath reports whether all parts of `Name` or `Type.Member` are exported.
func isExportedPath(name string) bool {
	for part := range strings.SplitSeq(name, ".") {
		if !ast.IsExported(part) {
			return false
		}
	}
	return true
}

// checkSpan returns what is wrong with the text of a code span, or "" if it is a path, name, command, flag, environment
// variable, key, counter or log line of the code.
func (c *codeBase) checkSpan(text string) string {
	if _, err := fs.Stat(c.files, text); err == nil && strings.Contains(text, "/") || c.names[text] != nil {
		return ""
	}
	if match := qualifiedName.FindStringSubmatch(text); match != nil && !c.isKey(text) {
		return c.checkName(match[1], match[2])
	}
	words := strings.Fields(text)
	switch {
	case words[0] == "chutechute":
		for _, word := range words[1:] {
			if !c.commands[word] {
				return fmt.Sprintf("no command %s", word)
			}
		}
	case flagName.MatchString(text):
		if name := flagName.FindStringSubmatch(text)[1]; !c.commands[name] {
			return fmt.Sprintf("no flag %s", name)
		}
	case envVariable.MatchString(text):
		if !c.literals[text] {
			return fmt.Sprintf("no string literal %s in the code", text)
		}
	case !c.isKey(text) && !c.counters[text] && !c.logMessages[text]:
		return fmt.Sprintf("%q is not a path, name, command, flag, variable, key, counter or log line", text)
	}
	return ""
}

// isKey reports whether text is a key, or a dotted path of keys, of the configuration, installation file or settings.
func (c *codeBase) isKey(text string) bool {
	if !keyPath.MatchString(text) {
		return false
	}
	for part := range strings.SplitSeq(text, ".") {
		if !c.keys[part] {
			return false
		}
	}
	return true
}
