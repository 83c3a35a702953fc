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
	Index       int // index in Fleet.FrontEnds
	Name        string
	Zone        string
	ClientAddr  string     // host:port for clients
	PeerAddr    string     // host:port for other front ends; empty if attached
	StorageDir  string     // folder of the write-ahead log
	AdminSocket string     // path of the admin socket
	Cmd         *exec.Cmd  // the last process that was started
	Log         *LogBuffer // standard error of all its processes
	StartCount  int        // number of processes that were started
	// Attached is true for an attached front end, which the settings do not list as a control member.
	Attached      bool
	FleetSettings map[string]any // overrides Fleet.FleetSettings for this front end
	running       bool           // the harness has started the process and not ended it since
}

// servingLogMessage is part of the line that a process logs once it serves.
const servingLogMessage = "msg=serving"

// writeFiles writes the configuration and the installation file, and returns their paths.
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

// fleetSection returns the fleet section of the installation file. For other control members it has the addresses of
// the proxies to them.
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

// Start writes the front end's files, starts its process and waits until it serves. The test fails if it doesn't
// serve in time.
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
		"%s did not start to serve: %s", n.Name, n.Log)
}

// timesServed returns how many of the front end's processes have started to serve.
func (n *FrontEnd) timesServed() int { return strings.Count(n.Log.String(), servingLogMessage) }

func (n *FrontEnd) signal(s syscall.Signal) { require.NoError(n.Fleet.T, n.Cmd.Process.Signal(s)) }

// Reload writes the front end's files again, with the current settings, and makes the process reload them (SIGHUP).
func (n *FrontEnd) Reload() {
	n.Fleet.LogStep("reload %s", n.Name)
	n.writeFiles()
	n.signal(syscall.SIGHUP)
}

// Terminate terminates the process gracefully (SIGTERM), and waits until it has exited. The test fails if it exits with
// an error, or doesn't exit in time.
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
		require.Fail(n.Fleet.T, "process did not exit after SIGTERM", n.Name)
	}
}

// killIfRunning kills the process, unless the harness has ended it already, and waits until it has exited.
func (n *FrontEnd) killIfRunning() {
	if !n.running {
		return
	}
	n.running = false
	_ = n.Cmd.Process.Signal(syscall.SIGCONT)
	_ = n.Cmd.Process.Kill()
	_ = n.Cmd.Wait()
}

// Kill kills the process (SIGKILL). If removeStorage is set, it also removes the storage folder.
func (n *FrontEnd) Kill(removeStorage bool) {
	n.Fleet.LogStep("kill %s, storage removed: %v", n.Name, removeStorage)
	n.killIfRunning()
	if removeStorage {
		require.NoError(n.Fleet.T, os.RemoveAll(n.StorageDir))
	}
}

// QuitWithStacks makes the process write the stacks of all goroutines to its log and exit (SIGQUIT), and waits until it
// has exited.
func (n *FrontEnd) QuitWithStacks() {
	n.Fleet.LogStep("quit %s", n.Name)
	n.signal(syscall.SIGQUIT)
	n.running = false
	_ = n.Cmd.Wait() // the error only reports the signal
}

// Pause pauses the process (SIGSTOP).
func (n *FrontEnd) Pause() {
	n.Fleet.LogStep("pause %s", n.Name)
	n.signal(syscall.SIGSTOP)
}

// Resume resumes a paused process (SIGCONT).
func (n *FrontEnd) Resume() {
	n.Fleet.LogStep("resume %s", n.Name)
	n.signal(syscall.SIGCONT)
}

// SetDiskFull simulates a full disk: it limits the size of the files that the process writes to the present size of its
// write-ahead log. If full is false, it removes the limit.
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

// WaitForLog waits until the front end's log matches the pattern. The test fails if it doesn't in time.
func (n *FrontEnd) WaitForLog(pattern string) {
	n.Fleet.T.Helper()
	require.Eventually(n.Fleet.T, func() bool { return n.LogMatches(pattern) > 0 }, WaitTimeout, fastPollInterval, pattern)
}

// LogMatches returns the number of matches of the pattern in the front end's log.
func (n *FrontEnd) LogMatches(pattern string) int {
	return len(regexp.MustCompile(pattern).FindAllString(n.Log.String(), -1))
}
