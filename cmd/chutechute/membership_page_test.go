package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// pageAddresses is the first three bytes of the addresses that the page's example takes.
const pageAddresses = "127.0.1."

// commands are a page's commands, in their order, but for those that build the program.
func commands(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	var list []string
	for _, m := range regexp.MustCompile("(?ms)^```sh$\n(.*?)^```$").FindAllSubmatch(text, -1) {
		list = append(list, string(m[1]))
	}
	require.NotEmpty(t, list)
	return strings.Join(list, "\n")
}

// What the page on membership has a new operator do, in a folder of its own and on addresses of its own: three control members
// and two attached front ends come up and see one another, one ends as planned and is seen to have left, and all end.
func TestExampleOfTheMembershipPage(t *testing.T) {
	t.Parallel()
	script := commands(t, "../../docs/operators/membership.md")
	require.Contains(t, script, pageAddresses)
	script = strings.ReplaceAll(script, pageAddresses, testharness.LoopbackPrefix()+".")
	ctx, cancel := context.WithTimeout(t.Context(), 2*testharness.WaitTimeout)
	defer cancel()
	said, err := os.Create(filepath.Join(t.TempDir(), "said")) // no pipe, that what is left behind would keep open
	require.NoError(t, err)
	defer said.Close()
	cmd := exec.CommandContext(ctx, "/bin/sh", "-u")
	cmd.Dir = t.TempDir()
	cmd.Env = []string{"PATH=" + filepath.Dir(program) + ":" + os.Getenv("PATH")}
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(script), said, said
	cmd.WaitDelay = time.Second
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(t, cmd.Start())
	t.Cleanup(func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }) // and what it started, where that has not ended
	ended := cmd.Wait()
	out, err := os.ReadFile(said.Name())
	require.NoError(t, err)
	require.NoError(t, ended, "%s", out)
	for _, name := range []string{"n1", "n2", "n3", "x1", "x2"} {
		log, err := os.ReadFile(filepath.Join(cmd.Dir, "fleet-example", name+".log"))
		require.NoError(t, err)
		assert.Contains(t, string(log), "msg=serving", name)
		assert.Contains(t, string(log), "phase=closing", name)
		assert.NotContains(t, string(log), "level=ERROR", name)
	}
	for _, line := range []string{`(?m)^ok$\n^ok$`, `n2 +control +room-b +alive`, `x1 +attached +room-c +alive +n3`,
		`x2 +attached +room-c +left`,
		`(?m)^role +attached$`, `(?m)^home +n3$`, `attached to +n3, n[12]`} {
		assert.Regexp(t, line, string(out))
	}
	if t.Failed() {
		t.Logf("%s", out)
	}
}
