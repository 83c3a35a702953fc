// Package certs makes certificates for trials and tests, and loads those of an installation: pairs, authorities, lists of
// what is revoked.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"time"

	"chutechute/internal/keyfiles"
)

// CA is an authority for trials: its key lies beside its certificate.
type CA struct{ Pair }

// Pair is a certificate and its key.
type Pair struct {
	Certificate *x509.Certificate
	key         crypto.Signer
}

// Request is what a leaf is to say.
type Request struct {
	Name string
	DNS  []string
	URIs []string
	For  time.Duration
}

// backdate is how long before now certificates begin, for clocks that are off.
const backdate = time.Minute

// NewCA makes an authority.
func NewCA(name string, lasts time.Duration) (*CA, error) {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	pair, err := sign(template, nil, lasts)
	if err != nil {
		return nil, err
	}
	return &CA{*pair}, nil
}

// ReadCA reads an authority from its two files; nil where neither is there.
func ReadCA(cert, key string) (*CA, error) {
	_, noCert := os.Stat(cert)
	_, noKey := os.Stat(key)
	if errors.Is(noCert, os.ErrNotExist) && errors.Is(noKey, os.ErrNotExist) {
		return nil, nil
	}
	pair, err := loadPair(PairFiles{cert, key})
	if err != nil {
		return nil, err
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("%s: not an authority's", cert)
	}
	return &CA{Pair{pair.Leaf, signer}}, nil
}

// Leaf makes a certificate that the authority vouches for, for servers and clients.
func (ca *CA) Leaf(r Request) (*Pair, error) {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: r.Name}, DNSNames: r.DNS, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, text := range r.URIs {
		u, err := url.Parse(text)
		if err != nil {
			return nil, fmt.Errorf("certs: %w", err)
		}
		template.URIs = append(template.URIs, u)
	}
	return sign(template, &ca.Pair, r.For)
}

func sign(template *x509.Certificate, by *Pair, lasts time.Duration) (*Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	now := time.Now()
	template.NotBefore, template.NotAfter = now.Add(-backdate), now.Add(lasts)
	parent, signer := template, crypto.Signer(key)
	if by != nil {
		parent, signer = by.Certificate, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	made, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	return &Pair{made, key}, nil
}

// Revoke writes a list of what the authority has revoked, in PEM. It is to be renewed within a time.
func (ca *CA) Revoke(number int64, within time.Duration, revoked ...*x509.Certificate) ([]byte, error) {
	now := time.Now()
	list := &x509.RevocationList{Number: big.NewInt(number), ThisUpdate: now.Add(-backdate), NextUpdate: now.Add(within)}
	for _, c := range revoked {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries,
			x509.RevocationListEntry{SerialNumber: c.SerialNumber, RevocationTime: now})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, ca.Certificate, ca.key)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "X509 CRL", Bytes: der}), nil
}

// Pool holds the authority alone.
func (ca *CA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ca.Certificate)
	return pool
}

// PEM is the pair's two files.
func (p *Pair) PEM() (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Certificate.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// TLS is the pair as crypto/tls takes it.
func (p *Pair) TLS() tls.Certificate {
	return tls.Certificate{Certificate: [][]byte{p.Certificate.Raw}, PrivateKey: p.key, Leaf: p.Certificate}
}

// Write writes the pair's two files, the key for its owner alone.
func (p *Pair) Write(cert, key string) error {
	certText, keyText, err := p.PEM()
	if err != nil {
		return err
	}
	defer clear(keyText)
	if err := keyfiles.Write(key, keyText, 0o600); err != nil {
		return err
	}
	return keyfiles.Write(cert, certText, 0o644)
}
