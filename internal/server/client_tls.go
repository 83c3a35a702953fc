package server

import (
	"log/slog"
	"time"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/certs"
	"chutechute/internal/monotime"
)

// startHandshake begins the handshake once the client's first message has come whole: a client that sends an incomplete
// one, or noise, costs none.
func (c *clientConn) startHandshake() {
	if c.handshakeRequested || c.state == clientLingering {
		return
	}
	complete, err := c.TLS.Hello()
	if err != nil {
		c.counters().BadHandshakes++
		c.abort()
		return
	}
	if !complete {
		return
	}
	c.handshakeRequested = true
	server := c.listener.server
	server.tls.handshakes.Start(c.address, func() {
		if c.Closed { // while it waited
			server.post(func() { server.tls.handshakes.Done(c.address) })
			return
		}
		c.holdsHandshakeSlot = true
		server.tls.clientHandshakes.Start(c.TLS, func(done bool, err error) {
			server.post(func() { c.handleHandshakeProgress(done, err) })
		})
	})
}

// handleHandshakeProgress goes on with a handshake that has something to send, or that is complete or has failed.
func (c *clientConn) handleHandshakeProgress(done bool, err error) {
	if c.holdsHandshakeSlot { // from now on it waits for its peer, or for nothing
		c.holdsHandshakeSlot = false
		c.listener.server.tls.handshakes.Done(c.address)
	}
	if c.Closed || c.state == clientLingering {
		return
	}
	c.writeBytes(c.TLS.Output())
	switch {
	case !done || c.Closed:
	case err != nil:
		c.counters().BadHandshakes++
		slog.Debug("client TLS handshake failed", slog.Any("error", err))
		c.abort()
	default:
		c.finishHandshake()
	}
}

// finishHandshake takes over who the client is, and reads what it has sent meanwhile.
func (c *clientConn) finishHandshake() {
	c.counters().Handshakes++
	c.TLS.Finish()
	c.HandshakeDone = true
	c.lastActivity, c.establishedAt = c.turnTime(), c.turnTime()
	state := c.TLS.State()
	if state.DidResume {
		c.counters().Resumed++
	}
	if len(state.PeerCertificates) > 0 {
		c.peerCertificate = state.PeerCertificates[0]
		c.callerCertificate = certs.Of(c.peerCertificate)
	}
	c.processMessages()
}

// certificateAt returns the client's certificate, revoked or not as of a time of the wall clock; nil without one.
func (c *clientConn) certificateAt(wall monotime.Micros) *identity.Certificate {
	if c.callerCertificate == nil {
		return nil
	}
	tls := &c.listener.server.tls
	c.callerCertificate.Revoked = tls.material == nil ||
		tls.material.Revoked.Has(c.peerCertificate, time.UnixMicro(wall), tls.files.StaleRefuses)
	return c.callerCertificate
}

// callerProof returns what a call shows of who it comes from.
func (c *clientConn) callerProof(token string) gateway.Credentials {
	proof := gateway.Credentials{Token: token, ClientAddress: c.address}
	if c.listener.server.core.Guard() != nil {
		proof.WallTime = time.Now().UnixMicro()
		proof.Certificate = c.certificateAt(proof.WallTime)
	}
	return proof
}

// readInput reads what has come; more is false at the connection's end.
func (c *clientConn) readInput() (more bool) {
	if c.TLS == nil {
		return c.Fill()
	}
	more, err := c.Receive(c.listener.server.tls.receiveBuffer, c.startHandshake)
	c.abortOnTLSError(err)
	return more
}

// decryptMore decrypts input for which there was no capacity before; it says whether there was any.
func (c *clientConn) decryptMore() bool {
	if c.TLS == nil || c.Closed || c.state == clientLingering {
		return false
	}
	got, err := c.Decrypt()
	c.abortOnTLSError(err)
	return got && err == nil
}

// abortOnTLSError aborts a connection whose records can't be read, once the alert is written.
func (c *clientConn) abortOnTLSError(err error) {
	if err != nil && !c.Closed && c.state != clientLingering {
		c.writeBytes(nil)
		c.counters().Malformed++
		c.abort()
	}
}

// seal returns a response as it goes over the connection, encrypted with TLS.
func (c *clientConn) seal(response []byte) []byte {
	sealed, err := c.Encode(response)
	if err != nil {
		c.terminate()
	}
	return sealed
}
