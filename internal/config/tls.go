package config

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"time"

	"chutechute/internal/certs"
)

// TLS is the section "tls": TLS with clients and engines. If it is on, all connections with clients use TLS.
type TLS struct {
	Enabled      bool             `json:"enabled"`
	Certificates []TLSCertificate `json:"certificates"` // the first one is for clients that send no server name
	ClientAuth   string           `json:"client_auth"`  // "none" (default), "request" or "require"
	ClientCAs    []string         `json:"client_cas"`   // paths of the CA certificates for clients
	CRLs         []string         `json:"crls"`         // paths of certificate revocation lists
	StaleCRL     string           `json:"stale_crl"`    // if a list has expired: "refuse" (default) or "accept"
	MinVersion   string           `json:"min_version"`  // "1.2" or "1.3" (default)
	ALPN         []string         `json:"alpn"`         // protocols to negotiate
	Handshakes   TLSHandshakes    `json:"handshakes"`
	WarnDays     float64          `json:"warn_days"` // before an expiry; default 14
	Engines      TLSEngines       `json:"engines"`
}

// TLSEngines sets TLS with engines.
type TLSEngines struct {
	Enabled     bool           `json:"enabled"`
	CAs         []string       `json:"cas"`         // paths of the CA certificates for engines
	Name        string         `json:"name"`        // expected in an engine's certificate; {id} is the engine's id
	Certificate TLSCertificate `json:"certificate"` // that the front end presents; optional
}

// TLSCertificate has the paths of a certificate with its chain and of its key.
type TLSCertificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// TLSHandshakes limits handshakes with clients.
type TLSHandshakes struct {
	Pending int     `json:"pending"` // handshakes that run at a time, others wait; default 32
	Share   float64 `json:"share"`   // of one core that handshakes may use, from 0 to 1; default 0.25
}

// Defaults of the section.
const (
	defaultPendingHandshakes = 32
	defaultHandshakeShare    = 0.25 // of one core
	defaultWarnDays          = 14
)

// The values of "stale_crl".
const (
	staleCRLRefuse = "refuse"
	staleCRLAccept = "accept"
)

// The values of "client_auth" and of "min_version".
var (
	clientAuthModes = map[string]tls.ClientAuthType{
		"":        tls.NoClientCert,
		"none":    tls.NoClientCert,
		"request": tls.VerifyClientCertIfGiven,
		"require": tls.RequireAndVerifyClientCert,
	}
	tlsVersions = map[string]uint16{
		"":    tls.VersionTLS13,
		"1.3": tls.VersionTLS13,
		"1.2": tls.VersionTLS12,
	}
)

// tlsSection creates the errors for keys of the section. They do not name the file: the caller of Files adds it.
var tlsSection = section{path: "tls"}

// check returns an error if the section is on and invalid.
func (t *TLS) check() error {
	if !t.Enabled && !t.Engines.Enabled {
		return nil
	}
	if _, err := t.Files(); err != nil {
		return fmt.Errorf("installation: %w", err)
	}
	return nil
}

// Files checks the section and returns the paths in it, with the modes in which the files are used, as the type of
// package certs. It does not read the files. The error is a *KeyError without the name of a file.
func (t *TLS) Files() (*certs.Files, error) {
	files := &certs.Files{RejectStaleCRLs: t.StaleCRL != staleCRLAccept}
	if err := t.Engines.addFiles(files); err != nil {
		return nil, err
	}
	if err := t.addClientFiles(files); err != nil {
		return nil, err
	}
	if err := t.setModes(files); err != nil {
		return nil, err
	}
	if err := t.checkCombination(files.ClientAuth); err != nil {
		return nil, err
	}
	return files, nil
}

// addFiles adds the files for connections to engines, if TLS with engines is on.
func (e *TLSEngines) addFiles(files *certs.Files) error {
	if !e.Enabled {
		return nil
	}
	certificate := e.Certificate
	switch {
	case len(e.CAs) == 0:
		return tlsSection.keyError("engines.cas", "missing")
	case e.Name == "":
		return tlsSection.keyError("engines.name", "missing")
	case (certificate.Certificate == "") != (certificate.Key == ""):
		return tlsSection.keyError("engines.certificate", "certificate or key is missing")
	}
	files.EngineCAs, files.EngineName = e.CAs, e.Name
	if certificate.Key != "" {
		files.EnginePair = &certs.PairFiles{Certificate: certificate.Certificate, Key: certificate.Key}
	}
	return nil
}

// addClientFiles adds the files for connections with clients, if TLS with clients is on.
func (t *TLS) addClientFiles(files *certs.Files) error {
	if !t.Enabled {
		return nil
	}
	files.ClientCAs, files.CRLs, files.ALPN = t.ClientCAs, t.CRLs, t.ALPN
	if len(t.Certificates) == 0 {
		return tlsSection.keyError("certificates", "missing")
	}
	for i, pair := range t.Certificates {
		if pair.Certificate == "" || pair.Key == "" {
			return tlsSection.keyError(fmt.Sprintf("certificates[%d]", i), "certificate or key is missing")
		}
		files.Pairs = append(files.Pairs, certs.PairFiles{Certificate: pair.Certificate, Key: pair.Key})
	}
	return nil
}

// setModes sets how clients are authenticated and the minimum version of TLS. It checks both even if TLS with clients
// is off.
func (t *TLS) setModes(files *certs.Files) error {
	var ok bool
	if files.ClientAuth, ok = clientAuthModes[t.ClientAuth]; !ok {
		return tlsSection.keyError("client_auth", "%q is none of none, request and require", t.ClientAuth)
	}
	if files.MinVersion, ok = tlsVersions[t.MinVersion]; !ok {
		return tlsSection.keyError("min_version", "%q is neither 1.3 nor 1.2", t.MinVersion)
	}
	return nil
}

// checkCombination returns an error if keys cannot be combined, or if a value is invalid.
func (t *TLS) checkCombination(clientAuth tls.ClientAuthType) error {
	keyError := tlsSection.keyError
	switch {
	case t.Enabled && clientAuth != tls.NoClientCert && len(t.ClientCAs) == 0:
		return keyError("client_cas", "missing, with client_auth %q", t.ClientAuth)
	case len(t.CRLs) > 0 && len(t.ClientCAs) == 0:
		return keyError("client_cas", "missing, with crls")
	case t.StaleCRL != "" && t.StaleCRL != staleCRLRefuse && t.StaleCRL != staleCRLAccept:
		return keyError("stale_crl", "%q is neither refuse nor accept", t.StaleCRL)
	case t.Handshakes.Pending < 0 || t.Handshakes.Share < 0 || t.Handshakes.Share > 1:
		return keyError("handshakes", "pending is negative or share is not from 0 to 1")
	}
	return nil
}

// HandshakeLimits returns how many handshakes with clients may run at a time, not counting those that wait for the
// client, and the share of one core that handshakes with clients may use.
func (t *TLS) HandshakeLimits() (pending int, share float64) {
	pending = cmp.Or(t.Handshakes.Pending, defaultPendingHandshakes)
	share = cmp.Or(t.Handshakes.Share, defaultHandshakeShare)
	return pending, share
}

// ExpiryWarning returns how long before the expiry of a certificate or a revocation list a warning is logged.
func (t *TLS) ExpiryWarning() time.Duration {
	hours := cmp.Or(t.WarnDays, defaultWarnDays) * 24
	return time.Duration(hours * float64(time.Hour))
}

// resolvePaths resolves the section's relative paths against the installation file's folder.
func (t *TLS) resolvePaths(folder string) {
	for i := range t.Certificates {
		t.Certificates[i].resolvePaths(folder)
	}
	t.Engines.Certificate.resolvePaths(folder)
	for _, list := range [][]string{t.ClientCAs, t.CRLs, t.Engines.CAs} {
		resolvePaths(folder, pointers(list)...)
	}
}

// resolvePaths resolves relative paths against a folder.
func (c *TLSCertificate) resolvePaths(folder string) {
	resolvePaths(folder, &c.Certificate, &c.Key)
}
