package testharness

import (
	"net"
	"sync"
	"time"
)

// FaultProxy is a fault-injecting TCP proxy on the path from one front end to another. All connections that the first
// dials to the second pass through it, in both directions. The embedded direction has the faults of what the dialer
// sends. A proxy is safe for concurrent use.
type FaultProxy struct {
	*ProxyDirection // from the dialer to the target
	// ToDialer is the direction from the target to the dialer: the handshake's answer, and the view where the dialer is
	// an attached front end.
	ToDialer *ProxyDirection
	Addr     string // host:port that the dialer dials
	target   string // host:port that the proxy dials

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
	// smallBufferSize is the size, in bytes, of the kernel's buffer for one socket of a proxy with small buffers:
	// what is not read soon stays with its sender.
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

// NewFaultProxy starts a proxy to a target, given as host:port, that listens on loopback. The error is that of
// listening.
func NewFaultProxy(target string, random *Random) (*FaultProxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &FaultProxy{
		ProxyDirection: newDirection(random),
		ToDialer:       newDirection(random),
		Addr:           listener.Addr().String(),
		target:         target,
		listener:       listener,
		conns:          map[net.Conn]bool{},
		sessions:       map[*proxySession]bool{},
	}
	go p.acceptLoop()
	return p, nil
}

// acceptLoop accepts connections until the listener is closed.
func (p *FaultProxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		if !p.admit(conn) {
			conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

// admit counts a new connection of the dialer, and reports whether it is not refused.
func (p *FaultProxy) admit(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectionAttempts++
	if p.cut {
		return false
	}
	p.conns[conn] = true
	return true
}

// serve connects to the target and forwards both directions until one of the connections has ended.
func (p *FaultProxy) serve(dialer net.Conn) {
	defer p.closeConn(dialer)
	p.waitResumed() // while the path is stalled new connections are not established either
	session := p.addSession()
	defer p.removeSession(session)
	target, err := net.DialTimeout("tcp4", p.target, proxyDialTimeout)
	if err != nil {
		return
	}
	defer p.closeConn(target)
	if !p.addTarget(dialer, target) {
		return
	}
	go func() {
		p.ToDialer.forward(target, dialer, neverHeld)
		p.closeConn(dialer) // the target has ended the session
		p.closeConn(target)
	}()
	p.forward(dialer, target, session.held)
}

// addTarget registers the connection to the target, and reports whether the path was not cut meanwhile.
func (p *FaultProxy) addTarget(dialer, target net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[target] = true
	if p.smallBuffers {
		_ = target.(*net.TCPConn).SetReadBuffer(smallBufferSize)
		_ = dialer.(*net.TCPConn).SetWriteBuffer(smallBufferSize)
	}
	return !p.cut
}

func (p *FaultProxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	conn.Close()
}

func (p *FaultProxy) addSession() *proxySession {
	p.mu.Lock()
	defer p.mu.Unlock()
	session := &proxySession{heldUntil: p.newHeldUntil}
	p.sessions[session] = true
	return session
}

func (p *FaultProxy) removeSession(session *proxySession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, session)
}

// HoldCurrent holds back what the dialer sends on the connections that are open now, also beyond the end of its
// process, until release is called. Later connections are not held, so that what arrives after the release is late.
func (p *FaultProxy) HoldCurrent() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := make(chan struct{})
	for session := range p.sessions {
		session.hold(until)
	}
	return sync.OnceFunc(func() { close(until) })
}

// HoldNew ends all connections once, and holds back what the dialer sends on later ones, the handshake included,
// until release is called.
func (p *FaultProxy) HoldNew() (release func()) {
	until := make(chan struct{})
	p.SetCut(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.newHeldUntil = false, until
	return sync.OnceFunc(func() { close(until) })
}

// UseSmallBuffers gives new connections small kernel buffers on the way back, so that a dialer that reads slowly
// blocks its sender.
func (p *FaultProxy) UseSmallBuffers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.smallBuffers = true
}

// ConnectionAttempts returns how many connections the dialer has opened, refused ones included.
func (p *FaultProxy) ConnectionAttempts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionAttempts
}

// SetCut ends all connections and refuses new ones, or admits them again.
func (p *FaultProxy) SetCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	var closing []net.Conn
	if cut {
		for conn := range p.conns {
			closing = append(closing, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// CloseConnections ends all connections once.
func (p *FaultProxy) CloseConnections() {
	p.SetCut(true)
	p.SetCut(false)
}

// SetBothStalled stops all traffic in both directions, or resumes it. Connections stay open.
func (p *FaultProxy) SetBothStalled(stall bool) {
	p.SetStalled(stall)
	p.ToDialer.SetStalled(stall)
}

// Close stops the proxy and ends all its connections.
func (p *FaultProxy) Close() {
	p.listener.Close()
	p.SetCut(true)
	p.SetBothStalled(false)
}
