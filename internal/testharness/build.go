package testharness

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	repositoryRoot = "../.." // relative to cmd/chutechute
	programName    = "chutechute"
)

// deployBuildCommand matches the build command in the deploy file. The group is the command without the output folder
// and the packages.
var deployBuildCommand = regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.*) -o bin/ \./cmd/\.\.\."$`)

// Build builds the program and the other commands into a new folder, with the build command of the deploy file. It
// returns the program's path and a function that removes the folder. The working directory has to be the program's
// folder, cmd/chutechute.
func Build() (program string, remove func(), err error) {
	deploy, err := os.ReadFile(filepath.Join(repositoryRoot, "deploy", "balancer.toml"))
	if err != nil {
		return "", nil, err
	}
	command := deployBuildCommand.FindSubmatch(deploy)
	if command == nil {
		return "", nil, errors.New("deploy/balancer.toml: build command not found or in an unexpected form")
	}
	dir, err := os.MkdirTemp("", programName)
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	build := exec.Command("/bin/sh", "-c", string(command[1])+" -o "+dir+"/ ./cmd/...")
	build.Dir = repositoryRoot
	if output, err := build.CombinedOutput(); err != nil {
		remove()
		return "", nil, fmt.Errorf("build: %w: %s", err, output)
	}
	return filepath.Join(dir, programName), remove, nil
}

// BuildVariant builds the program with one source file replaced by the given text, and returns the program's path. It
// is used to inject faults that can't be caused from outside the process. The file's path is relative to the
// repository's root. The working directory has to be the program's folder, as for Build. The test fails if the build
// fails.
func BuildVariant(t *testing.T, file, text string) (program string) {
	dir := t.TempDir()
	root, err := filepath.Abs(repositoryRoot)
	require.NoError(t, err)
	replacement := filepath.Join(dir, "other.go")
	require.NoError(t, os.WriteFile(replacement, []byte(text), 0o600))
	overlay, err := json.Marshal(buildOverlay{Replace: map[string]string{filepath.Join(root, file): replacement}})
	require.NoError(t, err)
	overlayFile := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))
	program = filepath.Join(dir, programName)
	output, err := exec.Command("go", "build", "-overlay", overlayFile, "-o", program, ".").CombinedOutput()
	require.NoError(t, err, "%s", output)
	return program
}

// buildOverlay is the content of the file for "go build -overlay". Replace maps the path of a source file to the path
// of its replacement.
type buildOverlay struct {
	Replace map[string]string
}
