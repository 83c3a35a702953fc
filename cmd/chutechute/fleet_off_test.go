package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// processResources returns a process's descriptors by kind, and its number of threads.
func processResources(t require.TestingT, pid int) (descriptors map[string]int, threads int) {
	dir := fmt.Sprintf("/proc/%d", pid)
	entries, err := os.ReadDir(dir + "/fd")
	require.NoError(t, err)
	descriptors = map[string]int{}
	for _, fd := range entries {
		if target, err := os.Readlink(dir + "/fd/" + fd.Name()); err == nil {
			kind, _, _ := strings.Cut(target, ":") // such as socket:[123]
			descriptors[kind]++
		}
	}
	tasks, err := os.ReadDir(dir + "/task")
	require.NoError(t, err)
	return descriptors, len(tasks)
}

// A front end whose fleet is disabled must not open more descriptors or create more files than one without an
// installation file. Descriptors are compared by kind; the Go runtime may start up to two threads more.
func TestFleetOffCostsNothing(t *testing.T) {
	path, folder := t.TempDir()+"/installation.json", t.TempDir()+"/disk"
	require.NoError(t, os.WriteFile(path, []byte(`{"fleet":{"enabled":false,"site":"x","members":[],"folder":"`+folder+`",
		"attached":{"enabled":true},"zone":"a"}}`), 0o600))
	measure := func(args ...string) (descriptors map[string]int, threads int) {
		r := start(t, 0, nil, func(r *testharness.Harness) { r.Args = args })
		time.Sleep(200 * time.Millisecond)
		return processResources(t, r.Cmd.Process.Pid)
	}
	without, threadsWithout := measure()
	with, threadsWith := measure("serve", "--installation", path)
	assert.Equal(t, without, with)
	assert.LessOrEqual(t, threadsWith, threadsWithout+2)
	_, err := os.Stat(folder)
	assert.True(t, os.IsNotExist(err))
}
