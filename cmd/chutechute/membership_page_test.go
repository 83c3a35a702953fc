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

// pageAddressPrefix is the first three bytes of the addresses in the page's example.
const pageAddressPrefix = "127.0.1."

// shellCommands returns the commands of a page's sh code blocks, in their order.
func shellCommands(t *testing.T, page string) string {
	t.Helper()
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	var blocks []string
	for _, m := range regexp.MustCompile("(?ms)^```sh$\n(.*?)^```$").FindAllSubmatch(content, -1) {
		blocks = append(blocks, string(m[1]))
	}
	require.NotEmpty(t, blocks)
	return strings.Join(blocks, "\n")
}

// The example on the operators' page about membership must work as written. It runs in a folder and on addresses of
// its own. Three control members and two attached front ends start and see each other, one attached front end shuts
// down gracefully and is seen to have left, and all processes end.
func TestExampleOfTheMembershipPage(t *testing.T) {
	t.Parallel()
	script := shellCommands(t, "../../docs/operators/membership.md")
	require.Contains(t, script, pageAddressPrefix)
	script = strings.ReplaceAll(script, pageAddressPrefix, testharness.LoopbackPrefix()+".")
	ctx, cancel := context.WithTimeout(t.Context(), 2*testharness.WaitTimeout)
	defer cancel()
	// A file, since processes that are left behind would keep a pipe open.
	output, err := os.Create(filepath.Join(t.TempDir(), "output"))
	require.NoError(t, err)
	defer output.Close()
	cmd := exec.CommandContext(ctx, "/bin/sh", "-u")
	cmd.Dir = t.TempDir()
	cmd.Env = []string{"PATH=" + filepath.Dir(program) + ":" + os.Getenv("PATH")}
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(script), output, output
	cmd.WaitDelay = time.Second
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(t, cmd.Start())
	// Ends the process group, including processes that the script left running.
	t.Cleanup(func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) })
	exitErr := cmd.Wait()
	text, err := os.ReadFile(output.Name())
	require.NoError(t, err)
	require.NoError(t, exitErr, "%s", text)
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
		assert.Regexp(t, line, string(text))
	}
	if t.Failed() {
		t.Logf("%s", text)
	}
}
