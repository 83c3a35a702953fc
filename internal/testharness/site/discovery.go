package site

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// StubDiscovery is a stub discovery service that sends heartbeats, and the events that it is given.
type StubDiscovery struct {
	listener net.Listener

	mu    sync.Mutex
	sent  []byte     // the frames of all events so far
	conns []net.Conn // all that were accepted
}

// heartbeatFrame is a frame of the discovery service without an event: length 9, sequence number 0 and kind 0.
var heartbeatFrame = []byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0}

const heartbeatInterval = time.Second

// NewStubDiscovery starts a stub discovery service on loopback. It returns an error if it can't listen.
func NewStubDiscovery() (*StubDiscovery, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("site: discovery: %w", err)
	}
	d := &StubDiscovery{listener: listener}
	go d.serve()
	return d, nil
}

// Addr returns its listen address, as host:port.
func (d *StubDiscovery) Addr() string { return d.listener.Addr().String() }

// Close stops accepting connections. Open connections receive heartbeats until the front end closes them.
func (d *StubDiscovery) Close() error { return d.listener.Close() }

// Publish sends an event's frame on all connections, and on later ones after the frames before it.
func (d *StubDiscovery) Publish(frame []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent = slices.Concat(d.sent, frame)
	for _, conn := range d.conns {
		_, _ = conn.Write(frame) // the connection of a front end that has ended fails
	}
}

// serve accepts connections until the listener is closed.
func (d *StubDiscovery) serve() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		_, _ = conn.Write(d.sent)
		d.conns = append(d.conns, conn)
		d.mu.Unlock()
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
