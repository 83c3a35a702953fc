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

// Front is one front end of a fleet, and its process.
type Front struct {
	F      *Fleet
	N      int // index in the fleet's list
	Name   string
	Zone   string
	Listen string        // host:port for clients
	Peer   string        // host:port for other front ends; empty at an attached one
	Folder string        // of what it stores
	Admin  string        // path of the operators' socket
	Cmd    *exec.Cmd     // the process that was started last
	Log    *LockedBuffer // what all its processes have written to standard error
	Starts int           // how many processes were started
	// Attached is set on a front end that the settings do not list as a control member.
	Attached bool
	Section  map[string]any // overrides, for this front end, what the fleet has
	running  bool           // the process was started and not ended by the harness since
}

// servingLogMessage is in the line that a process logs once it serves.
const servingLogMessage = "msg=serving"

// writeFiles writes the front end's files, and returns their paths.
func (n *Front) writeFiles() (config, installation string) {
	files := site.Front{
		Name:      n.Name,
		Listen:    n.Listen,
		Seed:      fmt.Sprintf("%x", 100*n.N+n.Starts),
		Journal:   n.F.discovery.Address(),
		FrontEnds: len(n.F.Fronts),
		Fleet:     n.fleetSection(),
	}
	for _, engine := range n.F.Workers {
		files.Engines = append(files.Engines, site.Engine{Name: engine.Name, Address: engine.Addr.String()})
	}
	config, installation, err := files.Write(n.F.Dir)
	require.NoError(n.F.T, err)
	return config, installation
}

// fleetSection returns the fleet's section of the installation file. The addresses of other control members are
// those of the proxies to them.
func (n *Front) fleetSection() map[string]any {
	var members []site.Member
	for _, other := range n.F.Controls() {
		address := n.Peer
		if other != n {
			address = n.F.Way(n, other).Addr
		}
		members = append(members, site.Member{Name: other.Name, Address: address, Zone: other.Zone})
	}
	section := map[string]any{"enabled": true, "site": n.F.Site, "members": members, "admin": n.Admin}
	if n.F.Lasting && !n.Attached {
		section["folder"] = n.Folder
	}
	if n.Attached {
		section["zone"] = n.Zone
	}
	maps.Copy(section, n.F.Section)
	maps.Copy(section, n.Section)
	return section
}

// Start writes the front end's files and starts its process, and waits until that serves. The test fails where it
// doesn't in time.
func (n *Front) Start() {
	n.F.Did("start %s", n.Name)
	n.Starts++
	config, installation := n.writeFiles()
	n.Cmd = exec.Command(n.F.Program, "serve", "--installation", installation)
	n.Cmd.Env = []string{"NODE_CONFIG=" + config}
	if n.Log == nil {
		n.Log = &LockedBuffer{}
	}
	before := n.timesServed()
	n.Cmd.Stderr = n.Log
	require.NoError(n.F.T, n.Cmd.Start())
	n.running = true
	require.Eventually(n.F.T, func() bool { return n.timesServed() > before }, Patience, fastPollInterval,
		"%s does not serve: %s", n.Name, n.Log)
}

// timesServed returns how many of the front end's processes have begun to serve.
func (n *Front) timesServed() int { return strings.Count(n.Log.String(), servingLogMessage) }

func (n *Front) signal(s syscall.Signal) { require.NoError(n.F.T, n.Cmd.Process.Signal(s)) }

// Reload writes the front end's files again, with what its section has now, and has the process read them (SIGHUP).
func (n *Front) Reload() {
	n.F.Did("reload %s", n.Name)
	n.writeFiles()
	n.signal(syscall.SIGHUP)
}

// Leave terminates the process gracefully (SIGTERM), and waits until it has ended. The test fails where it reports
// an error, or doesn't end in time.
func (n *Front) Leave() {
	n.F.Did("terminate %s", n.Name)
	n.signal(syscall.SIGTERM)
	n.running = false
	exited := make(chan error, 1)
	go func() { exited <- n.Cmd.Wait() }()
	select {
	case err := <-exited:
		require.NoError(n.F.T, err)
	case <-time.After(Patience):
		_ = n.Cmd.Process.Kill()
		require.Fail(n.F.T, "it does not end", n.Name)
	}
}

// killIfRunning kills the process, unless the harness has ended it already, and waits until it has ended.
func (n *Front) killIfRunning() {
	if !n.running {
		return
	}
	n.running = false
	_ = n.Cmd.Process.Signal(syscall.SIGCONT)
	_ = n.Cmd.Process.Kill()
	_ = n.Cmd.Wait()
}

// Kill kills the process (SIGKILL); removeStorage also removes what it has stored.
func (n *Front) Kill(removeStorage bool) {
	n.F.Did("kill %s, disk emptied: %v", n.Name, removeStorage)
	n.killIfRunning()
	if removeStorage {
		require.NoError(n.F.T, os.RemoveAll(n.Folder))
	}
}

// Quit has the process write the stacks of all its goroutines to its log and end (SIGQUIT), and waits until it has
// ended.
func (n *Front) Quit() {
	n.F.Did("quit %s", n.Name)
	n.signal(syscall.SIGQUIT)
	n.running = false
	_ = n.Cmd.Wait() // its error is that of the signal
}

// Stop pauses the process (SIGSTOP).
func (n *Front) Stop() {
	n.F.Did("stop %s", n.Name)
	n.signal(syscall.SIGSTOP)
}

// Continue resumes a process that is paused (SIGCONT).
func (n *Front) Continue() {
	n.F.Did("continue %s", n.Name)
	n.signal(syscall.SIGCONT)
}

// Full limits the size of files that the process may write to the present size of its log, as on a disk that is
// full, or lifts the limit.
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

// AwaitLog waits until the front end's log matches a pattern. The test fails where it doesn't in time.
func (n *Front) AwaitLog(pattern string) {
	n.F.T.Helper()
	require.Eventually(n.F.T, func() bool { return n.Logged(pattern) > 0 }, Patience, fastPollInterval, pattern)
}

// Logged returns how often a pattern matches in the front end's log.
func (n *Front) Logged(pattern string) int {
	return len(regexp.MustCompile(pattern).FindAllString(n.Log.String(), -1))
}
