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
	ReceivedAt           time.Time       // when it had been read completely
	Done                 <-chan struct{} // closed once the connection has ended or the response was sent
}

// StubEngine is a stub engine: an HTTP server on loopback with a handler that the test provides.
type StubEngine struct {
	Name   string
	Addr   *net.TCPAddr
	Server *httptest.Server
}

// newEngine returns the stub engine with the given number, not yet started. It adds each request to AllRequests and
// passes it to handle.
func (h *Harness) newEngine(number int, handle EngineHandler) *StubEngine {
	engine := &StubEngine{Name: fmt.Sprintf("s-%08x", number)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		received := EngineRequest{
			Engine:     engine.Name,
			Method:     request.Method,
			Path:       request.URL.Path,
			Header:     request.Header,
			Body:       string(body),
			ReceivedAt: time.Now(),
			Done:       request.Context().Done(),
		}
		h.mu.Lock()
		h.AllRequests = append(h.AllRequests, received)
		h.mu.Unlock()
		handle(h, w, received)
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

// start starts the engine, with TLS if config is not nil.
func (e *StubEngine) start(config *tls.Config) {
	if config == nil {
		e.Server.Start()
		return
	}
	e.Server.TLS = config
	e.Server.StartTLS()
}

// closeServer closes the server and all of its connections.
func closeServer(server *httptest.Server) {
	server.CloseClientConnections()
	server.Close()
}

// RestartEngine starts a new server, with the same handler, at the address of an engine whose listener was closed. It
// returns an error if it can't listen there.
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

// MakeBlockable replaces the listener of a stub engine by one that can be blocked, and returns the new listener. It
// must be called before the engine starts.
func (h *Harness) MakeBlockable(e *StubEngine) *BlockableListener {
	listener, err := newBlockableListener()
	require.NoError(h.T, err)
	e.Server.Listener.Close()
	e.Server.Listener = listener
	e.Addr = listener.Addr().(*net.TCPAddr)
	return listener
}
