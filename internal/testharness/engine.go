package testharness

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/stretchr/testify/require"
)

// EngineRequest is one HTTP request that a stub engine received.
type EngineRequest struct {
	Engine, Method, Path string
	Header               http.Header
	Body                 string
	ReceivedAt           time.Time       // when it was read whole
	Done                 <-chan struct{} // closed once its connection has ended, or it is answered
}

// StubEngine is a stub engine, an HTTP server on loopback whose handler is the test's.
type StubEngine struct {
	Name   string
	Addr   *net.TCPAddr
	Server *httptest.Server
}

// newEngine returns the stub engine of a number that isn't started yet. It records its requests and gives them to
// handle.
func (h *Harness) newEngine(number int, handle EngineHandler) *StubEngine {
	engine := &StubEngine{Name: fmt.Sprintf("s-%08x", number)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		call := EngineRequest{
			Engine:     engine.Name,
			Method:     request.Method,
			Path:       request.URL.Path,
			Header:     request.Header,
			Body:       string(body),
			ReceivedAt: time.Now(),
			Done:       request.Context().Done(),
		}
		h.mu.Lock()
		h.AllRequests = append(h.AllRequests, call)
		h.mu.Unlock()
		handle(h, w, call)
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if h.OnConnState != nil {
			h.OnConnState(conn, state)
		}
	}
	engine.Server = server
	engine.Addr = server.Listener.Addr().(*net.TCPAddr)
	h.T.Cleanup(func() { closeServer(server) })
	return engine
}

// start starts the engine, with TLS where config is not nil.
func (e *StubEngine) start(config *tls.Config) {
	if config == nil {
		e.Server.Start()
		return
	}
	e.Server.TLS = config
	e.Server.StartTLS()
}

// closeServer ends all connections of a server, and the server.
func closeServer(server *httptest.Server) {
	server.CloseClientConnections()
	server.Close()
}

// RestartEngine starts another server, with the same handler, at the address of an engine whose listener was closed. It
// returns the error of listening.
func (h *Harness) RestartEngine(e *StubEngine) error {
	listener, err := net.Listen("tcp4", e.Addr.String())
	if err != nil {
		return err
	}
	server := httptest.NewUnstartedServer(e.Server.Config.Handler)
	server.Listener.Close()
	server.Listener = listener
	server.Start()
	h.T.Cleanup(func() { closeServer(server) })
	return nil
}

// MakeBlockable has a stub engine listen behind a listener that can be blocked, in place of its own, and returns it. It
// is called before the engine starts.
func (h *Harness) MakeBlockable(e *StubEngine) *BlockableListener {
	listener, err := newBlockableListener()
	require.NoError(h.T, err)
	e.Server.Listener.Close()
	e.Server.Listener = listener
	e.Addr = listener.Addr().(*net.TCPAddr)
	return listener
}
