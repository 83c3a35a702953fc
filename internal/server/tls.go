package server

import (
	"crypto/x509"
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
	engineHandshakeCPUShare = 1
)

// tlsState is the TLS state for connections from clients and to engines: the certificates for new connections, and the
// limits and pools that their handshakes use.
type tlsState struct {
	material         *certs.Material // nil if TLS is off
	files            *certs.Files
	handshakes       *identity.HandshakeLimiter // limits the handshakes with clients that compute at once
	clientHandshakes *tlsio.Pool
	engineHandshakes *tlsio.Pool     // separate, so that handshakes with clients do not delay it
	warnAhead        time.Duration   // of an expiry, to log a warning
	nextWarningAt    monotime.Micros // when to check expiries again
	receiveBuffer    []byte          // scratch buffer that all connections share
}

// prepareTLS returns the files of a configuration's TLS section, to be loaded and watched, and a function that applies
// the section to new connections once they are loaded. The first one that is loaded reads them all. After *started is
// true, a change of one reads them all again, and the function postIfCurrent gets the task that applies them.
func (s *Server) prepareTLS(cfg *config.Config, postIfCurrent runOnLoop, started *bool) (files []*keyfiles.File,
	apply func(), err error) {
	section := cfg.TLS()
	if !section.Enabled && !section.Engines.Enabled {
		return nil, func() { s.tls.material = nil }, nil
	}
	set, err := section.Files()
	if err != nil {
		return nil, nil, err
	}
	var initial *certs.Material
	load := func(string) error {
		if !*started && initial != nil { // all files were read together for the first one
			return nil
		}
		material, err := certs.Load(set)
		switch {
		case err != nil:
		case *started:
			postIfCurrent(func() { s.setTLSMaterial(material) })
		default:
			initial = material
		}
		return err
	}
	for _, path := range set.Paths() {
		files = append(files, &keyfiles.File{Path: path, Load: load})
	}
	return files, func() {
		s.openTLS(section)
		s.tls.files, s.tls.warnAhead = set, section.ExpiryWarning()
		s.setTLSMaterial(initial)
	}, nil
}

// openTLS creates the state that all handshakes share, unless it exists.
func (s *Server) openTLS(section *config.TLS) {
	if s.tls.clientHandshakes != nil {
		return
	}
	pending, share := section.HandshakeLimits()
	s.tls.handshakes = identity.NewHandshakeLimiter(pending)
	s.tls.clientHandshakes = tlsio.NewPool(share)
	s.tls.engineHandshakes = tlsio.NewPool(engineHandshakeCPUShare)
	s.tls.receiveBuffer = make([]byte, receiveBufferSize)
}

// setTLSMaterial applies certificates and revocation lists. New connections use the certificates; revocations apply to
// existing connections too.
func (s *Server) setTLSMaterial(material *certs.Material) {
	s.tls.material = material
	s.tls.nextWarningAt = 0
}

// isRevoked reports whether the certificate of a client with these verified chains is revoked at a wall-clock time.
func (t *tlsState) isRevoked(chains [][]*x509.Certificate, now time.Time) bool {
	return t.material.Revocations.IsRevoked(chains, now, t.files.RejectStaleCRLs)
}

// warnOfExpiry logs the files whose content expires soon, at most once per expiryWarningInterval.
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
		slog.Warn("certificate or revocation list expires soon", slog.String("file", expiry.Path),
			slog.String("at", expiry.At.UTC().Format(time.RFC3339)),
			slog.String("left", left.Round(time.Second).String()))
	}
}
