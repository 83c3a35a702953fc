package standin

import (
	"net"
	"sync"
	"time"
)

// Relay is the way from one front end to another: all bytes of the links that the first dials pass through it, in both
// directions, and faults are put here. Those of a relay itself hold for what the dialler sends, and Back has those of what it
// is sent.
type Relay struct {
	*Flow // from who dialled
	// Back is the way back to who dialled: the hello's answer, and on the link of an attached front end the view.
	Back   *Flow
	Addr   string // that the first dials
	target string
	l      net.Listener

	mu      sync.Mutex
	cut     bool
	narrow  bool
	dialled int             // connections that came
	holding <-chan struct{} // what the dialler sends on new connections is held back until it is closed; nil: it is not
	conns   map[net.Conn]bool
	pipes   map[*pipe]bool
}

// pipe is one connection through a relay.
type pipe struct {
	mu      sync.Mutex
	release <-chan struct{} // nil: what the dialler sends is not held back
}

func (p *pipe) hold() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.release
}

// NewRelay begins a relay to a target.
func NewRelay(target string, random *Random) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{Flow: newFlow(random), Back: newFlow(random), Addr: l.Addr().String(), target: target, l: l,
		conns: map[net.Conn]bool{}, pipes: map[*pipe]bool{}}
	go r.accept()
	return r, nil
}

func (r *Relay) accept() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		r.dialled++
		if !cut {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if cut {
			c.Close()
			continue
		}
		go r.carry(c)
	}
}

func (r *Relay) carry(c net.Conn) {
	defer r.drop(c)
	r.held() // a way on which nothing moves carries no new connection either
	r.mu.Lock()
	p := &pipe{release: r.holding}
	r.pipes[p] = true
	r.mu.Unlock()
	defer r.forget(p)
	to, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	r.mu.Lock()
	cut := r.cut
	r.conns[to] = true
	if r.narrow {
		_ = to.(*net.TCPConn).SetReadBuffer(narrowBuffer)
		_ = c.(*net.TCPConn).SetWriteBuffer(narrowBuffer)
	}
	r.mu.Unlock()
	defer r.drop(to)
	if cut {
		return
	}
	go func() {
		r.Back.pass(to, c, func() <-chan struct{} { return nil })
		r.drop(c) // who listens has ended it
		r.drop(to)
	}()
	r.pass(c, to, p.hold)
}

func (r *Relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

func (r *Relay) forget(p *pipe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pipes, p)
}

// Hold keeps back what the dialler sends on the connections that are open now, also once its process has ended, until release
// is called. Later connections pass, so what comes then is late.
func (r *Relay) Hold() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := make(chan struct{})
	for p := range r.pipes {
		p.mu.Lock()
		p.release = until
		p.mu.Unlock()
	}
	return sync.OnceFunc(func() { close(until) })
}

// HoldNew ends all connections once, and keeps back what the dialler sends on later ones, from the hello on, until release is
// called.
func (r *Relay) HoldNew() (release func()) {
	until := make(chan struct{})
	r.Cut(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.holding = false, until
	return sync.OnceFunc(func() { close(until) })
}

// narrowBuffer is the kernel's buffer for one socket of a narrow relay, in bytes: what one does not read soon stays with its
// sender.
const narrowBuffer = 4 << 10

// Narrow gives connections from now on small buffers on the way back, so that a dialler that reads slowly holds up its sender.
func (r *Relay) Narrow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.narrow = true
}

// Dialled is how many connections have come, those that were refused too.
func (r *Relay) Dialled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dialled
}

// Cut ends all connections and refuses new ones, or lets them through again.
func (r *Relay) Cut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	var conns []net.Conn
	if cut {
		for c := range r.conns {
			conns = append(conns, c)
		}
	}
	r.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Reset ends all connections once.
func (r *Relay) Reset() { r.Cut(true); r.Cut(false) }

// StallBoth leaves connections open with nothing moving in either direction, or lets them go on.
func (r *Relay) StallBoth(stall bool) {
	r.Stall(stall)
	r.Back.Stall(stall)
}

// Close ends the relay.
func (r *Relay) Close() {
	r.l.Close()
	r.Cut(true)
	r.StallBoth(false)
}
