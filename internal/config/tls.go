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
	Certificates []TLSCertificate `json:"certificates"` // the first is for clients that name no server
	ClientAuth   string           `json:"client_auth"`  // "none" (default), "request" or "require"
	ClientCAs    []string         `json:"client_cas"`   // paths of the authorities of clients' certificates
	CRLs         []string         `json:"crls"`         // paths of certificate revocation lists
	StaleCRL     string           `json:"stale_crl"`    // if a list has expired: "refuse" (default) or "accept"
	MinVersion   string           `json:"min_version"`  // "1.2" or "1.3" (default)
	ALPN         []string         `json:"alpn"`         // protocols to agree on
	Handshakes   TLSHandshakes    `json:"handshakes"`
	WarnDays     float64          `json:"warn_days"` // ahead of an expiry; default 14
	Engines      TLSEngines       `json:"engines"`
}

// TLSEngines sets TLS with engines.
type TLSEngines struct {
	Enabled     bool           `json:"enabled"`
	CAs         []string       `json:"cas"`         // paths of the authorities of engines' certificates
	Name        string         `json:"name"`        // in an engine's certificate, with {id} for the engine's id
	Certificate TLSCertificate `json:"certificate"` // that the front end shows; optional
}

// TLSCertificate has the paths of a certificate with its chain and of its key.
type TLSCertificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// TLSHandshakes limits handshakes.
type TLSHandshakes struct {
	Pending int     `json:"pending"` // handshakes that compute at a time, others wait; default 32
	Share   float64 `json:"share"`   // of the core that handshakes may take, from 0 to 1; default 0.25
}

// Defaults of the section.
const (
	defaultPendingHandshakes = 32
	defaultHandshakeShare    = 0.25 // of the core
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

// tlsSection makes the errors of the section. They do not name the file: the caller of Files adds it.
var tlsSection = section{path: "tls"}

// check returns an error if the section is on and cannot be used.
func (t *TLS) check() error {
	if !t.Enabled && !t.Engines.Enabled {
		return nil
	}
	if _, err := t.Files(); err != nil {
		return fmt.Errorf("installation: %w", err)
	}
	return nil
}

// Files checks the section and returns the files that it names, with their use, as package certs takes them. The files
// themselves are not read. An error is a *KeyError without a file.
func (t *TLS) Files() (*certs.Files, error) {
	files := &certs.Files{StaleRefuses: t.StaleCRL != staleCRLAccept}
	if err := t.Engines.addFiles(files); err != nil {
		return nil, err
	}
	if err := t.addClientFiles(files); err != nil {
		return nil, err
	}
	if err := t.addModes(files); err != nil {
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

// addModes sets how clients are authenticated and the lowest version of TLS. Both are checked even if TLS with clients
// is off.
func (t *TLS) addModes(files *certs.Files) error {
	var ok bool
	if files.ClientAuth, ok = clientAuthModes[t.ClientAuth]; !ok {
		return tlsSection.keyError("client_auth", "%q is none of none, request and require", t.ClientAuth)
	}
	if files.MinVersion, ok = tlsVersions[t.MinVersion]; !ok {
		return tlsSection.keyError("min_version", "%q is neither 1.3 nor 1.2", t.MinVersion)
	}
	return nil
}

// checkCombination returns an error if keys do not go together or limits are out of range.
func (t *TLS) checkCombination(clientAuth tls.ClientAuthType) error {
	fault := tlsSection.keyError
	switch {
	case t.Enabled && clientAuth != tls.NoClientCert && len(t.ClientCAs) == 0:
		return fault("client_cas", "missing, with client_auth %q", t.ClientAuth)
	case len(t.CRLs) > 0 && len(t.ClientCAs) == 0:
		return fault("client_cas", "missing, with crls")
	case t.StaleCRL != "" && t.StaleCRL != staleCRLRefuse && t.StaleCRL != staleCRLAccept:
		return fault("stale_crl", "%q is neither refuse nor accept", t.StaleCRL)
	case t.Handshakes.Pending < 0 || t.Handshakes.Share < 0 || t.Handshakes.Share > 1:
		return fault("handshakes", "pending is negative or share is not from 0 to 1")
	}
	return nil
}

// HandshakeLimits returns how many handshakes may be in progress at a time, and the share of the core that they may
// take.
func (t *TLS) HandshakeLimits() (pending int, share float64) {
	pending = cmp.Or(t.Handshakes.Pending, defaultPendingHandshakes)
	share = cmp.Or(t.Handshakes.Share, defaultHandshakeShare)
	return pending, share
}

// ExpiryWarning returns how long before a certificate or a revocation list expires the log warns of it.
func (t *TLS) ExpiryWarning() time.Duration {
	hours := cmp.Or(t.WarnDays, defaultWarnDays) * 24
	return time.Duration(hours * float64(time.Hour))
}

// resolvePaths makes the section's relative paths relative to the installation file's folder.
func (t *TLS) resolvePaths(folder string) {
	for i := range t.Certificates {
		t.Certificates[i].resolvePaths(folder)
	}
	t.Engines.Certificate.resolvePaths(folder)
	for _, list := range [][]string{t.ClientCAs, t.CRLs, t.Engines.CAs} {
		resolvePaths(folder, pointers(list)...)
	}
}

// resolvePaths makes relative paths relative to a folder.
func (c *TLSCertificate) resolvePaths(folder string) {
	resolvePaths(folder, &c.Certificate, &c.Key)
}
