package server

import (
	"log/slog"
	"strings"

	"golang.org/x/sys/unix"

	"chutechute/internal/tlsio"
)

// engineNamePlaceholder is replaced by the engine's ID in the setting for the names in engine certificates.
const engineNamePlaceholder = "{id}"

// usesTLS reports whether connections to engines use TLS.
func (p *enginePool) usesTLS() bool {
	material := p.server.tls.material
	return material != nil && material.Engines != nil
}

// startHandshake starts the handshake on a connection that was dialed. The engine must present a certificate for the
// name derived from its ID. This detects an address that now belongs to another engine.
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

// handleHandshakeProgress sends the output of the handshake, and handles its completion or failure. No part of the
// request's call is sent before completion.
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

// finishHandshake sends the request's call once the handshake is complete.
func (c *engineConn) finishHandshake() {
	c.pool.counters().EngineHandshakes++
	c.TLS.SetHandshakeDone()
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
	c.pool.counters().FailedEngineHandshakes++
	request := c.request
	c.terminate()
	if request != nil {
		c.pool.redial(request)
	}
}

// driveHandshake writes pending output of the handshake and reads its input.
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

// readInput reads input. It returns false at the end of the stream, and an error if TLS fails.
func (c *engineConn) readInput() (more bool, err error) {
	if c.TLS == nil {
		return c.Fill(), nil
	}
	return c.receiveTLS()
}

// receiveTLS reads and decrypts input.
func (c *engineConn) receiveTLS() (more bool, err error) {
	return c.Receive(c.pool.server.tls.receiveBuffer, func() {})
}
