// Package standin plays what surrounds a front end: its clients, its engines and its journal service, written from
// the protocol and apart from the program's own codecs. Tests and tools share it. All of it stays on loopback
// addresses.
package standin

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Patience bounds each wait; nothing is timed by it.
const Patience = 20 * time.Second

// restOfStart is for how long a program that has started has to hold as many descriptors.
const restOfStart = 50 * time.Millisecond

// Rig is a front end that runs, with its journal service and engines.
type Rig struct {
	T        *testing.T
	Program  string // that is started
	Args     []string
	Env      []string // besides NODE_CONFIG
	Cmd      *exec.Cmd
	Addr     string        // where the front end listens
	Ready    time.Duration // from its start until it served
	Log      *LockedBuffer
	Exited   chan error
	Journal  net.Listener
	Mu       sync.Mutex
	Calls    []Call
	Engines  []*Engine
	Settings map[string]any
	Sockets  int
	MemoryMB int
	Conns    func(net.Conn, http.ConnState) // sees the engines' connections
	// EngineTLS is what an engine's connections are made with; nil has them plain.
	EngineTLS func(e *Engine) *tls.Config
	Config    map[string]any
	Path      string // of the configuration
}

// deployed is the build of the deploy file, without the folder that it builds into and what it builds.
var deployed = regexp.MustCompile(`(?m)^build = "mkdir -p bin && (.*) -o bin/ \./cmd/\.\.\."$`)

// Build builds the program and what it needs beside it, as the deploy file does, into a new folder; the caller removes that.
// It is called from the program's own folder.
func Build() (program string, remove func(), err error) {
	const root = "../.."
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", nil, err
	}
	build := deployed.FindSubmatch(deploy)
	if build == nil {
		return "", nil, errors.New("deploy/balancer.toml: build has another form")
	}
	dir, err := os.MkdirTemp("", "chutechute")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	cmd := exec.Command("/bin/sh", "-c", string(build[1])+" -o "+dir+"/ ./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		remove()
		return "", nil, fmt.Errorf("build: %w: %s", err, out)
	}
	return filepath.Join(dir, "chutechute"), remove, nil
}

// Variant builds the program with one of its files in another form, for faults that can't be put there from outside. It is
// called from the program's own folder, as Build is.
func Variant(t *testing.T, file, text string) (program string) {
	dir := t.TempDir()
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	other := filepath.Join(dir, "other.go")
	require.NoError(t, os.WriteFile(other, []byte(text), 0o600))
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{filepath.Join(root, file): other}})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600))
	program = filepath.Join(dir, "chutechute")
	cmd := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, ".")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return program
}

// Start runs the program with engines that answer so.
func Start(t *testing.T, program string, engines int, do Answer, change ...func(*Rig)) *Rig {
	r := &Rig{T: t, Program: program, Log: &LockedBuffer{}, Exited: make(chan error, 1), Sockets: 1024, MemoryMB: 192}
	require.NoError(t, json.Unmarshal([]byte(Settings), &r.Settings))
	for i := range engines {
		e := &Engine{Name: fmt.Sprintf("s-%08x", i+1)}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			body, _ := io.ReadAll(req.Body)
			c := Call{e.Name, req.Method, req.URL.Path, req.Header, string(body), time.Now(), req.Context().Done()}
			r.Mu.Lock()
			r.Calls = append(r.Calls, c)
			r.Mu.Unlock()
			do(r, w, c)
		}))
		server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
			if r.Conns != nil {
				r.Conns(conn, state)
			}
		}
		e.Server = server
		e.Addr = server.Listener.Addr().(*net.TCPAddr)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		r.Engines = append(r.Engines, e)
	}
	var err error
	r.Journal, err = net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { r.Journal.Close() })
	for _, f := range change {
		f(r)
	}
	for _, e := range r.Engines {
		if r.EngineTLS != nil {
			e.Server.TLS = r.EngineTLS(e)
			e.Server.StartTLS()
		} else {
			e.Server.Start()
		}
	}
	var targets []any
	for _, e := range r.Engines {
		targets = append(targets, map[string]any{"uid": e.Name, "endpoint": e.Addr.String(), "az": "a",
			"model": "k", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	r.Run(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": r.Sockets},
		"journal": r.Journal.Addr().String(), "settings": r.Settings,
		"known": map[string]any{"pos": 41, "entries": []any{map[string]any{"pos": 41,
			"hosts": map[string]any{"rev": 1, "all": true, "targets": targets}}}}})
	began := time.Now()
	listen := regexp.MustCompile(`listen=(\S+)`)
	require.Eventually(t, func() bool {
		if m := listen.FindStringSubmatch(r.Log.String()); m != nil {
			r.Addr = m[1]
		}
		return r.Addr != ""
	}, Patience, time.Millisecond, "%s", r.Log)
	r.Ready = time.Since(began)
	return r
}

// Again has another process take the address of an engine whose listener was closed; it answers as the one before.
func (r *Rig) Again(e *Engine) error {
	l, err := net.Listen("tcp4", e.Addr.String())
	if err != nil {
		return err
	}
	server := httptest.NewUnstartedServer(e.Server.Config.Handler)
	server.Listener.Close()
	server.Listener = l
	server.Start()
	r.T.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return nil
}

// Run starts the program; it is ended with the test, which shows its log if it failed.
func (r *Rig) Run(config map[string]any) {
	r.Config, r.Path = config, filepath.Join(r.T.TempDir(), "config.json")
	r.Write()
	r.Cmd = exec.Command(r.Program, r.Args...)
	r.Cmd.Env = append([]string{"NODE_CONFIG=" + r.Path}, r.Env...)
	r.Cmd.Stderr = r.Log
	require.NoError(r.T, r.Cmd.Start())
	go func() { r.Exited <- r.Cmd.Wait() }()
	r.T.Cleanup(func() {
		_ = r.Cmd.Process.Kill()
		if r.T.Failed() {
			r.T.Log(r.Log)
		}
	})
}

// Write puts the configuration into its file, in place of what was there.
func (r *Rig) Write() {
	text, err := json.Marshal(r.Config)
	require.NoError(r.T, err)
	require.NoError(r.T, os.WriteFile(r.Path+".new", text, 0o600))
	require.NoError(r.T, os.Rename(r.Path+".new", r.Path))
}

// Signal sends the front end a signal.
func (r *Rig) Signal(s syscall.Signal) { require.NoError(r.T, r.Cmd.Process.Signal(s)) }

// Counter is the present value of one of the front end's counters.
func (r *Rig) Counter(name string) (n int) {
	r.T.Helper()
	line := regexp.MustCompile("(?m)^" + regexp.QuoteMeta(name) + " +([0-9]+)$")
	before := len(r.Log.String())
	r.Signal(syscall.SIGUSR1)
	require.Eventually(r.T, func() bool {
		m := line.FindStringSubmatch(r.Log.String()[before:])
		if m != nil {
			n, _ = strconv.Atoi(m[1])
		}
		return m != nil
	}, Patience, time.Millisecond)
	return n
}

// Descriptors is how many the program holds.
func (r *Rig) Descriptors() int { return len(r.descriptors()) }

// descriptors is the numbers of those that the program holds.
func (r *Rig) descriptors() (numbers []string) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Cmd.Process.Pid))
	require.NoError(r.T, err)
	for _, entry := range entries {
		numbers = append(numbers, entry.Name())
	}
	return numbers
}

// HoldDescriptors leaves the program so many descriptors besides those that it holds. What it opened only to start is closed first:
// they have to stay the same for a while. The system's limit is on the numbers of descriptors, of which some may be unused.
func (r *Rig) HoldDescriptors(free int) {
	held, since := r.descriptors(), time.Now()
	for time.Since(since) < restOfStart {
		time.Sleep(time.Millisecond)
		if now := r.descriptors(); !slices.Equal(now, held) {
			held, since = now, time.Now()
		}
	}
	most := uint64(0)
	for ; free > 0; most++ {
		if !slices.Contains(held, strconv.FormatUint(most, 10)) {
			free--
		}
	}
	require.NoError(r.T, unix.Prlimit(r.Cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: most, Max: most}, nil))
}

// State is the program's state as the system tells it: T where it is stopped.
func (r *Rig) State() (byte, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.Cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	return stat[bytes.LastIndexByte(stat, ')')+2], nil
}

// PeakMB is the most memory that the program has held.
func (r *Rig) PeakMB() (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Cmd.Process.Pid))
	require.NoError(r.T, err)
	_, err = fmt.Sscanf(string(status[bytes.Index(status, []byte("VmHWM:")):]), "VmHWM: %d kB", &kb)
	require.NoError(r.T, err)
	return kb / 1024
}

// Got is the calls that engines have got, by method and the start of the path.
func (r *Rig) Got(method, path string) (list []Call) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	for _, c := range r.Calls {
		if c.Method == method && strings.HasPrefix(c.Path, path) {
			list = append(list, c)
		}
	}
	return list
}

// Await waits until that many such calls have come.
func (r *Rig) Await(n int, method, path string) []Call {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return len(r.Got(method, path)) >= n }, Patience, time.Millisecond)
	return r.Got(method, path)
}

// AwaitLog waits until a text stands in the front end's log.
func (r *Rig) AwaitLog(text string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return strings.Contains(r.Log.String(), text) }, Patience, time.Millisecond)
}

// LockedBuffer is a buffer that is written and read at the same time.
type LockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write adds to the buffer.
func (l *LockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String is all that was written.
func (l *LockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
