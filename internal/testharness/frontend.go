package testharness

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

	"chutechute/internal/testharness/site"
)

// FrontEnd is one front end of a fleet, and its process.
type FrontEnd struct {
	Fleet       *Fleet
	Index       int // index in the fleet's list
	Name        string
	Zone        string
	ClientAddr  string     // host:port for clients
	PeerAddr    string     // host:port for other front ends; empty at an attached one
	StorageDir  string     // of what it stores
	AdminSocket string     // path of the operators' socket
	Cmd         *exec.Cmd  // the process that was started last
	Log         *LogBuffer // what all its processes have written to standard error
	StartCount  int        // how many processes were started
	// Attached is set on a front end that the settings do not list as a control member.
	Attached      bool
	FleetSettings map[string]any // overrides, for this front end, what the fleet has
	running       bool           // the process was started and not ended by the harness since
}

// servingLogMessage is in the line that a process logs once it serves.
const servingLogMessage = "msg=serving"

// writeFiles writes the front end's files, and returns their paths.
func (n *FrontEnd) writeFiles() (config, installation string) {
	files := site.FrontEndFiles{
		Name:          n.Name,
		ClientAddr:    n.ClientAddr,
		Seed:          fmt.Sprintf("%x", 100*n.Index+n.StartCount),
		DiscoveryAddr: n.Fleet.discovery.Addr(),
		SiteSize:      len(n.Fleet.FrontEnds),
		FleetSection:  n.fleetSection(),
	}
	for _, engine := range n.Fleet.Engines {
		files.Engines = append(files.Engines, site.Engine{Name: engine.Name, Address: engine.Addr.String()})
	}
	config, installation, err := files.Write(n.Fleet.Dir)
	require.NoError(n.Fleet.T, err)
	return config, installation
}

// fleetSection returns the fleet's section of the installation file. The addresses of other control members are
// those of the proxies to them.
func (n *FrontEnd) fleetSection() map[string]any {
	var members []site.ControlMember
	for _, other := range n.Fleet.ControlMembers() {
		address := n.PeerAddr
		if other != n {
			address = n.Fleet.Proxy(n, other).Addr
		}
		members = append(members, site.ControlMember{Name: other.Name, Address: address, Zone: other.Zone})
	}
	section := map[string]any{"enabled": true, "site": n.Fleet.SiteName, "members": members, "admin": n.AdminSocket}
	if n.Fleet.Durable && !n.Attached {
		section["folder"] = n.StorageDir
	}
	if n.Attached {
		section["zone"] = n.Zone
	}
	maps.Copy(section, n.Fleet.FleetSettings)
	maps.Copy(section, n.FleetSettings)
	return section
}

// Start writes the front end's files and starts its process, and waits until that serves. The test fails where it
// doesn't in time.
func (n *FrontEnd) Start() {
	n.Fleet.LogStep("start %s", n.Name)
	n.StartCount++
	config, installation := n.writeFiles()
	n.Cmd = exec.Command(n.Fleet.Program, "serve", "--installation", installation)
	n.Cmd.Env = []string{"NODE_CONFIG=" + config}
	if n.Log == nil {
		n.Log = &LogBuffer{}
	}
	before := n.timesServed()
	n.Cmd.Stderr = n.Log
	require.NoError(n.Fleet.T, n.Cmd.Start())
	n.running = true
	require.Eventually(n.Fleet.T, func() bool { return n.timesServed() > before }, WaitTimeout, fastPollInterval,
		"%s does not serve: %s", n.Name, n.Log)
}

// timesServed returns how many of the front end's processes have begun to serve.
func (n *FrontEnd) timesServed() int { return strings.Count(n.Log.String(), servingLogMessage) }

func (n *FrontEnd) signal(s syscall.Signal) { require.NoError(n.Fleet.T, n.Cmd.Process.Signal(s)) }

// Reload writes the front end's files again, with what its section has now, and has the process read them (SIGHUP).
func (n *FrontEnd) Reload() {
	n.Fleet.LogStep("reload %s", n.Name)
	n.writeFiles()
	n.signal(syscall.SIGHUP)
}

// Terminate terminates the process gracefully (SIGTERM), and waits until it has ended. The test fails where it reports
// an error, or doesn't end in time.
func (n *FrontEnd) Terminate() {
	n.Fleet.LogStep("terminate %s", n.Name)
	n.signal(syscall.SIGTERM)
	n.running = false
	exited := make(chan error, 1)
	go func() { exited <- n.Cmd.Wait() }()
	select {
	case err := <-exited:
		require.NoError(n.Fleet.T, err)
	case <-time.After(WaitTimeout):
		_ = n.Cmd.Process.Kill()
		require.Fail(n.Fleet.T, "it does not end", n.Name)
	}
}

// killIfRunning kills the process, unless the harness has ended it already, and waits until it has ended.
func (n *FrontEnd) killIfRunning() {
	if !n.running {
		return
	}
	n.running = false
	_ = n.Cmd.Process.Signal(syscall.SIGCONT)
	_ = n.Cmd.Process.Kill()
	_ = n.Cmd.Wait()
}

// Kill kills the process (SIGKILL); removeStorage also removes what it has stored.
func (n *FrontEnd) Kill(removeStorage bool) {
	n.Fleet.LogStep("kill %s, disk emptied: %v", n.Name, removeStorage)
	n.killIfRunning()
	if removeStorage {
		require.NoError(n.Fleet.T, os.RemoveAll(n.StorageDir))
	}
}

// QuitWithStacks has the process write the stacks of all its goroutines to its log and end (SIGQUIT), and waits
// until it has ended.
func (n *FrontEnd) QuitWithStacks() {
	n.Fleet.LogStep("quit %s", n.Name)
	n.signal(syscall.SIGQUIT)
	n.running = false
	_ = n.Cmd.Wait() // its error is that of the signal
}

// Pause pauses the process (SIGSTOP).
func (n *FrontEnd) Pause() {
	n.Fleet.LogStep("stop %s", n.Name)
	n.signal(syscall.SIGSTOP)
}

// Resume resumes a process that is paused (SIGCONT).
func (n *FrontEnd) Resume() {
	n.Fleet.LogStep("continue %s", n.Name)
	n.signal(syscall.SIGCONT)
}

// SetDiskFull limits the size of files that the process may write to the present size of its log, as on a disk that is
// full, or lifts the limit.
func (n *FrontEnd) SetDiskFull(full bool) {
	n.Fleet.LogStep("disk of %s full: %v", n.Name, full)
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		info, err := os.Stat(filepath.Join(n.StorageDir, "log"))
		require.NoError(n.Fleet.T, err)
		limit.Cur = uint64(info.Size())
	}
	require.NoError(n.Fleet.T, unix.Prlimit(n.Cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// WaitForLog waits until the front end's log matches a pattern. The test fails where it doesn't in time.
func (n *FrontEnd) WaitForLog(pattern string) {
	n.Fleet.T.Helper()
	require.Eventually(n.Fleet.T, func() bool { return n.LogMatches(pattern) > 0 }, WaitTimeout, fastPollInterval, pattern)
}

// LogMatches returns how often a pattern matches in the front end's log.
func (n *FrontEnd) LogMatches(pattern string) int {
	return len(regexp.MustCompile(pattern).FindAllString(n.Log.String(), -1))
}
