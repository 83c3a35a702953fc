package testharness

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

	"chutechute/internal/testharness/site"
)

// Harness is the test harness of a single front end: its process, the stub engines and the stub discovery service.
type Harness struct {
	T                 *testing.T
	Program           string          // path of the executable
	Args              []string        // of the process
	Env               []string        // of the process, besides NODE_CONFIG
	Cmd               *exec.Cmd       // the process
	Addr              string          // where the front end listens for clients
	StartupTime       time.Duration   // from the start of the process until it served
	Log               *LogBuffer      // what the process has written to standard error
	Exited            chan error      // has the process's exit once it has ended
	DiscoveryListener net.Listener    // of the stub discovery service
	mu                sync.Mutex      // guards the requests, and what handlers share
	AllRequests       []EngineRequest // all requests that the engines received
	Engines           []*StubEngine
	// Settings is the settings document that the process is started with.
	Settings      map[string]any
	SocketLimit   int                            // configured limit of open sockets
	MemoryLimitMB int                            // configured limit of memory, in MiB
	OnConnState   func(net.Conn, http.ConnState) // sees the states of the engines' connections, where it is not nil
	// EngineTLS returns the TLS configuration of an engine; nil makes all connections plain.
	EngineTLS      func(e *StubEngine) *tls.Config
	NodeConfig     map[string]any // the node's configuration
	NodeConfigPath string         // of the configuration's file
}

// listenLogField matches the address in the line that the process logs when it serves.
var listenLogField = regexp.MustCompile(`listen=(\S+)`)

// Start starts the program with so many stub engines, which all respond by the handler, and waits until the front
// end serves. Each of the options may change the harness before engines and process start. The test fails where the
// process doesn't serve in time.
func Start(t *testing.T, program string, engines int, handler EngineHandler, options ...func(*Harness)) *Harness {
	h := &Harness{
		T:             t,
		Program:       program,
		Log:           &LogBuffer{},
		Exited:        make(chan error, 1),
		SocketLimit:   site.DefaultSocketLimit,
		MemoryLimitMB: site.MemoryLimitMB,
	}
	require.NoError(t, json.Unmarshal([]byte(Settings), &h.Settings))
	for i := range engines {
		h.Engines = append(h.Engines, h.newEngine(i+1, handler))
	}
	var err error
	h.DiscoveryListener, err = net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { h.DiscoveryListener.Close() })
	for _, option := range options {
		option(h)
	}
	h.startEngines()
	h.StartProcess(h.nodeConfig())
	h.waitServing()
	return h
}

// startEngines starts all stub engines.
func (h *Harness) startEngines() {
	for _, engine := range h.Engines {
		var config *tls.Config
		if h.EngineTLS != nil {
			config = h.EngineTLS(engine)
		}
		engine.start(config)
	}
}

// nodeConfig returns the configuration that the process is started with. It lists all engines.
func (h *Harness) nodeConfig() map[string]any {
	var engines []site.Engine
	for _, engine := range h.Engines {
		engines = append(engines, site.Engine{Name: engine.Name, Address: engine.Addr.String()})
	}
	return map[string]any{
		"name":     "n0",
		"listen":   "127.0.0.1:0",
		"seed":     "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": h.MemoryLimitMB, "sockets": h.SocketLimit},
		"journal":  h.DiscoveryListener.Addr().String(),
		"settings": h.Settings,
		"known":    site.KnownEndpoints(engines),
	}
}

// waitServing waits until the process logs its address, and sets the address and the time that this took.
func (h *Harness) waitServing() {
	began := time.Now()
	require.Eventually(h.T, func() bool {
		if match := listenLogField.FindStringSubmatch(h.Log.String()); match != nil {
			h.Addr = match[1]
		}
		return h.Addr != ""
	}, WaitTimeout, fastPollInterval, "%s", h.Log)
	h.StartupTime = time.Since(began)
}

// StartProcess writes the configuration and starts the process. The process is killed with the test, which prints
// its log if it failed.
func (h *Harness) StartProcess(config map[string]any) {
	h.NodeConfig, h.NodeConfigPath = config, filepath.Join(h.T.TempDir(), "config.json")
	h.WriteNodeConfig()
	h.Cmd = exec.Command(h.Program, h.Args...)
	h.Cmd.Env = append([]string{"NODE_CONFIG=" + h.NodeConfigPath}, h.Env...)
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

// WriteNodeConfig replaces the configuration's file, at once, by what the harness has now.
func (h *Harness) WriteNodeConfig() {
	text, err := json.Marshal(h.NodeConfig)
	require.NoError(h.T, err)
	require.NoError(h.T, os.WriteFile(h.NodeConfigPath+".new", text, 0o600))
	require.NoError(h.T, os.Rename(h.NodeConfigPath+".new", h.NodeConfigPath))
}

// Requests returns the requests that the engines have received with the method and a path of the given beginning.
func (h *Harness) Requests(method, pathPrefix string) (matching []EngineRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, call := range h.AllRequests {
		if call.Method == method && strings.HasPrefix(call.Path, pathPrefix) {
			matching = append(matching, call)
		}
	}
	return matching
}

// WaitForRequests waits until the engines have received at least count such requests, and returns them. The test
// fails where they don't come in time.
func (h *Harness) WaitForRequests(count int, method, pathPrefix string) []EngineRequest {
	h.T.Helper()
	received := func() bool { return len(h.Requests(method, pathPrefix)) >= count }
	require.Eventually(h.T, received, WaitTimeout, fastPollInterval)
	return h.Requests(method, pathPrefix)
}

// WaitForLog waits until the process's log contains a text. The test fails where it doesn't in time.
func (h *Harness) WaitForLog(text string) {
	h.T.Helper()
	logged := func() bool { return strings.Contains(h.Log.String(), text) }
	require.Eventually(h.T, logged, WaitTimeout, fastPollInterval)
}
