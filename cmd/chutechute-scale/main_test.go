package main

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/scale"
)

func execute(args ...string) (out string, err error) {
	root := newRoot()
	var stdout, stderr bytes.Buffer
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(args)
	root.SilenceErrors, root.SilenceUsage = true, true
	err = root.Execute()
	return stdout.String(), err
}

// Invalid flags are rejected with the name of the flag, and nothing is started.
func TestRunNamesTheFlag(t *testing.T) {
	for _, c := range []struct{ flag, value, want string }{
		{"--control", "81", "--control: 81"},
		{"--control", "many", "control"},
		{"--front-ends", "2", "--front-ends: 2"},
		{"--zones", "0", "--zones: 0"},
		{"--seconds", "0", "--seconds: 0"},
		{"--faults", "1s explode all", `--faults: fault 1: "explode"`},
		{"--faults", "1s kill control 9", `--faults: fault 1: "9"`},
		{"--real", "5", "--real: 5"},
		{"--program", "/nowhere", "--program: /nowhere"},
		{"--over", "-1s", "--over: -1s"},
	} {
		_, err := execute("run", c.flag, c.value)
		assert.ErrorContains(t, err, c.want)
	}
}

// A run in virtual time rejects invalid flags too, and measures both roles.
func TestRunInVirtualTime(t *testing.T) {
	for _, c := range []struct{ flag, value, want string }{
		{"--control", "1", "--control: 1"},
		{"--front-ends", "5", "--front-ends: 5"},
		{"--zones", "0", "--zones: 0"},
		{"--seconds", "0", "--seconds: 0"},
		{"--faults", "1s explode all", `--faults: fault 1: "explode"`},
		{"--faults", "nonsense", `--faults: fault 1: "nonsense"`},
	} {
		_, err := execute("run", "--virtual", "--front-ends", "20", c.flag, c.value)
		assert.ErrorContains(t, err, c.want)
	}
	path := filepath.Join(t.TempDir(), "small.json")
	_, err := execute("run", "--virtual", "--front-ends", "20", "--seconds", "5", "--json", path)
	require.NoError(t, err)
	r, err := scale.Read(path)
	require.NoError(t, err)
	assert.Equal(t, "small", r.Name)
	assert.Equal(t, scale.ModeVirtual, r.Mode)
	assert.Len(t, r.Roles, 2)
}

func TestFitOfFiles(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for _, n := range []int{5, 10, 20, 40} {
		path := filepath.Join(dir, fmt.Sprintf("%d.json", n))
		files = append(files, path)
		require.NoError(t, scale.Write(path, &scale.Result{Controls: n, Roles: []scale.RoleFigures{
			{Role: scale.RoleControl, Members: n, MessagesIn: 10 * float64(n)}}}))
	}
	out, err := execute(append([]string{"fit"}, files...)...)
	require.NoError(t, err)
	assert.Contains(t, out, "control member: messages in over front ends")
	assert.Contains(t, out, "5 to 40, 4 runs")
	assert.Contains(t, out, "2.7e+04 a second")
	assert.Contains(t, out, "extrapolated 67.5 times beyond the largest")
	out, err = execute(append([]string{"fit", "--to", "40"}, files...)...)
	require.NoError(t, err)
	assert.NotContains(t, out, "extrapolated")
	_, err = execute("fit", files[0])
	assert.ErrorIs(t, err, errNoSeries)
	_, err = execute("fit", "--to", "0", files[0])
	assert.ErrorContains(t, err, "--to")
}
