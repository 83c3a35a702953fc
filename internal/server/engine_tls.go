package server

import (
	"log/slog"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// engineNamePlaceholder stands for an engine's id in the setting of engines' certificate names.
const engineNamePlaceholder = "{id}"

// usesTLS says whether connections to engines have TLS.
func (p *enginePool) usesTLS() bool {
	material := p.server.tls.material
	return material != nil && material.Engines != nil
}

// startHandshake begins the handshake on a connection that is dialled. The engine has to show a certificate for its
// name, which is made from its id: an address that has passed to another engine shows another.
func (c *engineConn) startHandshake() {
	server := c.pool.server
	config := server.tls.material.Engines.Clone()
	config.ServerName = strings.ReplaceAll(server.tls.files.EngineName, engineNamePlaceholder, c.engine.name)
	c.TLS, c.state = tlsio.Client(config), engineHandshaking
	server.tls.engineHandshakes.Start(c.TLS, func(done bool, err error) {
		server.post(func() { c.handleHandshakeProgress(done, err) })
	})
	c.UpdateInterest(true)
}

// handleHandshakeProgress goes on with a handshake that has something to send, or that is complete or has failed. Until
// it is complete nothing of the request's call has been sent.
func (c *engineConn) handleHandshakeProgress(done bool, err error) {
	if c.Closed {
		return
	}
	if output := c.TLS.Output(); err == nil && len(output) > 0 {
		if _, err = c.Out.Write(output); err == nil {
			err = c.Flush()
		}
	}
	switch {
	case err != nil:
		c.failHandshake(err)
	case !done:
		c.UpdateInterest(true)
	default:
		c.finishHandshake()
	}
}

// finishHandshake sends the request's call over a connection whose handshake is complete.
func (c *engineConn) finishHandshake() {
	c.pool.counters().EngineHandshakes++
	c.TLS.Finish()
	c.HandshakeDone, c.lastActivity = true, c.pool.turnTime()
	c.markEstablished()
	if c.request == nil {
		c.release(true)
		return
	}
	c.send()
}

// failHandshake closes a connection whose handshake failed.
func (c *engineConn) failHandshake(err error) {
	slog.Warn("engine TLS handshake failed", slog.String("engine", c.engine.name), slog.Any("error", err))
	c.pool.counters().BadEngineHandshakes++
	request := c.request
	c.terminate()
	if request != nil {
		c.pool.redial(request)
	}
}

// driveHandshake writes and reads what is ready of a handshake.
func (c *engineConn) driveHandshake(events uint32) {
	if isWritable(events) {
		if err := c.Flush(); err != nil {
			c.failHandshake(err)
			return
		}
		c.UpdateInterest(true)
	}
	if !isReadable(events) {
		return
	}
	more, err := c.receiveTLS()
	if err == nil && !more {
		err = unix.ECONNRESET
	}
	if err != nil {
		c.failHandshake(err)
	}
}

// readInput reads what has come; more is false at the connection's end. An error says that its records can't be read.
func (c *engineConn) readInput() (more bool, err error) {
	if c.TLS == nil {
		return c.Fill(), nil
	}
	return c.receiveTLS()
}

// receiveTLS reads and decrypts what has come.
func (c *engineConn) receiveTLS() (more bool, err error) {
	return c.Receive(c.pool.server.tls.receiveBuffer, func() {})
}
