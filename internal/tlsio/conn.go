// Package tlsio wraps crypto/tls for clients and servers without sockets: the caller passes in the bytes received from
// the peer and takes out those to send.
//
// crypto/tls can't suspend a handshake, so each handshake runs on its own goroutine, which blocks until the caller has
// passed in more bytes. A Pool limits how much of a processor core all handshakes together take. The goroutine ends
// with the handshake. After it the caller's goroutine reads and writes records without blocking: a read that finds no
// input returns a net.Error whose Temporary method returns true, and crypto/tls can read again after such an error.
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
	// ErrAgain is returned by Read if it needs more bytes from Feed.
	ErrAgain net.Error = noInputError{}
	// ErrEnd is returned by Read after the peer has closed its side of the connection.
	ErrEnd = io.EOF
	// ErrNotTLS is returned if the client's first byte does not start a TLS handshake record.
	ErrNotTLS = errors.New("tlsio: first record is not a TLS handshake")
	// ErrHandshakeTooLarge is returned by Feed if more than maxHandshakeInput is unread during the handshake.
	ErrHandshakeTooLarge = errors.New("tlsio: too many bytes during the TLS handshake")
)

// noInputError is the type of ErrAgain.
type noInputError struct{}

func (noInputError) Error() string   { return "tlsio: no input available yet" }
func (noInputError) Timeout() bool   { return true }
func (noInputError) Temporary() bool { return true }

const (
	// maxHandshakeInput is the maximum number of bytes received and not yet read during a handshake. Certificate chains
	// are its longest messages.
	maxHandshakeInput = 16 << 10
	handshakeTimeout  = 5 * time.Second
)

// Conn is one TLS connection. Its methods may be called by one goroutine only, and never block.
type Conn struct {
	pipe          pipe
	tls           *tls.Conn
	handshakeDone bool // set by SetHandshakeDone
}

// Server returns the server side of a connection. Pool.Start starts its handshake.
func Server(config *tls.Config) *Conn { return newConn(tls.Server, config) }

// Client returns the client side of a connection. Pool.Start starts its handshake.
func Client(config *tls.Config) *Conn { return newConn(tls.Client, config) }

func newConn(newSide func(net.Conn, *tls.Config) *tls.Conn, config *tls.Config) *Conn {
	c := &Conn{}
	c.pipe.changed.L = &c.pipe.mu
	c.tls = newSide(&c.pipe, config)
	return c
}

// Feed adds bytes received from the peer. It returns ErrHandshakeTooLarge if they are too many for a handshake.
func (c *Conn) Feed(b []byte) error {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	if !c.handshakeDone && len(c.pipe.in)+len(b) > maxHandshakeInput {
		return ErrHandshakeTooLarge
	}
	c.pipe.in = append(c.pipe.in, b...)
	c.pipe.changed.Signal()
	return nil
}

// ClientHelloReceived reports whether the client's first record is complete, so that the handshake can start. It
// returns ErrNotTLS if the input does not start with a handshake record.
func (c *Conn) ClientHelloReceived() (complete bool, err error) {
	const headerLength, handshakeRecord = 5, 22 // RFC 8446, section 5.1
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	in := c.pipe.in
	if len(in) > 0 && in[0] != handshakeRecord {
		return false, ErrNotTLS
	}
	return len(in) >= headerLength && len(in) >= headerLength+int(in[3])<<8+int(in[4]), nil
}

// Output removes and returns the bytes to send to the peer. The caller owns the returned slice.
func (c *Conn) Output() []byte {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	out := c.pipe.out
	c.pipe.out = nil
	return out
}

// Read reads decrypted bytes from the peer. It may be called once the handshake is complete. It returns ErrAgain if no
// more bytes are available yet, and io.EOF if the peer has closed its side.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.tls.Read(b)
	c.pipe.mu.Lock()
	if len(c.pipe.in) == 0 && cap(c.pipe.in) > maxIdleInput {
		c.pipe.in = nil
	}
	c.pipe.mu.Unlock()
	return n, err
}

// maxIdleInput is the largest capacity, in bytes, that an empty input buffer keeps.
const maxIdleInput = 1 << 10

// Write encrypts bytes for the peer and adds them to Output.
func (c *Conn) Write(b []byte) error {
	_, err := c.tls.Write(b)
	return err
}

// State returns what was negotiated in the handshake.
func (c *Conn) State() tls.ConnectionState { return c.tls.ConnectionState() }

// Close aborts a handshake that is still running.
func (c *Conn) Close() {
	c.pipe.mu.Lock()
	defer c.pipe.mu.Unlock()
	c.pipe.closed = true
	c.pipe.changed.Broadcast()
}

// pipe is the in-memory net.Conn that connects crypto/tls with the caller. Its reads block during the handshake.
type pipe struct {
	mu       sync.Mutex
	changed  sync.Cond // bytes were added to in, or closed was set
	in, out  []byte
	closed   bool
	throttle *throttle // set while the handshake runs
	notify   func()    // called if there is output, before the handshake waits for input
}

func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 {
		switch {
		case p.closed:
			return 0, io.EOF
		case p.throttle == nil:
			return 0, ErrAgain
		}
		t, notify := p.throttle, p.notify
		hasOutput := len(p.out) > 0
		p.mu.Unlock()
		if hasOutput {
			notify()
		}
		t.release() // lets other handshakes run while this one waits
		p.mu.Lock()
		for len(p.in) == 0 && !p.closed {
			p.changed.Wait()
		}
		p.mu.Unlock()
		t.acquire()
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

// runHandshake runs the handshake and blocks until it is complete, has failed or has timed out.
func (c *Conn) runHandshake(t *throttle) error {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, c.Close) // the pipe ignores deadlines
	defer stop()
	t.acquire()
	err := c.tls.HandshakeContext(ctx)
	t.release()
	c.pipe.mu.Lock()
	c.pipe.throttle = nil
	c.pipe.mu.Unlock()
	return err
}
