// Package tlsio is TLS, of either side, as a machine that is fed bytes and knows no socket, round crypto/tls.
//
// crypto/tls can't stop half way through a handshake, so each handshake runs on a goroutine of its own, which waits for
// bytes in memory; how many there are and how much of the core they take is bounded by a Pool. Once it is over no goroutine is
// left: records are read and written in the caller's turn, since crypto/tls takes up again after a read that finds
// nothing, if the error says that it is temporary.
package tlsio

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Errors of Conn.
var (
	// ErrAgain says that there is no more until more is fed.
	ErrAgain net.Error = again{}
	// ErrEnd says that the peer will say nothing more.
	ErrEnd = io.EOF
	// ErrPlain says that what has come is no TLS.
	ErrPlain = errors.New("tlsio: not a handshake")
	// ErrFlood says that more was fed than a handshake can be.
	ErrFlood = errors.New("tlsio: too much for a handshake")
)

type again struct{}

func (again) Error() string   { return "tlsio: nothing there yet" }
func (again) Timeout() bool   { return true }
func (again) Temporary() bool { return true }

const (
	mostHello = 16 << 10 // bytes fed and not yet taken during a handshake: chains of certificates are the longest
	shakeMost = 5 * time.Second
)

// Conn is one connection. Its methods are for one goroutine; they never block.
type Conn struct {
	pipe pipe
	tls  *tls.Conn
	done bool // the handshake is over, as the owner knows
}

// Server is the server's side of a connection whose handshake has not begun; Pool.Start begins it.
func Server(config *tls.Config) *Conn { return newConn(tls.Server, config) }

// Client is the client's side of one.
func Client(config *tls.Config) *Conn { return newConn(tls.Client, config) }

func newConn(side func(net.Conn, *tls.Config) *tls.Conn, config *tls.Config) *Conn {
	c := &Conn{}
	c.pipe.more.L = &c.pipe.mu
	c.tls = side(&c.pipe, config)
	return c
}

// Feed takes what has come from the peer.
func (c *Conn) Feed(b []byte) error {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	if !c.done && len(c.pipe.in)+len(b) > mostHello {
		return ErrFlood
	}
	c.pipe.in = append(c.pipe.in, b...)
	c.pipe.more.Signal()
	return nil
}

// Hello says whether a client's first message has come whole, so that its handshake can begin. What begins otherwise than a
// handshake is ErrPlain.
func (c *Conn) Hello() (whole bool, err error) {
	const head, handshakeRecord = 5, 22 // RFC 8446, section 5.1
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	in := c.pipe.in
	if len(in) > 0 && in[0] != handshakeRecord {
		return false, ErrPlain
	}
	return len(in) >= head && len(in) >= head+int(in[3])<<8+int(in[4]), nil
}

// Output is what is to go to the peer; it is the caller's from then on.
func (c *Conn) Output() []byte {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	out := c.pipe.out
	c.pipe.out = nil
	return out
}

// Read reads what the peer has said, once the handshake is over. ErrAgain says that there is no more for now, io.EOF that
// there never will be.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.tls.Read(b)
	c.pipe.mu.Lock()
	if len(c.pipe.in) == 0 && cap(c.pipe.in) > keep {
		c.pipe.in = nil
	}
	c.pipe.mu.Unlock()
	return n, err
}

// keep is how much storage for input is kept while there is none.
const keep = 1 << 10

// Write says something to the peer; Output has it then.
func (c *Conn) Write(b []byte) error {
	_, err := c.tls.Write(b)
	return err
}

// State is what the handshake has agreed on.
func (c *Conn) State() tls.ConnectionState { return c.tls.ConnectionState() }

// Close ends a handshake that still runs.
func (c *Conn) Close() {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	c.pipe.closed = true
	c.pipe.more.Broadcast()
}

// pipe is the memory between crypto/tls and the owner, as a net.Conn. Reads block while the handshake runs.
type pipe struct {
	mu      sync.Mutex
	more    sync.Cond
	in, out []byte
	closed  bool
	gate    *gate  // set while the handshake runs
	tell    func() // that there is output, before the handshake waits for more
}

func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.closed:
			return 0, io.EOF
		case p.gate == nil:
			return 0, ErrAgain
		}
		g, tell := p.gate, p.tell
		wrote := len(p.out) > 0
		p.mu.Unlock()
		if wrote {
			tell()
		}
		g.leave() // others' handshakes go on while this one waits
		p.mu.Lock()
		for len(p.in) == 0 && !p.closed {
			p.more.Wait()
		}
		p.mu.Unlock()
		g.enter()
		p.mu.Lock()
	}
	n := copy(b, p.in)
	p.in = append(p.in[:0], p.in[n:]...)
	return n, nil
}

func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out = append(p.out, b...)
	return len(b), nil
}

func (p *pipe) Close() error                     { return nil }
func (p *pipe) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (p *pipe) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (p *pipe) SetDeadline(time.Time) error      { return nil }
func (p *pipe) SetReadDeadline(time.Time) error  { return nil }
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

// shake runs the handshake.
func (c *Conn) shake(g *gate) error {
	ctx, cancel := context.WithTimeout(context.Background(), shakeMost)
	defer cancel()
	stop := context.AfterFunc(ctx, c.Close) // the pipe knows no deadlines
	defer stop()
	g.enter()
	err := c.tls.HandshakeContext(ctx)
	g.leave()
	c.pipe.mu.Lock()
	c.pipe.gate = nil
	c.pipe.mu.Unlock()
	return err
}
