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

// holds is what a process holds: descriptors by kind, and threads.
func holds(t require.TestingT, pid int) (fds map[string]int, threads int) {
	dir := fmt.Sprintf("/proc/%d", pid)
	list, err := os.ReadDir(dir + "/fd")
	require.NoError(t, err)
	fds = map[string]int{}
	for _, fd := range list {
		if to, err := os.Readlink(dir + "/fd/" + fd.Name()); err == nil {
			kind, _, _ := strings.Cut(to, ":") // socket:[123] is a socket
			fds[kind]++
		}
	}
	tasks, err := os.ReadDir(dir + "/task")
	require.NoError(t, err)
	return fds, len(tasks)
}

// Without a fleet section there is no socket, thread or file more than a front end without installation has: the descriptors
// are the same, by kind, and threads as many but for what the runtime starts as it likes.
func TestFleetOffCostsNothing(t *testing.T) {
	path, disk := t.TempDir()+"/installation.json", t.TempDir()+"/disk"
	require.NoError(t, os.WriteFile(path, []byte(`{"fleet":{"enabled":false,"site":"x","members":[],"folder":"`+disk+`",
		"attached":{"enabled":true},"zone":"a"}}`), 0o600))
	count := func(args ...string) (fds map[string]int, threads int) {
		r := start(t, 0, nil, func(r *testharness.Harness) { r.Args = args })
		time.Sleep(200 * time.Millisecond)
		return holds(t, r.Cmd.Process.Pid)
	}
	without, few := count()
	with, many := count("serve", "--installation", path)
	assert.Equal(t, without, with)
	assert.LessOrEqual(t, many, few+2)
	_, err := os.Stat(disk)
	assert.True(t, os.IsNotExist(err))
}
