package certs

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"chutechute/identity"
	"chutechute/internal/keyfiles"
)

// maxFileBytes is the maximum size of each file.
const maxFileBytes = 4 << 20

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

// Revocations is the content of the certificate revocation lists.
type Revocations struct {
	Serials     map[string]bool      // by issuerKey and serial number
	NextUpdates map[string]time.Time // by issuerKey: when the issuer's list has to be replaced by a new one
}

// issuerKey returns the map key of a certificate authority from its key ID and its DER-encoded name.
func issuerKey(keyID, rawName []byte) string { return string(keyID) + "\x00" + string(rawName) }

// IsRevoked reports whether a certificate is revoked. With rejectStale it also returns true for every certificate whose
// issuer's list is past its next update.
func (r *Revocations) IsRevoked(c *x509.Certificate, now time.Time, rejectStale bool) bool {
	issuer := issuerKey(c.AuthorityKeyId, c.RawIssuer)
	if r.Serials[issuer+"\x00"+c.SerialNumber.String()] {
		return true
	}
	nextUpdate, listed := r.NextUpdates[issuer]
	return rejectStale && listed && now.After(nextUpdate)
}

// Load reads all files. If it returns an error, which names the file, the former content of all of them must stay in
// force. While a pair is being replaced its certificate and key do not match, which is such an error.
func Load(f *Files) (*Material, error) {
	m := &Material{Revocations: Revocations{map[string]bool{}, map[string]time.Time{}}}
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
		if err := m.loadCRL(path, authorities); err != nil {
			return nil, err
		}
	}
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
	if pair, err = tls.X509KeyPair(certificate, key); err != nil {
		return pair, fmt.Errorf("%s and %s: %w", p.Certificate, p.Key, err)
	}
	if time.Now().After(pair.Leaf.NotAfter) {
		return pair, fmt.Errorf("%s: expired at %s", p.Certificate, pair.Leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	return pair, nil
}

// loadCertificates reads a PEM file with one or more certificates.
func loadCertificates(path string) (list []*x509.Certificate, err error) {
	text, err := keyfiles.Read(path, maxFileBytes)
	if err != nil {
		return nil, err
	}
	for len(text) > 0 {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: contains no certificate", path)
	}
	return list, nil
}

// loadCRL reads a certificate revocation list (RFC 5280, section 5) in PEM or DER. One of the certificate authorities
// must have signed it.
func (m *Material) loadCRL(path string, authorities []*x509.Certificate) error {
	der, err := keyfiles.Read(path, maxFileBytes)
	if err != nil {
		return err
	}
	if block, _ := pem.Decode(der); block != nil {
		der = block.Bytes
	}
	list, err := x509.ParseRevocationList(der)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	var signer *x509.Certificate
	err = errors.New("the issuer is not among the client certificate authorities")
	for _, c := range authorities {
		if string(c.RawSubject) == string(list.RawIssuer) {
			if err = list.CheckSignatureFrom(c); err == nil {
				signer = c
				break
			}
		}
	}
	if signer == nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	issuer := issuerKey(signer.SubjectKeyId, signer.RawSubject)
	for _, entry := range list.RevokedCertificateEntries {
		m.Revocations.Serials[issuer+"\x00"+entry.SerialNumber.String()] = true
	}
	if !list.NextUpdate.IsZero() {
		m.Revocations.NextUpdates[issuer] = list.NextUpdate
		m.Expiry = append(m.Expiry, Expiry{path, list.NextUpdate})
	}
	return nil
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
