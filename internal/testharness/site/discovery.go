package site

import (
	"fmt"
	"net"
	"time"
)

// StubDiscovery is a stub discovery service that sends heartbeats, but never an event.
type StubDiscovery struct{ listener net.Listener }

// heartbeatFrame is a frame of the discovery service without an event: length 9, sequence number 0 and kind 0.
var heartbeatFrame = []byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}

const heartbeatInterval = time.Second

// NewStubDiscovery starts a stub discovery service on loopback. It returns an error if it can't listen.
func NewStubDiscovery() (*StubDiscovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site: discovery: %w", err)
	}
	d := &StubDiscovery{listener}
	go d.serve()
	return d, nil
}

// Addr returns its listen address, as host:port.
func (d *StubDiscovery) Addr() string { return d.listener.Addr().String() }

// Close stops accepting connections. Open connections receive heartbeats until the front end closes them.
func (d *StubDiscovery) Close() error { return d.listener.Close() }

// serve accepts connections until the listener is closed.
func (d *StubDiscovery) serve() {
	for {
		conn, err := d.listener.Accept()
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
