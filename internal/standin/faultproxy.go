package standin

import (
	"net"
	"sync"
	"time"
)

// Relay is a fault-injecting TCP proxy on the path from one front end to another. All connections that the first dials
// to the second pass through it, in both directions. The embedded direction has the faults of what the dialer sends. A
// proxy is safe for concurrent use.
type Relay struct {
	*Flow // from the dialer to the target
	// Back is the direction from the target to the dialer: the handshake's answer, and the view where the dialer is an
	// attached front end.
	Back   *Flow
	Addr   string // host:port that the dialer dials
	target string // host:port that the proxy dials

	listener net.Listener

	mu                 sync.Mutex
	cut                bool // connections are refused
	smallBuffers       bool
	connectionAttempts int
	newHeldUntil       <-chan struct{} // heldUntil of new sessions
	conns              map[net.Conn]bool
	sessions           map[*proxySession]bool
}

const (
	proxyDialTimeout = time.Second
	// smallBufferSize is the size, in bytes, of the kernel's buffer for one socket of a proxy with small buffers: what
	// is not read soon stays with its sender.
	smallBufferSize = 4 << 10
)

// proxySession is one connection of the dialer, with the one to the target that belongs to it.
type proxySession struct {
	mu        sync.Mutex
	heldUntil <-chan struct{} // what the dialer sends is held back until it is closed; nil: it is not held back
}

// held returns the channel until whose closing frames are held back; nil where they are not.
func (s *proxySession) held() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldUntil
}

// hold holds frames back until the channel is closed.
func (s *proxySession) hold(until <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil = until
}

// neverHeld is the hold of a direction that has none.
func neverHeld() <-chan struct{} { return nil }

// NewRelay starts a proxy to a target, given as host:port, that listens on loopback. The error is that of listening.
func NewRelay(target string, random *Random) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Flow: newDirection(random), Back: newDirection(random), Addr: listener.Addr().String(), target: target,
		listener: listener, conns: map[net.Conn]bool{}, sessions: map[*proxySession]bool{}}
	go r.acceptLoop()
	return r, nil
}

// acceptLoop accepts connections until the listener is closed.
func (r *Relay) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if !r.admit(conn) {
			conn.Close()
			continue
		}
		go r.serve(conn)
	}
}

// admit counts a new connection of the dialer, and reports whether it is not refused.
func (r *Relay) admit(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connectionAttempts++
	if r.cut {
		return false
	}
	r.conns[conn] = true
	return true
}

// serve connects to the target and forwards both directions until one of the connections has ended.
func (r *Relay) serve(dialer net.Conn) {
	defer r.closeConn(dialer)
	r.waitResumed() // while the path is stalled new connections are not established either
	session := r.addSession()
	defer r.removeSession(session)
	target, err := net.DialTimeout("tcp4", r.target, proxyDialTimeout)
	if err != nil {
		return
	}
	defer r.closeConn(target)
	if !r.addTarget(dialer, target) {
		return
	}
	go func() {
		r.Back.forward(target, dialer, neverHeld)
		r.closeConn(dialer) // the target has ended the session
		r.closeConn(target)
	}()
	r.forward(dialer, target, session.held)
}

// addTarget registers the connection to the target, and reports whether the path was not cut meanwhile.
func (r *Relay) addTarget(dialer, target net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[target] = true
	if r.smallBuffers {
		_ = target.(*net.TCPConn).SetReadBuffer(smallBufferSize)
		_ = dialer.(*net.TCPConn).SetWriteBuffer(smallBufferSize)
	}
	return !r.cut
}

func (r *Relay) closeConn(conn net.Conn) {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	conn.Close()
}

func (r *Relay) addSession() *proxySession {
	r.mu.Lock()
	defer r.mu.Unlock()
	session := &proxySession{heldUntil: r.newHeldUntil}
	r.sessions[session] = true
	return session
}

func (r *Relay) removeSession(session *proxySession) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, session)
}

// Hold holds back what the dialer sends on the connections that are open now, also beyond the end of its process, until
// release is called. Later connections are not held, so that what arrives after the release is late.
func (r *Relay) Hold() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := make(chan struct{})
	for session := range r.sessions {
		session.hold(until)
	}
	return sync.OnceFunc(func() { close(until) })
}

// HoldNew ends all connections once, and holds back what the dialer sends on later ones, the handshake included, until
// release is called.
func (r *Relay) HoldNew() (release func()) {
	until := make(chan struct{})
	r.Cut(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.newHeldUntil = false, until
	return sync.OnceFunc(func() { close(until) })
}

// Narrow gives new connections small kernel buffers on the way back, so that a dialer that reads slowly blocks its
// sender.
func (r *Relay) Narrow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.smallBuffers = true
}

// Dialled returns how many connections the dialer has opened, refused ones included.
func (r *Relay) Dialled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connectionAttempts
}

// Cut ends all connections and refuses new ones, or admits them again.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	var closing []net.Conn
	if cut {
		for conn := range r.conns {
			closing = append(closing, conn)
		}
	}
	r.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// Reset ends all connections once.
func (r *Relay) Reset() {
	r.Cut(true)
	r.Cut(false)
}

// StallBoth stops all traffic in both directions, or resumes it. Connections stay open.
func (r *Relay) StallBoth(stall bool) {
	r.Stall(stall)
	r.Back.Stall(stall)
}

// Close stops the proxy and ends all its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Cut(true)
	r.StallBoth(false)
}
