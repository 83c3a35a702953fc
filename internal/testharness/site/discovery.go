package site

import (
	"fmt"
	"net"
	"time"
)

// StubDiscovery is a stub discovery service that sends heartbeats and never an event.
type StubDiscovery struct{ listener net.Listener }

// heartbeatFrame is a frame of the discovery service without an event: a length of 9, the sequence number 0 and the
// kind 0.
var heartbeatFrame = []byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}

const heartbeatInterval = time.Second

// NewStubDiscovery starts a discovery service on loopback. The error is that of listening.
func NewStubDiscovery() (*StubDiscovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site: journal: %w", err)
	}
	j := &StubDiscovery{listener}
	go j.serve()
	return j, nil
}

// Addr returns where it listens, as host:port.
func (j *StubDiscovery) Addr() string { return j.listener.Addr().String() }

// Close stops accepting. Connections that are open get heartbeats until the front end closes them.
func (j *StubDiscovery) Close() error { return j.listener.Close() }

// serve accepts connections until the listener is closed.
func (j *StubDiscovery) serve() {
	for {
		conn, err := j.listener.Accept()
		if err != nil {
			return
		}
		go sendHeartbeats(conn)
	}
}

// sendHeartbeats sends heartbeats until the connection ends.
func sendHeartbeats(conn net.Conn) {
	defer conn.Close()
	for {
		if _, err := conn.Write(heartbeatFrame); err != nil {
			return
		}
		time.Sleep(heartbeatInterval)
	}
}
