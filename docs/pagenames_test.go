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

// namesOf says which `package.Name` and `package.Type.Member` of a page the code does not have. A page may have
// other code spans, which are the words of settings, wires and output.
func (c *codeBase) namesOf(page string) (faults []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, span := range codeSpan.FindAllString(line, -1) {
			text := strings.Trim(span, "`")
			match := qualified.FindStringSubmatch(text)
			if match == nil || len(c.byName[match[1]]) == 0 && c.names[match[1]] == nil {
				continue
			}
			if !ast.IsExported(match[2]) && match[1] != path.Base(driver) { // a key, or a file's name
				continue
			}
			if fault := c.name(match[1], match[2]); fault != "" {
				faults = append(faults, fmt.Sprintf("line %d: %s", i+1, fault))
			}
		}
	}
	return faults
}

// earlier are packages and programs of earlier versions: no page but the changelog names them.
var earlier = regexp.MustCompile("`(?:(?:decide|member|attach|peer|ledger|ledger/store|ledger/loads|recordclient|budget/account|" +
	"budget/enforce|internal/(?:epoll|journal|wire|figure|measure))(?:\\.[A-Z]\\w*)*|epoll(?:\\.\\w+)*|" +
	"(?:journal|wire|figure|measure)(?:\\.[A-Z]\\w*)+)`")

// The pages on design and for operators name nothing that the code does not have.
func TestNamesOnOtherPages(t *testing.T) {
	code, err := readCode(os.DirFS(repository))
	require.NoError(t, err)
	for _, pattern := range []string{"design/*.md", "operators/*.md", "../CONTRIBUTING.md"} {
		paths, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, paths, pattern)
		for _, name := range paths {
			page, err := os.ReadFile(name)
			require.NoError(t, err)
			for _, fault := range code.namesOf(string(page)) {
				t.Errorf("%s: %s", name, fault)
			}
			assert.Empty(t, earlier.FindAllString(string(page), -1), name)
		}
	}
	page := "`gateway.Core.Submit`, `fleet.orphan_s`, `a.B`\n`gateway.Core.Take`, `server.enginePool.redial`\n`server.enginePool.redials`"
	expected := []string{"line 2: no Core.Take in gateway", "line 3: no enginePool.redials in internal/server"}
	assert.Equal(t, expected, code.namesOf(page))
	assert.Regexp(t, earlier, "the package `decide`, whose `ledger.Kind` was renamed")
	for _, name := range []string{"decide", "ledger.Kind", "epoll", "epoll.client.leave", "internal/epoll", "journal.Redial",
		"internal/wire"} {
		assert.Equal(t, []string{"`" + name + "`"}, earlier.FindAllString("`gateway`, `"+name+"`", -1))
	}
	assert.NotRegexp(t, earlier, "the key `journal`")
}

// testName is a name of a test or a fuzz test on a page.
var testName = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)

// testsOf gives the test and fuzz functions of the module's test files.
func testsOf(root fs.FS) (map[string]bool, error) {
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

// missingTests says which tests that a page names do not exist, with lines.
func missingTests(page string, tests map[string]bool) (faults []string) {
	for i, line := range strings.Split(page, "\n") {
		for _, name := range testName.FindAllString(line, -1) {
			if !tests[name] {
				faults = append(faults, fmt.Sprintf("line %d: no test %s", i+1, name))
			}
		}
	}
	return faults
}

// Each test that a page names is a function of the module's test files.
func TestTestsNamedOnPages(t *testing.T) {
	tests, err := testsOf(os.DirFS(repository))
	require.NoError(t, err)
	for _, pattern := range []string{"*.md", "design/*.md", "operators/*.md", "../CONTRIBUTING.md", "../README.md"} {
		paths, err := filepath.Glob(pattern)
		require.NoError(t, err)
		require.NotEmpty(t, paths, pattern)
		for _, name := range paths {
			page, err := os.ReadFile(name)
			require.NoError(t, err)
			for _, fault := range missingTests(string(page), tests) {
				t.Errorf("%s: %s", name, fault)
			}
		}
	}
}

// A test that does not exist is found in a table, in a code span, in a command and in a list, with its line.
func TestTestsNamedOnPagesCheckSees(t *testing.T) {
	tests, err := testsOf(os.DirFS(repository))
	require.NoError(t, err)
	page := "| case | gateway: TestGracefulShutdownEndsBeforeTheKill, TestNone |\n`TestHistories`, `TestHistory`\n" +
		"    go test -run 'TestWireFormat|TestWireFormats' ./fleet/...\nTestimony; the parsers: FuzzFollower, FuzzFollowers."
	expected := []string{"line 1: no test TestNone", "line 2: no test TestHistory", "line 3: no test TestWireFormats",
		"line 4: no test FuzzFollowers"}
	assert.Equal(t, expected, missingTests(page, tests))
	assert.Contains(t, tests, "TestTestsNamedOnPages")
	assert.NotContains(t, tests, "testsOf")
}
