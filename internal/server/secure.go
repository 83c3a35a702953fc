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

// security is the server's side of TLS with clients: what new connections are made with and who may shake hands.
type security struct {
	material   *certs.Material // nil where TLS is off
	files      *certs.Files
	handshakes *identity.Handshakes
	pool       *tlsio.Pool
	outward    *tlsio.Pool     // for handshakes with engines, which clients' are not to hold up
	warn       time.Duration   // ahead of an expiry
	warnAt     monotime.Micros // next
	scratch    []byte          // for what comes of any connection
}

const (
	scratchSize = 16 << 10
	warnEvery   = 3600 * 1000 * monotime.Millisecond
)

// secure puts the TLS section into force for connections that come from now on, and adds its files to those that are
// watched. With an error nothing changes.
func (s *Server) secure(cfg *config.Config, later func(func()), started *bool) (files []*keyfiles.File, force func(), err error) {
	section, off := cfg.TLS(), func() { s.security.material = nil }
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
				later(func() { s.renewed(changed) })
			}
			return err
		}})
	}
	return files, func() {
		pending, share := section.Bounds()
		s.security.files, s.security.warn = set, section.Warn()
		if s.security.pool == nil {
			s.security.pool, s.security.handshakes = tlsio.NewPool(share), identity.NewHandshakes(pending)
			s.security.outward = tlsio.NewPool(1)
			s.security.scratch = make([]byte, scratchSize)
		}
		s.renewed(material)
	}, nil
}

// renewed puts a state of the files into force: connections that come from now on are made with its certificates, and what
// it says is revoked is so for all.
func (s *Server) renewed(m *certs.Material) {
	s.security.material = m
	s.security.warnAt = 0
}

// tick logs what will expire soon, now and again.
func (s *security) tick(now monotime.Micros) {
	if s.material == nil || now < s.warnAt {
		return
	}
	s.warnAt = now + warnEvery
	for _, e := range s.material.Expiry {
		if left := time.Until(e.At); left < s.warn {
			slog.Warn("expires soon", "file", e.Path, "at", e.At.UTC().Format(time.RFC3339), "left", left.Round(time.Second).String())
		}
	}
}

// greet begins the handshake once the client's first message has come whole: who sends half of one, or noise, costs none.
func (c *client) greet() {
	if c.greeted || c.ending {
		return
	}
	whole, err := c.TLS.Hello()
	if err != nil {
		c.l.s.Counters.BadHandshakes++
		c.cut()
		return
	}
	if !whole {
		return
	}
	c.greeted = true
	server, s := c.l.s, &c.l.s.security
	s.handshakes.Ask(c.address, func() {
		if c.Closed { // it left while it waited
			server.post(func() { s.handshakes.Ended(c.address) })
			return
		}
		c.slot = true
		s.pool.Start(c.TLS, func(done bool, err error) { server.post(func() { c.shook(done, err) }) })
	})
}

// shook goes on with a handshake that has something to say, or that is over.
func (c *client) shook(done bool, err error) {
	s := &c.l.s.security
	if c.slot { // what it waits for now is its peer, or nothing
		c.slot = false
		s.handshakes.Ended(c.address)
	}
	if c.Closed || c.ending {
		return
	}
	c.raw(c.TLS.Output())
	switch {
	case !done || c.Closed:
	case err != nil:
		c.l.s.Counters.BadHandshakes++
		slog.Debug("client", "handshake", err)
		c.cut()
	default:
		c.l.s.Counters.Handshakes++
		c.TLS.Finish()
		c.HandshakeDone, c.since, c.born = true, c.l.s.TurnTime, c.l.s.TurnTime
		state := c.TLS.State()
		if state.DidResume {
			c.l.s.Counters.Resumed++
		}
		if len(state.PeerCertificates) > 0 {
			c.leaf, c.certificate = state.PeerCertificates[0], certs.Of(state.PeerCertificates[0])
		}
		c.read()
	}
}

// proof is what the connection shows of who its client is, as of now.
func (c *client) proof(wall monotime.Micros) *identity.Certificate {
	if c.certificate == nil {
		return nil
	}
	s := &c.l.s.security
	c.certificate.Revoked = s.material == nil || s.material.Revoked.Has(c.leaf, time.UnixMicro(wall), s.files.StaleRefuses)
	return c.certificate
}

// fill reads what has come.
func (c *client) fill() (more bool) {
	if c.TLS == nil {
		return c.Stream.Fill()
	}
	more, err := c.Receive(c.l.s.security.scratch, c.greet)
	c.broken(err)
	return more
}

// more says whether a connection with TLS has had more to say.
func (c *client) more() bool {
	if c.TLS == nil || c.Closed || c.ending {
		return false
	}
	got, err := c.Decrypt()
	c.broken(err)
	return got && err == nil
}

// broken ends a connection whose records can't be read, once the peer has been told.
func (c *client) broken(err error) {
	if err != nil && !c.Closed && !c.ending {
		c.raw(nil)
		c.l.s.Counters.Malformed++
		c.cut()
	}
}

// sealed is an answer as it goes over the connection.
func (c *client) sealed(answer []byte) []byte {
	b, err := c.Seal(answer)
	if err != nil {
		c.end()
	}
	return b
}

// proofOf gathers what a call shows of who it comes from.
func (c *client) proofOf(token string) gateway.Proof {
	p := gateway.Proof{Token: token, Address: c.address}
	if c.l.s.core.Guard() != nil {
		p.Wall = time.Now().UnixMicro()
		p.Certificate = c.proof(p.Wall)
	}
	return p
}
