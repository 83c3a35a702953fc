// Package chutechute checks the structure of the repository.
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
	// maxWidth is the maximum length of a line, in characters, in the folders of widthCheckedFolders.
	maxWidth = 120
	// maxSchedulerLines is the maximum number of lines of a source file of the scheduler.
	maxSchedulerLines = 400
)

// deployList returns the values of a list in deploy/balancer.toml.
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

// sourceFiles returns the Go files of a folder, except tests.
func sourceFiles(t *testing.T, folder string) (files []string) {
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

// The deploy file's list "policy", which operators see, contains exactly the source files of the scheduler.
func TestDeployPolicyListsTheSchedulerFiles(t *testing.T) {
	assert.ElementsMatch(t, sourceFiles(t, schedulerFolder), deployList(t, "policy"))
}

// Each source file of the scheduler is short enough to be read in one sitting.
func TestSchedulerFilesAreNotTooLong(t *testing.T) {
	for _, file := range deployList(t, "policy") {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		if lines := strings.Count(string(text), "\n"); lines > maxSchedulerLines {
			t.Errorf("%s has %d lines, at most %d are allowed", file, lines, maxSchedulerLines)
		}
	}
}

// The deploy file's list "node" contains exactly the packages of this module that the front end is built from, except
// the scheduler.
func TestDeployNodeListsEveryPackage(t *testing.T) {
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

// clocksAndIO are imports that would let a package read a clock, do I/O or share state between goroutines. Each stands
// for the packages below it as well.
var clocksAndIO = []string{"bufio", "context", "io", "log", "net", "os", "runtime", "sync", "syscall", "time", "unsafe"}

// The scheduler, and each package of this module that it is built from, imports nothing that reads a clock or does I/O.
func TestSchedulerImportsNoClockAndNoIO(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", `{{.ImportPath}}{{range .Imports}} {{.}}{{end}}`,
		"./"+schedulerFolder).Output()
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

// widthCheckedFolders are the folders in which all Go files, also those in subfolders, keep to maxWidth.
var widthCheckedFolders = []string{"bench", "cmd", "docs", "fleet", "gateway", "identity", "internal", "scheduler",
	"simulation", "statement", "structure_test.go"}

func TestLinesAreNotTooWide(t *testing.T) {
	for _, folder := range widthCheckedFolders {
		require.NoError(t, filepath.WalkDir(folder, func(file string, _ os.DirEntry, err error) error {
			if err != nil || path.Ext(file) != ".go" {
				return err
			}
			text, err := os.ReadFile(file)
			for n, line := range strings.Split(string(text), "\n") {
				if width := len([]rune(line)); width > maxWidth {
					t.Errorf("%s:%d has %d characters, at most %d are allowed", file, n+1, width, maxWidth)
				}
			}
			return err
		}))
	}
}
