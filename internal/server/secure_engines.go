package server

import (
	"log/slog"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// shakes says whether connections to engines have TLS.
func (p *pool) shakes() bool {
	m := p.s.security.material
	return m != nil && m.Engines != nil
}

// greet begins the handshake on a connection that has come up. The engine has to show a certificate for its name, which is made
// from its id: an address that has passed to another engine shows another.
func (c *conn) greet() {
	s := &c.p.s.security
	config := s.material.Engines.Clone()
	config.ServerName = strings.ReplaceAll(s.files.EngineName, "{id}", c.engine.name)
	c.TLS, c.shaking = tlsio.Client(config), true
	server := c.p.s
	s.outward.Start(c.TLS, func(done bool, err error) { server.post(func() { c.shook(done, err) }) })
	c.UpdateInterest(true)
}

// shook goes on with a handshake that has something to say, or that is over. Until then nothing of the job's call has been sent.
func (c *conn) shook(done bool, err error) {
	if c.Closed {
		return
	}
	if out := c.TLS.Output(); err == nil && len(out) > 0 {
		if _, err = c.Out.Write(out); err == nil {
			err = c.Flush()
		}
	}
	switch {
	case err != nil:
		c.unshaken(err)
	case !done:
		c.UpdateInterest(true)
	default:
		c.p.s.Counters.EngineHandshakes++
		c.TLS.Finish()
		c.HandshakeDone, c.since = true, c.p.s.TurnTime
		c.cameUp()
		if c.job == nil {
			c.release(true)
			return
		}
		c.call()
	}
}

// unshaken ends a connection whose handshake failed.
func (c *conn) unshaken(err error) {
	slog.Warn("handshake", "engine", c.engine.name, "error", err)
	c.p.s.Counters.BadEngineHandshakes++
	j := c.job
	c.end()
	if j != nil {
		c.p.unsent(j)
	}
}

// shake carries on a handshake with what the loop has seen.
func (c *conn) shake(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := c.Flush(); err != nil {
			c.unshaken(err)
			return
		}
		c.UpdateInterest(true)
	}
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more, err := c.Receive(c.p.s.security.scratch, func() {})
	if err == nil && !more {
		err = unix.ECONNRESET
	}
	if err != nil {
		c.unshaken(err)
	}
}

// fill reads what has come.
func (c *conn) fill() (more bool, err error) {
	if c.TLS == nil {
		return c.Stream.Fill(), nil
	}
	return c.Receive(c.p.s.security.scratch, func() {})
}
