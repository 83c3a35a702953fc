package testharness

import (
	"net"
	"net/http"
	"sync"
)

// ConnectionSet holds the open connections of stub engines. Its zero value is empty. Track is the value for
// Harness.OnConnState.
type ConnectionSet struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// Track adds a new connection, and removes one that was closed.
func (s *ConnectionSet) Track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.open == nil {
			s.open = map[net.Conn]struct{}{}
		}
		s.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, conn)
	}
}

// Reset resets all open connections to an engine, as a device in the network does, and returns their number. The engine
// goes on with its queries.
func (s *ConnectionSet) Reset(engine *net.TCPAddr) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if conn.LocalAddr().String() != engine.String() {
			continue
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		count++
	}
	return count
}
