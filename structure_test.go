// Package chutechute holds checks of the repository's own structure.
package chutechute

import (
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	module          = "chutechute"
	schedulerFolder = "scheduler"
	// maxWidth is the width of a line, in characters, in finished packages.
	maxWidth = 120
	// maxDecisionLines is the number of lines of a file of decisions.
	maxDecisionLines = 400
)

// deployList returns the values of a list in the deploy file.
func deployList(t *testing.T, key string) (values []string) {
	t.Helper()
	deploy, err := os.ReadFile("deploy/balancer.toml")
	require.NoError(t, err)
	list := regexp.MustCompile(`(?m)^` + key + ` = \[(.*)\]`).FindSubmatch(deploy)
	require.NotNil(t, list, "deploy/balancer.toml has no %s", key)
	for _, value := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		values = append(values, string(value[1]))
	}
	return values
}

// sources returns the Go files of a folder that are no tests.
func sources(t *testing.T, folder string) (files []string) {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(folder, "*.go"))
	require.NoError(t, err)
	for _, file := range all {
		if !strings.HasSuffix(file, "_test.go") {
			files = append(files, filepath.ToSlash(file))
		}
	}
	return files
}

// Every file of decisions is named to the operators, and nothing else is.
func TestPolicyNamesEveryDecisionFile(t *testing.T) {
	assert.ElementsMatch(t, sources(t, schedulerFolder), deployList(t, "policy"))
}

// A file of decisions is short enough to be read at one sitting.
func TestDecisionFilesAreNotTooLong(t *testing.T) {
	for _, file := range deployList(t, "policy") {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		if lines := strings.Count(string(text), "\n"); lines > maxDecisionLines {
			t.Errorf("%s has %d lines, at most %d", file, lines, maxDecisionLines)
		}
	}
}

// The deploy file names every package of this module that the front end is built of.
func TestNodeNamesEveryPackage(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "./cmd/"+module).Output()
	require.NoError(t, err)
	var packages []string
	for _, p := range strings.Fields(string(out)) {
		if strings.HasPrefix(p, module+"/") && p != module+"/"+schedulerFolder {
			packages = append(packages, strings.TrimPrefix(p, module+"/"))
		}
	}
	assert.ElementsMatch(t, packages, deployList(t, "node"))
}

// clocksAndIO are imports by which a package could read a clock, do I/O or share state between goroutines.
var clocksAndIO = []string{"bufio", "context", "io", "log", "net", "os", "runtime", "sync", "syscall", "time", "unsafe"}

// The decisions read no clock and do no I/O, and neither does any package of this module that they are built of.
func TestDecisionsReadNoClock(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`, "./"+schedulerFolder).Output()
	require.NoError(t, err)
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		if !strings.HasPrefix(words[0], module+"/") {
			continue
		}
		for _, imported := range words[1:] {
			first, _, _ := strings.Cut(imported, "/")
			assert.False(t, slices.Contains(clocksAndIO, first), "%s imports %s", words[0], imported)
		}
	}
}

// finished are the folders whose lines keep to maxWidth; all Go files below them count.
var finished = []string{"fleet", "gateway", "identity", "internal/config", "internal/decimal", "internal/discovery", "internal/eventloop", "internal/fieldcodec",
	"internal/golden", "internal/history", "internal/monotime", "internal/peering", "internal/procstat", "internal/raftlog", "internal/server",
	"internal/settings", "internal/simwire", "internal/testharness",
	"scheduler", "simulation", "statement"}

func TestLinesOfFinishedPackagesAreNotTooWide(t *testing.T) {
	for _, folder := range finished {
		require.NoError(t, filepath.WalkDir(folder, func(file string, _ os.DirEntry, err error) error {
			if err != nil || path.Ext(file) != ".go" {
				return err
			}
			text, err := os.ReadFile(file)
			for n, line := range strings.Split(string(text), "\n") {
				if width := len([]rune(line)); width > maxWidth {
					t.Errorf("%s:%d is %d wide, at most %d", file, n+1, width, maxWidth)
				}
			}
			return err
		}))
	}
}
