package server

import (
	"log/slog"
	"time"

	"chutechute/identity"
	"chutechute/internal/certs"
	"chutechute/internal/config"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
	"chutechute/internal/tlsio"
)

const (
	receiveBufferSize       = 16 << 10 // bytes
	expiryWarningInterval   = 3600 * monotime.Second
	engineHandshakeRoutines = 1
)

// tlsState is the server's side of TLS, with clients and with engines: what new connections are made with, and which
// handshakes may begin.
type tlsState struct {
	material         *certs.Material // nil where TLS is off
	files            *certs.Files
	handshakes       *identity.HandshakeLimiter // of clients, those that may begin
	clientHandshakes *tlsio.Pool
	engineHandshakes *tlsio.Pool     // of its own, since those of clients are not to hold it up
	warnAhead        time.Duration   // of an expiry
	nextWarningAt    monotime.Micros // for what expires soon
	receiveBuffer    []byte          // for what comes of any connection
}

// prepareTLS reads the files of a configuration's TLS section. It returns them, to be watched, and a function that puts
// the section into force for new connections. Once started is true, a changed file is read with all others, and later
// is handed what puts them into force. With an error nothing changes.
func (s *Server) prepareTLS(cfg *config.Config, later runOnLoop, started *bool) (files []*keyfiles.File, force func(),
	err error) {
	section := cfg.TLS()
	if !section.Enabled && !section.Engines.Enabled {
		return nil, func() { s.tls.material = nil }, nil
	}
	set, err := section.Files()
	if err != nil {
		return nil, nil, err
	}
	material, err := certs.Load(set)
	if err != nil {
		return nil, nil, err
	}
	load := func(string) error {
		if !*started { // all were read together above
			return nil
		}
		changed, err := certs.Load(set)
		if err == nil {
			later(func() { s.setTLSMaterial(changed) })
		}
		return err
	}
	for _, path := range set.Paths() {
		files = append(files, &keyfiles.File{Path: path, Load: load})
	}
	return files, func() {
		s.openTLS(section)
		s.tls.files, s.tls.warnAhead = set, section.ExpiryWarning()
		s.setTLSMaterial(material)
	}, nil
}

// openTLS makes what all handshakes share, unless it is there.
func (s *Server) openTLS(section *config.TLS) {
	if s.tls.clientHandshakes != nil {
		return
	}
	pending, share := section.HandshakeLimits()
	s.tls.handshakes = identity.NewHandshakeLimiter(pending)
	s.tls.clientHandshakes = tlsio.NewPool(share)
	s.tls.engineHandshakes = tlsio.NewPool(engineHandshakeRoutines)
	s.tls.receiveBuffer = make([]byte, receiveBufferSize)
}

// setTLSMaterial puts what the files hold into force: new connections are made with its certificates, and what it lists
// as revoked is so for all.
func (s *Server) setTLSMaterial(material *certs.Material) {
	s.tls.material = material
	s.tls.nextWarningAt = 0
}

// warnOfExpiry logs what will expire soon, once in an interval.
func (t *tlsState) warnOfExpiry(now monotime.Micros) {
	if t.material == nil || now < t.nextWarningAt {
		return
	}
	t.nextWarningAt = now + expiryWarningInterval
	for _, expiry := range t.material.Expiry {
		left := time.Until(expiry.At)
		if left >= t.warnAhead {
			continue
		}
		slog.Warn("expires soon", slog.String("file", expiry.Path),
			slog.String("at", expiry.At.UTC().Format(time.RFC3339)),
			slog.String("left", left.Round(time.Second).String()))
	}
}
