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

// mostPEM bounds each file, in bytes.
const mostPEM = 4 << 20

// Files are what a server's TLS is made from.
type Files struct {
	Pairs      []PairFiles // the first is for clients that name no server
	ClientCAs  []string
	ClientAuth tls.ClientAuthType
	CRLs       []string
	// StaleRefuses has all certificates of an authority refused whose list is past its time; else the old list goes on.
	StaleRefuses bool
	MinVersion   uint16
	ALPN         []string

	// Towards engines: their authorities, none where that is off; the name that one has to show, with {id} for its id; and what the
	// front end shows, if anything.
	EngineCAs  []string
	EngineName string
	EnginePair *PairFiles
}

// PairFiles are the paths of a certificate, with the chain behind it, and its key.
type PairFiles struct{ Certificate, Key string }

// Paths is all files, in a fixed order.
func (f *Files) Paths() (paths []string) {
	for _, p := range f.Pairs {
		paths = append(paths, p.Certificate, p.Key)
	}
	if f.EnginePair != nil {
		paths = append(paths, f.EnginePair.Certificate, f.EnginePair.Key)
	}
	return slices.Concat(paths, f.ClientCAs, f.CRLs, f.EngineCAs)
}

// Material is a consistent state of the files.
type Material struct {
	Config  *tls.Config // for clients; nil where that is off
	Engines *tls.Config // towards engines; nil where that is off
	Revoked Revoked
	Expiry  []Expiry
}

// Expiry is when a file's content ends.
type Expiry struct {
	Path string
	At   time.Time
}

// Revoked are the serial numbers that lists name, and when each authority's list is past its time, by the authority's key
// id and name.
type Revoked struct {
	Serials map[string]bool
	Next    map[string]time.Time
}

// issuerOf names an authority as its certificates and lists do.
func issuerOf(keyID, raw []byte) string { return string(keyID) + "\x00" + string(raw) }

// Has says whether a certificate is revoked or, with refuse, whether nobody can say any more.
func (r *Revoked) Has(c *x509.Certificate, now time.Time, refuse bool) bool {
	issuer := issuerOf(c.AuthorityKeyId, c.RawIssuer)
	if r.Serials[issuer+"\x00"+c.SerialNumber.String()] {
		return true
	}
	next, listed := r.Next[issuer]
	return refuse && listed && now.After(next)
}

// Load reads all files. With an error, which names the file, none of them is to come into force: a pair that is half
// written does not match.
func Load(f *Files) (*Material, error) {
	m := &Material{Revoked: Revoked{map[string]bool{}, map[string]time.Time{}}}
	if err := m.loadEngines(f); err != nil {
		return nil, err
	}
	if len(f.Pairs) == 0 {
		return m, nil
	}
	m.Config = &tls.Config{MinVersion: f.MinVersion, NextProtos: f.ALPN, ClientAuth: f.ClientAuth}
	for _, p := range f.Pairs {
		pair, err := loadPair(p)
		if err != nil {
			return nil, err
		}
		m.Config.Certificates = append(m.Config.Certificates, pair)
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
		m.Config.ClientCAs = x509.NewCertPool()
		for _, c := range authorities {
			m.Config.ClientCAs.AddCert(c)
		}
	}
	for _, path := range f.CRLs {
		if err := m.loadCRL(path, authorities); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// sessions is how many engines' sessions are kept to be resumed.
const sessions = 256

// loadEngines loads what connections to engines are made with.
func (m *Material) loadEngines(f *Files) error {
	if len(f.EngineCAs) == 0 {
		return nil
	}
	m.Engines = &tls.Config{MinVersion: f.MinVersion, RootCAs: x509.NewCertPool(),
		ClientSessionCache: tls.NewLRUClientSessionCache(sessions)}
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

// loadPair reads a certificate and its key, which nobody else may be able to read.
func loadPair(p PairFiles) (pair tls.Certificate, err error) {
	info, err := os.Stat(p.Key)
	if err != nil {
		return pair, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return pair, fmt.Errorf("%s: others may read it (mode %04o): it has to be 0600", p.Key, info.Mode().Perm())
	}
	certificate, err := keyfiles.Read(p.Certificate, mostPEM)
	if err != nil {
		return pair, err
	}
	key, err := keyfiles.Read(p.Key, mostPEM)
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

func loadCertificates(path string) (list []*x509.Certificate, err error) {
	text, err := keyfiles.Read(path, mostPEM)
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
		return nil, fmt.Errorf("%s: no certificate", path)
	}
	return list, nil
}

// loadCRL reads a list of what is revoked (RFC 5280, section 5), in PEM or DER, which one of the authorities has to have
// signed.
func (m *Material) loadCRL(path string, authorities []*x509.Certificate) error {
	der, err := keyfiles.Read(path, mostPEM)
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
	var by *x509.Certificate
	err = errors.New("no authority of its name")
	for _, c := range authorities {
		if string(c.RawSubject) == string(list.RawIssuer) {
			if err = list.CheckSignatureFrom(c); err == nil {
				by = c
				break
			}
		}
	}
	if by == nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	issuer := issuerOf(by.SubjectKeyId, by.RawSubject)
	for _, one := range list.RevokedCertificateEntries {
		m.Revoked.Serials[issuer+"\x00"+one.SerialNumber.String()] = true
	}
	if !list.NextUpdate.IsZero() {
		m.Revoked.Next[issuer] = list.NextUpdate
		m.Expiry = append(m.Expiry, Expiry{path, list.NextUpdate})
	}
	return nil
}

// Of is what a verified certificate stands for.
func Of(c *x509.Certificate) *identity.Certificate {
	out := &identity.Certificate{DNSNames: c.DNSNames, Subject: c.Subject.String(), Expires: c.NotAfter.UnixMicro()}
	for _, u := range c.URIs {
		out.URIs = append(out.URIs, u.String())
	}
	return out
}
