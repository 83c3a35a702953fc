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
	Mu      sync.Mutex    // guards the requests, and what handlers share
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

// Start starts the program with so many stub engines, which all respond by the handler, and waits until the front
// end serves. Each of the options may change the harness before engines and process start. The test fails where the
// process doesn't serve in time.
func Start(t *testing.T, program string, engines int, handler Answer, options ...func(*Rig)) *Rig {
	h := &Rig{
		T:        t,
		Program:  program,
		Log:      &LockedBuffer{},
		Exited:   make(chan error, 1),
		Sockets:  site.DefaultSockets,
		MemoryMB: site.MemoryMB,
	}
	require.NoError(t, json.Unmarshal([]byte(Settings), &h.Settings))
	for i := range engines {
		h.Engines = append(h.Engines, h.newEngine(i+1, handler))
	}
	var err error
	h.Journal, err = net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { h.Journal.Close() })
	for _, option := range options {
		option(h)
	}
	h.startEngines()
	h.Run(h.nodeConfig())
	h.waitServing()
	return h
}

// startEngines starts all stub engines.
func (h *Rig) startEngines() {
	for _, engine := range h.Engines {
		var config *tls.Config
		if h.EngineTLS != nil {
			config = h.EngineTLS(engine)
		}
		engine.start(config)
	}
}

// nodeConfig returns the configuration that the process is started with. It lists all engines.
func (h *Rig) nodeConfig() map[string]any {
	var engines []site.Engine
	for _, engine := range h.Engines {
		engines = append(engines, site.Engine{Name: engine.Name, Address: engine.Addr.String()})
	}
	return map[string]any{
		"name":     "n0",
		"listen":   "127.0.0.1:0",
		"seed":     "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": h.MemoryMB, "sockets": h.Sockets},
		"journal":  h.Journal.Addr().String(),
		"settings": h.Settings,
		"known":    site.KnownEndpoints(engines),
	}
}

// waitServing waits until the process logs its address, and sets the address and the time that this took.
func (h *Rig) waitServing() {
	began := time.Now()
	require.Eventually(h.T, func() bool {
		if match := listenLogField.FindStringSubmatch(h.Log.String()); match != nil {
			h.Addr = match[1]
		}
		return h.Addr != ""
	}, Patience, fastPollInterval, "%s", h.Log)
	h.Ready = time.Since(began)
}

// Run writes the configuration and starts the process. The process is killed with the test, which prints its log if
// it failed.
func (h *Rig) Run(config map[string]any) {
	h.Config, h.Path = config, filepath.Join(h.T.TempDir(), "config.json")
	h.Write()
	h.Cmd = exec.Command(h.Program, h.Args...)
	h.Cmd.Env = append([]string{"NODE_CONFIG=" + h.Path}, h.Env...)
	h.Cmd.Stderr = h.Log
	require.NoError(h.T, h.Cmd.Start())
	go func() { h.Exited <- h.Cmd.Wait() }()
	h.T.Cleanup(func() {
		_ = h.Cmd.Process.Kill()
		if h.T.Failed() {
			h.T.Log(h.Log)
		}
	})
}

// Write replaces the configuration's file, at once, by what the harness has now.
func (h *Rig) Write() {
	text, err := json.Marshal(h.Config)
	require.NoError(h.T, err)
	require.NoError(h.T, os.WriteFile(h.Path+".new", text, 0o600))
	require.NoError(h.T, os.Rename(h.Path+".new", h.Path))
}

// Got returns the requests that the engines have received with the method and a path of the given beginning.
func (h *Rig) Got(method, pathPrefix string) (matching []Call) {
	h.Mu.Lock()
	defer h.Mu.Unlock()
	for _, call := range h.Calls {
		if call.Method == method && strings.HasPrefix(call.Path, pathPrefix) {
			matching = append(matching, call)
		}
	}
	return matching
}

// Await waits until the engines have received at least count such requests, and returns them. The test fails where
// they don't come in time.
func (h *Rig) Await(count int, method, pathPrefix string) []Call {
	h.T.Helper()
	received := func() bool { return len(h.Got(method, pathPrefix)) >= count }
	require.Eventually(h.T, received, Patience, fastPollInterval)
	return h.Got(method, pathPrefix)
}

// AwaitLog waits until the process's log contains a text. The test fails where it doesn't in time.
func (h *Rig) AwaitLog(text string) {
	h.T.Helper()
	logged := func() bool { return strings.Contains(h.Log.String(), text) }
	require.Eventually(h.T, logged, Patience, fastPollInterval)
}
