package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// checkQualifiedNames reports, with line numbers, each `package.Name` and `package.Type.Member` on a page that the code
// does not have. Other code spans, such as settings, wire texts and output, are not checked.
func (c *codeBase) checkQualifiedNames(page string) (problems []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, span := range codeSpan.FindAllString(line, -1) {
			text := strings.Trim(span, "`")
			match := qualifiedName.FindStringSubmatch(text)
			if match == nil || len(c.foldersByPackage[match[1]]) == 0 && c.names[match[1]] == nil {
				continue
			}
			if !ast.IsExported(match[2]) && match[1] != path.Base(serverFolder) { // a settings key or a file name
				continue
			}
			if problem := c.checkName(match[1], match[2]); problem != "" {
				problems = append(problems, fmt.Sprintf("line %d: %s", i+1, problem))
			}
		}
	}
	return problems
}

// formerPackage matches code spans with packages and programs that earlier versions had. Only the changelog may name
// them.
var formerPackage = regexp.MustCompile(
	"`(?:(?:decide|member|attach|peer|ledger|ledger/store|ledger/loads|recordclient|budget/account|" +
		"budget/enforce|internal/(?:epoll|journal|wire|figure|measure))(?:\\.[A-Z]\\w*)*|epoll(?:\\.\\w+)*|" +
		"(?:journal|wire|figure|measure)(?:\\.[A-Z]\\w*)+)`")

// The design pages, the operators' pages and CONTRIBUTING.md use no qualified name that the code does not have, and no
// name of a package that was removed or renamed.
func TestNamesOnOtherPages(t *testing.T) {
	code, err := readCode(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	for _, pattern := range []string{"design/*.md", "operators/*.md", "incidents/*.md", "../CONTRIBUTING.md"} {
		paths, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, paths, pattern)
		for _, name := range paths {
			page, err := os.ReadFile(name)
			require.NoError(t, err)
			for _, problem := range code.checkQualifiedNames(string(page)) {
				t.Errorf("%s: %s", name, problem)
			}
			assert.Empty(t, formerPackage.FindAllString(string(page), -1), name)
		}
	}
	page := "`gateway.Core.Submit`, `fleet.orphan_s`, `a.B`\n`gateway.Core.Take`, `server.enginePool.redial`\n" +
		"`server.enginePool.redials`"
	expected := []string{"line 2: no Core.Take in gateway", "line 3: no enginePool.redials in internal/server"}
	assert.Equal(t, expected, code.checkQualifiedNames(page))
	assert.Regexp(t, formerPackage, "the package `decide`, whose `ledger.Kind` was renamed")
	for _, name := range []string{"decide", "ledger.Kind", "epoll", "epoll.client.leave", "internal/epoll",
		"journal.Redial", "internal/wire"} {
		assert.Equal(t, []string{"`" + name + "`"}, formerPackage.FindAllString("`gateway`, `"+name+"`", -1))
	}
	assert.NotRegexp(t, formerPackage, "the key `journal`")
}

// testName matches the name of a test or fuzz test.
var testName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)

// testFunctions returns the names of the test and fuzz functions in the module's test files.
func testFunctions(root fs.FS) (map[string]bool, error) {
	tests, set := map[string]bool{}, token.NewFileSet()
	return tests, fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (name == "bench" || entry.Name() == "testdata"):
			return fs.SkipDir
		case entry.IsDir() || !strings.HasSuffix(name, "_test.go"):
			return nil
		}
		text, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(set, name, text, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			if f, ok := decl.(*ast.FuncDecl); ok && f.Recv == nil && testName.MatchString(f.Name.Name) {
				tests[f.Name.Name] = true
			}
		}
		return nil
	})
}

// missingTests reports, with line numbers, the tests that a page names and that do not exist.
func missingTests(page string, tests map[string]bool) (problems []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, name := range testName.FindAllString(line, -1) {
			if !tests[name] {
				problems = append(problems, fmt.Sprintf("line %d: no test %s", i+1, name))
			}
		}
	}
	return problems
}

// Each test that a page names exists in the module's test files.
func TestTestsNamedOnPages(t *testing.T) {
	tests, err := testFunctions(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	for _, pattern := range []string{
		"*.md", "design/*.md", "operators/*.md", "incidents/*.md", "../CONTRIBUTING.md", "../README.md",
	} {
		paths, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, paths, pattern)
		for _, name := range paths {
			page, err := os.ReadFile(name)
			require.NoError(t, err)
			for _, problem := range missingTests(string(page), tests) {
				t.Errorf("%s: %s", name, problem)
			}
		}
	}
}

// The check reports a missing test in a table, a code span, a command and a list, with its line.
func TestTestsNamedOnPagesCheckReportsMissingTests(t *testing.T) {
	tests, err := testFunctions(os.DirFS(repositoryRoot))
	require.NoError(t, err)
	page := "| case | gateway: TestGracefulShutdownEndsBeforeTheKill, TestNone |\n`TestHistories`, `TestHistory`\n" +
		"    go test -run 'TestWireFormat|TestWireFormats' ./fleet/...\nTestimony; the parsers: FuzzFollower, FuzzFollowers."
	expected := []string{"line 1: no test TestNone", "line 2: no test TestHistory", "line 3: no test TestWireFormats",
		"line 4: no test FuzzFollowers"}
	assert.Equal(t, expected, missingTests(page, tests))
	assert.Contains(t, tests, "TestTestsNamedOnPages")
	assert.NotContains(t, tests, "testFunctions")
}
