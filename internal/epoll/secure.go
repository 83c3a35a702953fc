package epoll

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

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
	mostChunks  = 16 // of scratchSize that one connection reads in one turn
	warnEvery   = 3600 * 1000 * ms
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
	whole, err := c.secure.Hello()
	if err != nil {
		c.l.s.count.BadHandshakes++
		c.cut()
		return
	}
	if !whole {
		return
	}
	c.greeted = true
	server, s := c.l.s, &c.l.s.security
	s.handshakes.Ask(c.address, func() {
		if c.closed { // it left while it waited
			server.post(func() { s.handshakes.Ended(c.address) })
			return
		}
		c.slot = true
		s.pool.Start(c.secure, func(done bool, err error) { server.post(func() { c.shook(done, err) }) })
	})
}

// shook goes on with a handshake that has something to say, or that is over.
func (c *client) shook(done bool, err error) {
	s := &c.l.s.security
	if c.slot { // what it waits for now is its peer, or nothing
		c.slot = false
		s.handshakes.Ended(c.address)
	}
	if c.closed || c.ending {
		return
	}
	c.raw(c.secure.Output())
	switch {
	case !done || c.closed:
	case err != nil:
		c.l.s.count.BadHandshakes++
		slog.Debug("client", "handshake", err)
		c.cut()
	default:
		c.l.s.count.Handshakes++
		c.secure.Finish()
		c.shaken, c.since, c.born = true, c.l.s.now, c.l.s.now
		state := c.secure.State()
		if state.DidResume {
			c.l.s.count.Resumed++
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
	if c.secure == nil {
		return c.stream.fill()
	}
	more, err := c.receive(c.l.s.security.scratch, c.greet)
	c.broken(err)
	return more
}

// more says whether a connection with TLS has had more to say.
func (c *client) more() bool {
	if c.secure == nil || c.closed || c.ending {
		return false
	}
	got, err := c.decrypt()
	c.broken(err)
	return got && err == nil
}

// broken ends a connection whose records can't be read, once the peer has been told.
func (c *client) broken(err error) {
	if err != nil && !c.closed && !c.ending {
		c.raw(nil)
		c.l.s.count.Malformed++
		c.cut()
	}
}

// sealed is an answer as it goes over the connection.
func (c *client) sealed(answer []byte) []byte {
	b, err := c.seal(answer)
	if err != nil {
		c.end()
	}
	return b
}

// receive reads the records that have come and decrypts them into the ring; greet is called while the handshake goes on. More is
// false at the stream's end.
func (s *stream) receive(scratch []byte, greet func()) (more bool, err error) {
	for n := 0; n < mostChunks && !s.closed; n++ {
		n, err := unix.Read(s.fd, scratch)
		switch {
		case err == unix.EAGAIN:
			return true, nil
		case err == unix.EINTR:
			continue
		case err != nil || n == 0:
			return false, nil
		}
		if err := s.secure.Feed(scratch[:n]); err != nil {
			return true, err
		}
		if !s.shaken {
			greet()
		}
		got, err := s.decrypt()
		if err != nil {
			return true, err
		}
		if s.shaken && !got && len(s.in.Space()) == 0 || n < len(scratch) {
			return true, nil
		}
	}
	return true, nil
}

// decrypt moves what the peer has said into the ring; got says whether there was anything. What is to be said in return, an alert
// or an answer to a change of keys, is added to what goes out.
func (s *stream) decrypt() (got bool, err error) {
	if !s.shaken || s.closed {
		return false, nil
	}
	for {
		space := s.in.Space()
		if len(space) == 0 {
			return got, nil
		}
		n, err := s.secure.Read(space)
		s.in.Commit(n)
		got = got || n > 0
		if err == nil {
			continue
		}
		if out := s.secure.Output(); len(out) > 0 {
			if _, err := s.out.Write(out); err != nil {
				return got, err
			}
		}
		if errors.Is(err, tlsio.ErrAgain) || errors.Is(err, tlsio.ErrEnd) {
			return got, nil
		}
		return got, err
	}
}

var errUnshaken = errors.New("epoll: a message before the handshake's end")

// seal is a message as it goes over the connection.
func (s *stream) seal(b []byte) ([]byte, error) {
	if s.secure == nil {
		return b, nil
	}
	if !s.shaken { // crypto/tls would wait for the handshake, and the loop with it
		return nil, errUnshaken
	}
	if err := s.secure.Write(b); err != nil {
		return nil, err
	}
	return s.secure.Output(), nil
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
