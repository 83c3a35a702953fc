package standin

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"chutechute/internal/standin/site"
)

// Front is one front end of a fleet.
type Front struct {
	F      *Fleet
	N      int
	Name   string
	Zone   string
	Listen string // for clients
	Peer   string // for other front ends
	Folder string
	Admin  string
	Cmd    *exec.Cmd
	Log    *LockedBuffer
	Starts int
	// Attached is set on one that the settings do not name.
	Attached bool
	Section  map[string]any // what its fleet's section sets besides, over the fleet's
	alive    bool
}

// write writes the front end's files, and gives their paths.
func (n *Front) write() (config, installation string) {
	files := site.Front{Name: n.Name, Listen: n.Listen, Seed: fmt.Sprintf("%x", 100*n.N+n.Starts), Journal: n.F.journal.Address(),
		FrontEnds: len(n.F.Fronts)}
	for _, w := range n.F.Workers {
		files.Engines = append(files.Engines, site.Engine{Name: w.Name, Address: w.Addr.String()})
	}
	var members []site.Member
	for _, o := range n.F.Controls() {
		addr := n.Peer
		if o != n {
			addr = n.F.relays[[2]int{n.N, o.N}].Addr
		}
		members = append(members, site.Member{Name: o.Name, Address: addr, Zone: o.Zone})
	}
	files.Fleet = map[string]any{"enabled": true, "site": n.F.Site, "members": members, "admin": n.Admin}
	if n.F.Lasting && !n.Attached {
		files.Fleet["folder"] = n.Folder
	}
	if n.Attached {
		files.Fleet["zone"] = n.Zone
	}
	maps.Copy(files.Fleet, n.F.Section)
	maps.Copy(files.Fleet, n.Section)
	config, installation, err := files.Write(n.F.Dir)
	require.NoError(n.F.T, err)
	return config, installation
}

// Start starts the front end's process, under its name and addresses.
func (n *Front) Start() {
	n.F.Did("start %s", n.Name)
	n.Starts++
	config, installation := n.write()
	n.Cmd = exec.Command(n.F.Program, "serve", "--installation", installation)
	n.Cmd.Env = []string{"NODE_CONFIG=" + config}
	if n.Log == nil {
		n.Log = &LockedBuffer{}
	}
	before := strings.Count(n.Log.String(), "msg=serving")
	n.Cmd.Stderr = n.Log
	require.NoError(n.F.T, n.Cmd.Start())
	n.alive = true
	require.Eventually(n.F.T, func() bool { return strings.Count(n.Log.String(), "msg=serving") > before }, Patience, time.Millisecond,
		"%s does not serve: %s", n.Name, n.Log)
}

// Reload has the front end read its files again, after a change of the section.
func (n *Front) Reload() {
	n.F.Did("reload %s", n.Name)
	n.write()
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGHUP))
}

// Leave ends the process as planned, and waits until it has ended.
func (n *Front) Leave() {
	n.F.Did("terminate %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGTERM))
	n.alive = false
	ended := make(chan error, 1)
	go func() { ended <- n.Cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(n.F.T, err)
	case <-time.After(Patience):
		_ = n.Cmd.Process.Kill()
		require.Fail(n.F.T, "it does not end", n.Name)
	}
}

func (n *Front) stop() {
	if n.alive {
		n.alive = false
		_ = n.Cmd.Process.Signal(syscall.SIGCONT)
		_ = n.Cmd.Process.Kill()
		_ = n.Cmd.Wait()
	}
}

// Kill ends the process at once; empty loses its disk too.
func (n *Front) Kill(empty bool) {
	n.F.Did("kill %s, disk emptied: %v", n.Name, empty)
	n.stop()
	if empty {
		require.NoError(n.F.T, os.RemoveAll(n.Folder))
	}
}

// Stop has the process stand still; Continue lets it go on.
func (n *Front) Stop() {
	n.F.Did("stop %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGSTOP))
}

// Continue lets a process go on that stands still.
func (n *Front) Continue() {
	n.F.Did("continue %s", n.Name)
	require.NoError(n.F.T, n.Cmd.Process.Signal(syscall.SIGCONT))
}

// Status is what a front end says of itself on its operators' socket; nil where it does not answer.
func (n *Front) Status() map[string]any { return n.Question("status") }

// Question puts a question on the operators' socket; nil where there is no answer.
func (n *Front) Question(question string) map[string]any {
	var v map[string]any
	if !n.ask(question, &v) {
		return nil
	}
	return v
}

// Full bounds the size of the files that the process may write to what they have, as on a full disk.
func (n *Front) Full(full bool) {
	n.F.Did("disk of %s full: %v", n.Name, full)
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		info, err := os.Stat(filepath.Join(n.Folder, "log"))
		require.NoError(n.F.T, err)
		limit.Cur = uint64(info.Size())
	}
	require.NoError(n.F.T, unix.Prlimit(n.Cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// AwaitLog waits until a line of the front end's log matches.
func (n *Front) AwaitLog(pattern string) {
	n.F.T.Helper()
	require.Eventually(n.F.T, func() bool { return n.Logged(pattern) > 0 }, Patience, time.Millisecond, pattern)
}

// Logged counts the lines of a front end's log that match.
func (n *Front) Logged(pattern string) int {
	return len(regexp.MustCompile(pattern).FindAllString(n.Log.String(), -1))
}
