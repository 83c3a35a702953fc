package standin

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/standin/site"
)

// Rig is the test harness of a single front end: its process, the stub engines and the stub discovery service.
type Rig struct {
	T       *testing.T
	Program string        // path of the executable
	Args    []string      // of the process
	Env     []string      // of the process, besides NODE_CONFIG
	Cmd     *exec.Cmd     // the process
	Addr    string        // where the front end listens for clients
	Ready   time.Duration // from the start of the process until it served
	Log     *LockedBuffer // what the process has written to standard error
	Exited  chan error    // has the process's exit once it has ended
	Journal net.Listener  // of the stub discovery service
	Mu      sync.Mutex    // guards Calls, and what handlers share
	Calls   []Call        // all requests that the engines received
	Engines []*Engine
	// Settings is the settings document that the process is started with.
	Settings map[string]any
	Sockets  int                            // configured limit of open sockets
	MemoryMB int                            // configured limit of memory, in MiB
	Conns    func(net.Conn, http.ConnState) // sees the states of the engines' connections, where it is not nil
	// EngineTLS returns the TLS configuration of an engine; nil makes all connections plain.
	EngineTLS func(e *Engine) *tls.Config
	Config    map[string]any // the node's configuration
	Path      string         // of the configuration's file
}

// listenLogField matches the address in the line that the process logs when it serves.
var listenLogField = regexp.MustCompile(`listen=(\S+)`)

// Start starts the program with so many stub engines, which all respond by handler do, and waits until the front end
// serves. Each function of change may change the harness before engines and process start. The test fails where the
// process doesn't serve in time.
func Start(t *testing.T, program string, engines int, do Answer, change ...func(*Rig)) *Rig {
	r := &Rig{T: t, Program: program, Log: &LockedBuffer{}, Exited: make(chan error, 1),
		Sockets: site.DefaultSockets, MemoryMB: site.MemoryMB}
	require.NoError(t, json.Unmarshal([]byte(Settings), &r.Settings))
	for i := range engines {
		r.Engines = append(r.Engines, r.newEngine(i+1, do))
	}
	var err error
	r.Journal, err = net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { r.Journal.Close() })
	for _, f := range change {
		f(r)
	}
	r.startEngines()
	r.Run(r.nodeConfig())
	r.waitServing()
	return r
}

// startEngines starts all stub engines.
func (r *Rig) startEngines() {
	for _, engine := range r.Engines {
		var config *tls.Config
		if r.EngineTLS != nil {
			config = r.EngineTLS(engine)
		}
		engine.start(config)
	}
}

// nodeConfig returns the configuration that the process is started with. It lists all engines.
func (r *Rig) nodeConfig() map[string]any {
	var engines []site.Engine
	for _, engine := range r.Engines {
		engines = append(engines, site.Engine{Name: engine.Name, Address: engine.Addr.String()})
	}
	return map[string]any{
		"name":     "n0",
		"listen":   "127.0.0.1:0",
		"seed":     "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": r.Sockets},
		"journal":  r.Journal.Addr().String(),
		"settings": r.Settings,
		"known":    site.KnownEndpoints(engines),
	}
}

// waitServing waits until the process logs its address, and sets Addr and Ready.
func (r *Rig) waitServing() {
	began := time.Now()
	require.Eventually(r.T, func() bool {
		if match := listenLogField.FindStringSubmatch(r.Log.String()); match != nil {
			r.Addr = match[1]
		}
		return r.Addr != ""
	}, Patience, fastPollInterval, "%s", r.Log)
	r.Ready = time.Since(began)
}

// Run writes the configuration and starts the process. The process is killed with the test, which prints its log if it
// failed.
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

// Write replaces the configuration's file, at once, by what Config has now.
func (r *Rig) Write() {
	text, err := json.Marshal(r.Config)
	require.NoError(r.T, err)
	require.NoError(r.T, os.WriteFile(r.Path+".new", text, 0o600))
	require.NoError(r.T, os.Rename(r.Path+".new", r.Path))
}

// Got returns the requests that the engines have received with the method and a path of the given beginning.
func (r *Rig) Got(method, path string) (list []Call) {
	r.Mu.Lock()
	defer r.Mu.Unlock()
	for _, call := range r.Calls {
		if call.Method == method && strings.HasPrefix(call.Path, path) {
			list = append(list, call)
		}
	}
	return list
}

// Await waits until the engines have received at least n such requests, and returns them. The test fails where they
// don't come in time.
func (r *Rig) Await(n int, method, path string) []Call {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return len(r.Got(method, path)) >= n }, Patience, fastPollInterval)
	return r.Got(method, path)
}

// AwaitLog waits until the process's log contains a text. The test fails where it doesn't in time.
func (r *Rig) AwaitLog(text string) {
	r.T.Helper()
	require.Eventually(r.T, func() bool { return strings.Contains(r.Log.String(), text) }, Patience, fastPollInterval)
}
