// Package certs creates certificates for development and tests, and loads those of an installation: certificates with
// their keys, certificate authorities and certificate revocation lists.
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

// CA is a certificate authority for development and tests: its private key is stored beside its certificate.
type CA struct{ Pair }

// Pair is a certificate and its private key.
type Pair struct {
	Certificate *x509.Certificate
	key         crypto.Signer
}

// Request describes a leaf certificate to create.
type Request struct {
	Name     string // the subject's common name
	DNS      []string
	URIs     []string
	Lifetime time.Duration // until it expires
}

// clockSkew is how long before their creation certificates and revocation lists become valid, so that machines whose
// clocks are slow accept them.
const clockSkew = time.Minute

// NewCA creates a certificate authority with a self-signed certificate.
func NewCA(name string, lifetime time.Duration) (*CA, error) {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}
	pair, err := sign(template, nil, lifetime)
	if err != nil {
		return nil, err
	}
	return &CA{*pair}, nil
}

// ReadCA reads a certificate authority from its two files. It returns nil if neither exists.
func ReadCA(cert, key string) (*CA, error) {
	_, certErr := os.Stat(cert)
	_, keyErr := os.Stat(key)
	if errors.Is(certErr, os.ErrNotExist) && errors.Is(keyErr, os.ErrNotExist) {
		return nil, nil
	}
	pair, err := loadPair(PairFiles{cert, key})
	if err != nil {
		return nil, err
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok || !pair.Leaf.IsCA {
		return nil, fmt.Errorf("%s: not a certificate of a certificate authority", cert)
	}
	return &CA{Pair{pair.Leaf, signer}}, nil
}

// Leaf creates a certificate for a server or a client, signed by the certificate authority.
func (ca *CA) Leaf(r Request) (*Pair, error) {
	template := &x509.Certificate{Subject: pkix.Name{CommonName: r.Name}, DNSNames: r.DNS,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, text := range r.URIs {
		u, err := url.Parse(text)
		if err != nil {
			return nil, fmt.Errorf("certs: %w", err)
		}
		template.URIs = append(template.URIs, u)
	}
	return sign(template, &ca.Pair, r.Lifetime)
}

// sign creates a key and a certificate for it from a template. The certificate is signed by the issuer, or with its own
// key if the issuer is nil.
func sign(template *x509.Certificate, issuer *Pair, lifetime time.Duration) (*Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	if template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	now := time.Now()
	template.NotBefore, template.NotAfter = now.Add(-clockSkew), now.Add(lifetime)
	parent, signer := template, crypto.Signer(key)
	if issuer != nil {
		parent, signer = issuer.Certificate, issuer.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	return &Pair{certificate, key}, nil
}

// CreateCRL returns a revocation list of the certificate authority in PEM. It names the revoked certificates and has to
// be replaced by a new one within the lifetime.
func (ca *CA) CreateCRL(number int64, lifetime time.Duration, revoked ...*x509.Certificate) ([]byte, error) {
	now := time.Now()
	list := &x509.RevocationList{Number: big.NewInt(number), ThisUpdate: now.Add(-clockSkew),
		NextUpdate: now.Add(lifetime)}
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

// Pool returns a pool with the certificate of this certificate authority only.
func (ca *CA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ca.Certificate)
	return pool
}

// PEM returns the certificate and the private key in PEM.
func (p *Pair) PEM() (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return nil, nil, fmt.Errorf("certs: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Certificate.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// TLS returns the pair as a certificate of crypto/tls.
func (p *Pair) TLS() tls.Certificate {
	return tls.Certificate{Certificate: [][]byte{p.Certificate.Raw}, PrivateKey: p.key, Leaf: p.Certificate}
}

// Write writes the certificate and the private key to files. The key's file is readable by its owner only.
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
