package server

import (
	"log/slog"
	"time"

	"chutechute/gateway"
	"chutechute/identity"
	"chutechute/internal/certs"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
	"chutechute/internal/tlsio"
)

// tlsState is the server's side of TLS with clients: what new connections are made with and who may shake hands.
type tlsState struct {
	material         *certs.Material // nil where TLS is off
	files            *certs.Files
	handshakes       *identity.Handshakes
	clientHandshakes *tlsio.Pool
	engineHandshakes *tlsio.Pool     // for handshakes with engines, which clients' are not to hold up
	warnAhead        time.Duration   // ahead of an expiry
	nextWarningAt    monotime.Micros // next
	scratch          []byte          // for what comes of any connection
}

const (
	scratchSize           = 16 << 10
	expiryWarningInterval = 3600 * 1000 * monotime.Millisecond
)

// prepareTLS puts the TLS section into force for connections that come from now on, and adds its files to those that are
// watched. With an error nothing changes.
func (s *Server) prepareTLS(cfg *config.Config, later func(func()), started *bool) (files []*keyfiles.File, force func(), err error) {
	section, off := cfg.TLS(), func() { s.tls.material = nil }
	if !section.Enabled && !section.Engines.Enabled {
		return nil, off, nil
	}
	set, err := section.Files()
	if err != nil {
		return nil, nil, err
	}
	material, err := certs.Load(set)
	if err != nil {
		return nil, nil, err
	}
	for _, path := range set.Paths() {
		files = append(files, &keyfiles.File{Path: path, Load: func(string) error {
			if !*started { // all were read together above
				return nil
			}
			changed, err := certs.Load(set)
			if err == nil {
				later(func() { s.setTLSMaterial(changed) })
			}
			return err
		}})
	}
	return files, func() {
		pending, share := section.Bounds()
		s.tls.files, s.tls.warnAhead = set, section.Warn()
		if s.tls.clientHandshakes == nil {
			s.tls.clientHandshakes, s.tls.handshakes = tlsio.NewPool(share), identity.NewHandshakes(pending)
			s.tls.engineHandshakes = tlsio.NewPool(1)
			s.tls.scratch = make([]byte, scratchSize)
		}
		s.setTLSMaterial(material)
	}, nil
}

// setTLSMaterial puts a state of the files into force: connections that come from now on are made with its certificates, and what
// it says is revoked is so for all.
func (s *Server) setTLSMaterial(m *certs.Material) {
	s.tls.material = m
	s.tls.nextWarningAt = 0
}

// warnOfExpiry logs what will expire soon, now and again.
func (s *tlsState) warnOfExpiry(now monotime.Micros) {
	if s.material == nil || now < s.nextWarningAt {
		return
	}
	s.nextWarningAt = now + expiryWarningInterval
	for _, e := range s.material.Expiry {
		if left := time.Until(e.At); left < s.warnAhead {
			slog.Warn("expires soon", "file", e.Path, "at", e.At.UTC().Format(time.RFC3339), "left", left.Round(time.Second).String())
		}
	}
}

// startHandshake begins the handshake once the client's first message has come whole: who sends half of one, or noise, costs none.
func (c *clientConn) startHandshake() {
	if c.handshakeRequested || c.ending {
		return
	}
	whole, err := c.TLS.Hello()
	if err != nil {
		c.listener.server.host.Counters.BadHandshakes++
		c.abort()
		return
	}
	if !whole {
		return
	}
	c.handshakeRequested = true
	server, s := c.listener.server, &c.listener.server.tls
	s.handshakes.Ask(c.address, func() {
		if c.Closed { // it left while it waited
			server.post(func() { s.handshakes.Ended(c.address) })
			return
		}
		c.holdsHandshakeSlot = true
		s.clientHandshakes.Start(c.TLS, func(done bool, err error) { server.post(func() { c.handleHandshakeProgress(done, err) }) })
	})
}

// handleHandshakeProgress goes on with a handshake that has something to say, or that is over.
func (c *clientConn) handleHandshakeProgress(done bool, err error) {
	s := &c.listener.server.tls
	if c.holdsHandshakeSlot { // what it waits for now is its peer, or nothing
		c.holdsHandshakeSlot = false
		s.handshakes.Ended(c.address)
	}
	if c.Closed || c.ending {
		return
	}
	c.writeBytes(c.TLS.Output())
	switch {
	case !done || c.Closed:
	case err != nil:
		c.listener.server.host.Counters.BadHandshakes++
		slog.Debug("client", "handshake", err)
		c.abort()
	default:
		c.listener.server.host.Counters.Handshakes++
		c.TLS.Finish()
		c.HandshakeDone, c.lastActivity, c.establishedAt = true, c.listener.server.host.TurnTime, c.listener.server.host.TurnTime
		state := c.TLS.State()
		if state.DidResume {
			c.listener.server.host.Counters.Resumed++
		}
		if len(state.PeerCertificates) > 0 {
			c.peerCertificate, c.callerCertificate = state.PeerCertificates[0], certs.Of(state.PeerCertificates[0])
		}
		c.processMessages()
	}
}

// certificateAt is what the connection shows of who its client is, as of now.
func (c *clientConn) certificateAt(wall monotime.Micros) *identity.Certificate {
	if c.callerCertificate == nil {
		return nil
	}
	s := &c.listener.server.tls
	c.callerCertificate.Revoked = s.material == nil || s.material.Revoked.Has(c.peerCertificate, time.UnixMicro(wall), s.files.StaleRefuses)
	return c.callerCertificate
}

// readInput reads what has come.
func (c *clientConn) readInput() (more bool) {
	if c.TLS == nil {
		return c.Stream.Fill()
	}
	more, err := c.Receive(c.listener.server.tls.scratch, c.startHandshake)
	c.abortOnTLSError(err)
	return more
}

// decryptMore says whether a connection with TLS has had more to say.
func (c *clientConn) decryptMore() bool {
	if c.TLS == nil || c.Closed || c.ending {
		return false
	}
	got, err := c.Decrypt()
	c.abortOnTLSError(err)
	return got && err == nil
}

// abortOnTLSError ends a connection whose records can't be read, once the peer has been told.
func (c *clientConn) abortOnTLSError(err error) {
	if err != nil && !c.Closed && !c.ending {
		c.writeBytes(nil)
		c.listener.server.host.Counters.Malformed++
		c.abort()
	}
}

// seal is an answer as it goes over the connection.
func (c *clientConn) seal(answer []byte) []byte {
	b, err := c.Seal(answer)
	if err != nil {
		c.terminate()
	}
	return b
}

// callerProof gathers what a call shows of who it comes from.
func (c *clientConn) callerProof(token string) gateway.Proof {
	p := gateway.Proof{Token: token, Address: c.address}
	if c.listener.server.core.Guard() != nil {
		p.Wall = time.Now().UnixMicro()
		p.Certificate = c.certificateAt(p.Wall)
	}
	return p
}
