package server

import (
	"log/slog"
	"time"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/certs"
	"chutechute/internal/monotime"
)

// startHandshake starts the handshake once the ClientHello has been received completely, so that incomplete or invalid
// input does not cost the computation of a handshake.
func (c *clientConn) startHandshake() {
	if c.handshakeRequested || c.state == clientLingering {
		return
	}
	complete, err := c.TLS.ClientHelloReceived()
	if err != nil {
		c.counters().FailedHandshakes++
		c.abort()
		return
	}
	if !complete {
		return
	}
	c.handshakeRequested = true
	server := c.listener.server
	server.tls.handshakes.Start(c.address, func() {
		if c.Closed { // the client disconnected while the handshake was queued
			server.post(func() { server.tls.handshakes.Done(c.address) })
			return
		}
		c.holdsHandshakeSlot = true
		server.tls.clientHandshakes.Start(c.TLS, func(done bool, err error) {
			server.post(func() { c.handleHandshakeProgress(done, err) })
		})
	})
}

// handleHandshakeProgress sends the output of the handshake, and handles its completion or failure.
func (c *clientConn) handleHandshakeProgress(done bool, err error) {
	if c.holdsHandshakeSlot { // the handshake now waits for its peer or has ended
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
		c.counters().FailedHandshakes++
		slog.Debug("client TLS handshake failed", slog.Any("error", err))
		c.abort()
	default:
		c.finishHandshake()
	}
}

// finishHandshake records the client's certificate and handles the input received during the handshake.
func (c *clientConn) finishHandshake() {
	c.counters().Handshakes++
	c.TLS.SetHandshakeDone()
	c.HandshakeDone = true
	c.lastActivity, c.establishedAt = c.turnTime(), c.turnTime()
	state := c.TLS.State()
	if state.DidResume {
		c.counters().ResumedHandshakes++
	}
	if len(state.PeerCertificates) > 0 {
		c.verifiedChains = state.VerifiedChains
		c.callerCertificate = certs.IdentityCertificate(state.PeerCertificates[0])
	}
	c.queueMessages()
}

// certificateAt returns the client's certificate, with its revocation status at the given wall-clock time. It returns
// nil if the client has none.
func (c *clientConn) certificateAt(wallTime monotime.Micros) *identity.Certificate {
	if c.callerCertificate == nil {
		return nil
	}
	tls := &c.listener.server.tls
	c.callerCertificate.Revoked = tls.material == nil || tls.isRevoked(c.verifiedChains, time.UnixMicro(wallTime))
	return c.callerCertificate
}

// denyRevoked denies a request if callers are not identified and the client's certificate is revoked. Where callers are
// identified, the core denies it.
func (c *clientConn) denyRevoked(response *responder) (denied bool) {
	server := c.listener.server
	if server.core.Guard() != nil || c.callerCertificate == nil || server.tls.material == nil ||
		!server.tls.isRevoked(c.verifiedChains, time.Now()) {
		return false
	}
	if !c.revocationLogged {
		c.revocationLogged = true
		slog.Warn("requests denied: the client certificate is revoked",
			slog.String("subject", c.callerCertificate.Subject))
	}
	response.deny(&identity.Denied{Reason: identity.NotValidNow, Detail: "certificate"})
	return true
}

// credentials returns the credentials of a request: its token, the client's address and the client's certificate.
func (c *clientConn) credentials(token string) gateway.Credentials {
	credentials := gateway.Credentials{Token: token, ClientAddress: c.address}
	if c.listener.server.core.Guard() != nil {
		credentials.WallTime = time.Now().UnixMicro()
		credentials.Certificate = c.certificateAt(credentials.WallTime)
	}
	return credentials
}

// readInput reads input. It returns false at the end of the stream.
func (c *clientConn) readInput() (more bool) {
	if c.TLS == nil {
		return c.Fill()
	}
	more, err := c.Receive(c.listener.server.tls.receiveBuffer, c.startHandshake)
	c.abortOnTLSError(err)
	return more
}

// decryptMore decrypts input that did not fit into the buffer before. It reports whether it decrypted any.
func (c *clientConn) decryptMore() bool {
	if c.TLS == nil || c.Closed || c.state == clientLingering {
		return false
	}
	decrypted, err := c.Decrypt()
	c.abortOnTLSError(err)
	return decrypted && err == nil
}

// abortOnTLSError aborts the connection after a TLS error, once the alert is written.
func (c *clientConn) abortOnTLSError(err error) {
	if err != nil && !c.Closed && c.state != clientLingering {
		c.writeBytes(nil)
		c.counters().MalformedInput++
		c.abort()
	}
}

// seal returns a response in the form in which it is sent: encrypted if the connection uses TLS.
func (c *clientConn) seal(response []byte) []byte {
	sealed, err := c.Encode(response)
	if err != nil {
		c.terminate()
	}
	return sealed
}
