package testharness

import (
	"net"
	"sync"
	"time"
)

// FaultProxy is a fault-injecting TCP proxy on the path from one front end, the dialer, to another, the target. All
// connections that the dialer opens to the target pass through it. The embedded ProxyDirection has the faults for what
// the dialer sends. A proxy is safe for concurrent use.
type FaultProxy struct {
	*ProxyDirection // from the dialer to the target
	// ToDialer has the faults for what the target sends: its part of the handshake, and the view if the dialer is an
	// attached front end.
	ToDialer *ProxyDirection
	Addr     string // host:port that the dialer connects to
	target   string // host:port that the proxy connects to

	listener net.Listener

	mu                 sync.Mutex
	partitioned        bool // new connections are refused
	smallBuffers       bool
	connectionAttempts int
	newHeldUntil       <-chan struct{} // heldUntil for new sessions
	conns              map[net.Conn]bool
	sessions           map[*proxySession]bool
}

const (
	proxyDialTimeout = time.Second
	// smallBufferSize is the size in bytes of the kernel buffer of a socket after UseSmallBuffers. With such buffers,
	// data that is not read soon blocks its sender.
	smallBufferSize = 4 << 10
)

// proxySession is a connection of the dialer together with the corresponding connection to the target.
type proxySession struct {
	mu        sync.Mutex
	heldUntil <-chan struct{} // frames of the dialer are held back until it is closed; nil: not held back
}

// held returns the channel until whose closing frames of the dialer are held back; nil if they are not held back.
func (s *proxySession) held() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldUntil
}

// hold holds back frames of the dialer until the channel is closed.
func (s *proxySession) hold(until <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUntil = until
}

// neverHeld is the heldUntil argument for the direction to the dialer, whose frames are never held back.
func neverHeld() <-chan struct{} { return nil }

// NewFaultProxy starts a proxy to a target, given as host:port, that listens on loopback. It returns an error if it
// can't listen.
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

// admit counts a new connection of the dialer, and reports whether it is accepted.
func (p *FaultProxy) admit(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectionAttempts++
	if p.partitioned {
		return false
	}
	p.conns[conn] = true
	return true
}

// serve connects to the target and forwards in both directions until one of the connections has ended.
func (p *FaultProxy) serve(dialer net.Conn) {
	defer p.closeConn(dialer)
	p.waitResumed() // while the direction to the target is stalled, new connections are not established either
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
		p.closeConn(dialer) // the target has closed its connection
		p.closeConn(target)
	}()
	p.forward(dialer, target, session.held)
}

// addTarget registers the connection to the target, and sets small buffers on both connections if UseSmallBuffers was
// called. It returns false if the path has been partitioned meanwhile.
func (p *FaultProxy) addTarget(dialer, target net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[target] = true
	if p.smallBuffers {
		_ = target.(*net.TCPConn).SetReadBuffer(smallBufferSize)
		_ = dialer.(*net.TCPConn).SetWriteBuffer(smallBufferSize)
	}
	return !p.partitioned
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

// HoldCurrentConnections holds back what the dialer sends on the connections that are open now until release is called,
// even if the dialer's process ends before. Later connections are not affected, so that the frames held back arrive
// after those of later connections.
func (p *FaultProxy) HoldCurrentConnections() (release func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := make(chan struct{})
	for session := range p.sessions {
		session.hold(until)
	}
	return sync.OnceFunc(func() { close(until) })
}

// HoldNewConnections closes all open connections, and holds back what the dialer sends on later ones, including its
// part of the handshake, until release is called.
func (p *FaultProxy) HoldNewConnections() (release func()) {
	until := make(chan struct{})
	p.SetCut(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned, p.newHeldUntil = false, until
	return sync.OnceFunc(func() { close(until) })
}

// UseSmallBuffers sets small kernel buffers for the direction to the dialer on new connections, so that a dialer that
// reads slowly blocks the target.
func (p *FaultProxy) UseSmallBuffers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.smallBuffers = true
}

// ConnectionAttempts returns the number of connections that the dialer has opened, including refused ones.
func (p *FaultProxy) ConnectionAttempts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectionAttempts
}

// SetCut partitions the dialer from the target or heals the partition. During a partition the path has no connections:
// open ones are closed, and new ones are refused.
func (p *FaultProxy) SetCut(partitioned bool) {
	p.mu.Lock()
	p.partitioned = partitioned
	var closing []net.Conn
	if partitioned {
		for conn := range p.conns {
			closing = append(closing, conn)
		}
	}
	p.mu.Unlock()
	for _, conn := range closing {
		conn.Close()
	}
}

// CloseConnections closes all connections. New ones are accepted.
func (p *FaultProxy) CloseConnections() {
	p.SetCut(true)
	p.SetCut(false)
}

// SetBothStalled stops or resumes all traffic in both directions. Connections stay open.
func (p *FaultProxy) SetBothStalled(stall bool) {
	p.SetStalled(stall)
	p.ToDialer.SetStalled(stall)
}

// Close stops the proxy and closes all of its connections.
func (p *FaultProxy) Close() {
	p.listener.Close()
	p.SetCut(true)
	p.SetBothStalled(false)
}
