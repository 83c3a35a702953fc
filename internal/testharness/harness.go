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

// Harness runs a single front end as a process, with stub engines and a stub discovery service.
type Harness struct {
	T                 *testing.T
	Program           string          // path of the executable
	Args              []string        // of the process
	Env               []string        // of the process, in addition to NODE_CONFIG
	Cmd               *exec.Cmd       // the process
	Addr              string          // where the front end listens for clients
	StartupTime       time.Duration   // from the start of the process until it serves
	Log               *LogBuffer      // standard error of the process
	Exited            chan error      // receives the result of Cmd.Wait once the process has ended
	DiscoveryListener net.Listener    // of the stub discovery service
	mu                sync.Mutex      // guards AllRequests, and state that handlers share
	AllRequests       []EngineRequest // all requests that the engines received
	Engines           []*StubEngine
	// Settings is the settings document that the process is started with.
	Settings      map[string]any
	SocketLimit   int                            // configured limit of open sockets
	MemoryLimitMB int                            // configured memory limit, in MiB
	OnConnState   func(net.Conn, http.ConnState) // called on state changes of the engines' connections; may be nil
	// EngineTLS returns the TLS configuration of an engine. If it is nil, the engines don't use TLS.
	EngineTLS      func(e *StubEngine) *tls.Config
	NodeConfig     map[string]any // the node's configuration
	NodeConfigPath string         // path of the configuration file
}

// listenLogField matches the listen address in the line that the process logs once it serves.
var listenLogField = regexp.MustCompile(`listen=(\S+)`)

// Start starts the program with the given number of stub engines, all of which use the handler, and waits until the
// front end serves. The options can change the harness before the engines and the process start. The test fails if the
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

// nodeConfig returns the configuration of the process. It lists all engines.
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

// waitServing waits until the process logs its address, and sets Addr and StartupTime.
func (h *Harness) waitServing() {
	startedAt := time.Now()
	require.Eventually(h.T, func() bool {
		if match := listenLogField.FindStringSubmatch(h.Log.String()); match != nil {
			h.Addr = match[1]
		}
		return h.Addr != ""
	}, WaitTimeout, fastPollInterval, "%s", h.Log)
	h.StartupTime = time.Since(startedAt)
}

// StartProcess writes the configuration and starts the process. The process is killed at the end of the test. If the
// test failed, the log of the process is printed.
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

// WriteNodeConfig atomically replaces the configuration file by NodeConfig.
func (h *Harness) WriteNodeConfig() {
	text, err := json.Marshal(h.NodeConfig)
	require.NoError(h.T, err)
	require.NoError(h.T, os.WriteFile(h.NodeConfigPath+".new", text, 0o600))
	require.NoError(h.T, os.Rename(h.NodeConfigPath+".new", h.NodeConfigPath))
}

// Requests returns the requests that the engines have received with the given method and a path with the given prefix.
func (h *Harness) Requests(method, pathPrefix string) (matching []EngineRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, request := range h.AllRequests {
		if request.Method == method && strings.HasPrefix(request.Path, pathPrefix) {
			matching = append(matching, request)
		}
	}
	return matching
}

// WaitForRequests waits until the engines have received at least count requests with the given method and path prefix,
// and returns them. The test fails if they aren't received in time.
func (h *Harness) WaitForRequests(count int, method, pathPrefix string) []EngineRequest {
	h.T.Helper()
	received := func() bool { return len(h.Requests(method, pathPrefix)) >= count }
	require.Eventually(h.T, received, WaitTimeout, fastPollInterval)
	return h.Requests(method, pathPrefix)
}

// WaitForLog waits until the log of the process contains the text. The test fails if it doesn't in time.
func (h *Harness) WaitForLog(text string) {
	h.T.Helper()
	logged := func() bool { return strings.Contains(h.Log.String(), text) }
	require.Eventually(h.T, logged, WaitTimeout, fastPollInterval)
}
