package server

import (
	"log/slog"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// usesTLS says whether connections to engines have TLS.
func (p *enginePool) usesTLS() bool {
	m := p.server.tls.material
	return m != nil && m.Engines != nil
}

// startHandshake begins the handshake on a connection that has come up. The engine has to show a certificate for its name, which is made
// from its id: an address that has passed to another engine shows another.
func (c *engineConn) startHandshake() {
	s := &c.pool.server.tls
	config := s.material.Engines.Clone()
	config.ServerName = strings.ReplaceAll(s.files.EngineName, "{id}", c.engine.name)
	c.TLS, c.shaking = tlsio.Client(config), true
	server := c.pool.server
	s.engineHandshakes.Start(c.TLS, func(done bool, err error) { server.post(func() { c.handleHandshakeProgress(done, err) }) })
	c.UpdateInterest(true)
}

// handleHandshakeProgress goes on with a handshake that has something to say, or that is over. Until then nothing of the job's call has been sent.
func (c *engineConn) handleHandshakeProgress(done bool, err error) {
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
		c.failHandshake(err)
	case !done:
		c.UpdateInterest(true)
	default:
		c.pool.server.host.Counters.EngineHandshakes++
		c.TLS.Finish()
		c.HandshakeDone, c.lastActivity = true, c.pool.server.host.TurnTime
		c.markEstablished()
		if c.request == nil {
			c.release(true)
			return
		}
		c.send()
	}
}

// failHandshake ends a connection whose handshake failed.
func (c *engineConn) failHandshake(err error) {
	slog.Warn("handshake", "engine", c.engine.name, "error", err)
	c.pool.server.host.Counters.BadEngineHandshakes++
	j := c.request
	c.terminate()
	if j != nil {
		c.pool.redial(j)
	}
}

// driveHandshake carries on a handshake with what the loop has seen.
func (c *engineConn) driveHandshake(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		if err := c.Flush(); err != nil {
			c.failHandshake(err)
			return
		}
		c.UpdateInterest(true)
	}
	if events&^unix.EPOLLOUT == 0 {
		return
	}
	more, err := c.Receive(c.pool.server.tls.scratch, func() {})
	if err == nil && !more {
		err = unix.ECONNRESET
	}
	if err != nil {
		c.failHandshake(err)
	}
}

// readInput reads what has come.
func (c *engineConn) readInput() (more bool, err error) {
	if c.TLS == nil {
		return c.Stream.Fill(), nil
	}
	return c.Receive(c.pool.server.tls.scratch, func() {})
}
