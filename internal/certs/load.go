package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"time"

	"chutechute/identity"
	"chutechute/internal/keyfiles"
)

// Files holds the paths and options from which the TLS configurations are made.
type Files struct {
	Pairs      []PairFiles // the first is for clients that send no server name
	ClientCAs  []string
	ClientAuth tls.ClientAuthType
	CRLs       []string
	// RejectStaleCRLs rejects all certificates of a certificate authority whose revocation list is past its next update.
	// Without it the old list stays in force.
	RejectStaleCRLs bool
	MinVersion      uint16
	ALPN            []string

	// For connections to engines.
	EngineCAs  []string   // certificate authorities of the engines; empty if TLS with engines is off
	EngineName string     // name that an engine's certificate must have, with {id} in place of the engine's ID
	EnginePair *PairFiles // client certificate of the front end; nil without one
}

// PairFiles holds the paths of a certificate with its chain, and of its private key.
type PairFiles struct{ Certificate, Key string }

// Paths returns the paths of all files, in a fixed order.
func (f *Files) Paths() (paths []string) {
	for _, p := range f.Pairs {
		paths = append(paths, p.Certificate, p.Key)
	}
	if f.EnginePair != nil {
		paths = append(paths, f.EnginePair.Certificate, f.EnginePair.Key)
	}
	return slices.Concat(paths, f.ClientCAs, f.CRLs, f.EngineCAs)
}

// Material is the content of all files, loaded together.
type Material struct {
	Clients     *tls.Config // for connections from clients; nil if TLS with clients is off
	Engines     *tls.Config // for connections to engines; nil if TLS with engines is off
	Revocations Revocations
	Expiry      []Expiry
}

// Expiry is the time at which a file's content expires.
type Expiry struct {
	Path string
	At   time.Time
}

// Load reads all files. If it returns an error, which names the file, the former content of all of them must stay in
// force. While a pair is being replaced its certificate and key do not match, which is such an error.
func Load(f *Files) (*Material, error) {
	m := &Material{Revocations: newRevocations()}
	if err := m.loadEngines(f); err != nil {
		return nil, err
	}
	if len(f.Pairs) == 0 {
		return m, nil
	}
	m.Clients = &tls.Config{MinVersion: f.MinVersion, NextProtos: f.ALPN, ClientAuth: f.ClientAuth}
	for _, p := range f.Pairs {
		pair, err := loadPair(p)
		if err != nil {
			return nil, err
		}
		m.Clients.Certificates = append(m.Clients.Certificates, pair)
		m.Expiry = append(m.Expiry, Expiry{p.Certificate, pair.Leaf.NotAfter})
	}
	var authorities []*x509.Certificate
	for _, path := range f.ClientCAs {
		list, err := loadCertificates(path)
		if err != nil {
			return nil, err
		}
		for _, c := range list {
			m.Expiry = append(m.Expiry, Expiry{path, c.NotAfter})
		}
		authorities = append(authorities, list...)
	}
	if len(authorities) > 0 {
		m.Clients.ClientCAs = x509.NewCertPool()
		for _, c := range authorities {
			m.Clients.ClientCAs.AddCert(c)
		}
	}
	for _, path := range f.CRLs {
		if err := m.loadCRLs(path, authorities); err != nil {
			return nil, err
		}
	}
	m.Revocations.addAuthorities(authorities)
	return m, nil
}

// engineSessions is the number of TLS sessions with engines that are cached for resumption.
const engineSessions = 256

// loadEngines loads the TLS configuration of connections to engines.
func (m *Material) loadEngines(f *Files) error {
	if len(f.EngineCAs) == 0 {
		return nil
	}
	m.Engines = &tls.Config{MinVersion: f.MinVersion, RootCAs: x509.NewCertPool(),
		ClientSessionCache: tls.NewLRUClientSessionCache(engineSessions)}
	for _, path := range f.EngineCAs {
		list, err := loadCertificates(path)
		if err != nil {
			return err
		}
		for _, c := range list {
			m.Engines.RootCAs.AddCert(c)
			m.Expiry = append(m.Expiry, Expiry{path, c.NotAfter})
		}
	}
	if f.EnginePair != nil {
		pair, err := loadPair(*f.EnginePair)
		if err != nil {
			return err
		}
		m.Engines.Certificates = []tls.Certificate{pair}
		m.Expiry = append(m.Expiry, Expiry{f.EnginePair.Certificate, pair.Leaf.NotAfter})
	}
	return nil
}

// loadPair reads a certificate and its private key. It returns an error if others than the owner have access to the
// key's file, or if the certificate has expired.
func loadPair(p PairFiles) (pair tls.Certificate, err error) {
	info, err := os.Stat(p.Key)
	if err != nil {
		return pair, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return pair, fmt.Errorf("%s: others may read it (mode %04o): the mode must be 0600", p.Key, info.Mode().Perm())
	}
	certificate, err := keyfiles.Read(p.Certificate, maxFileBytes)
	if err != nil {
		return pair, err
	}
	key, err := keyfiles.Read(p.Key, maxFileBytes)
	if err != nil {
		return pair, err
	}
	defer clear(key)
	if err := checkPair(p, certificate, key); err != nil {
		return pair, err
	}
	if pair, err = tls.X509KeyPair(certificate, key); err != nil {
		return pair, fmt.Errorf("%s and %s: %w", p.Certificate, p.Key, err)
	}
	if time.Now().After(pair.Leaf.NotAfter) {
		return pair, fmt.Errorf("%s: expired at %s", p.Certificate, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return pair, nil
}

// IdentityCertificate returns the properties of a verified certificate by which package identity authenticates its
// holder.
func IdentityCertificate(c *x509.Certificate) *identity.Certificate {
	out := &identity.Certificate{DNSNames: c.DNSNames, Subject: c.Subject.String(), Expires: c.NotAfter.UnixMicro()}
	for _, u := range c.URIs {
		out.URIs = append(out.URIs, u.String())
	}
	return out
}
