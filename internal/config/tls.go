package config

import (
	"crypto/tls"
	"fmt"
	"time"

	"chutechute/internal/certs"
)

// TLS sets TLS with clients. Where it is on, all connections have it.
type TLS struct {
	Enabled      bool             `json:"enabled"`
	Certificates []TLSCertificate `json:"certificates"` // the first is for clients that name no server
	ClientAuth   string           `json:"client_auth"`  // none, request or require
	ClientCAs    []string         `json:"client_cas"`
	CRLs         []string         `json:"crls"`
	StaleCRL     string           `json:"stale_crl"` // refuse or accept, once a list is past its time
	MinVersion   string           `json:"min_version"`
	ALPN         []string         `json:"alpn"`
	Handshakes   TLSHandshakes    `json:"handshakes"`
	WarnDays     float64          `json:"warn_days"` // ahead of an expiry
	Engines      TLSEngines       `json:"engines"`
}

// TLSEngines sets TLS towards engines.
type TLSEngines struct {
	Enabled     bool           `json:"enabled"`
	CAs         []string       `json:"cas"`
	Name        string         `json:"name"`        // that an engine has to show, with {id} for its id
	Certificate TLSCertificate `json:"certificate"` // that the front end shows; none where it is left out
}

// TLSCertificate is the paths of a certificate with its chain and of its key.
type TLSCertificate struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// TLSHandshakes bounds what handshakes may take.
type TLSHandshakes struct {
	Pending int     `json:"pending"` // on their way at once; others wait
	Share   float64 `json:"share"`   // of the core
}

const (
	defaultPending = 32
	defaultShare   = 0.25
	defaultWarn    = 14 // days
)

// Files is the section's word in that of package certs. An error names the faulty key.
func (t *TLS) Files() (*certs.Files, error) {
	fault := func(key, form string, args ...any) (*certs.Files, error) {
		return nil, fmt.Errorf("tls.%s: %s", key, fmt.Sprintf(form, args...))
	}
	f := &certs.Files{}
	if e := t.Engines; e.Enabled {
		switch one := (e.Certificate.Certificate == "") != (e.Certificate.Key == ""); {
		case len(e.CAs) == 0:
			return fault("engines.cas", "missing")
		case e.Name == "":
			return fault("engines.name", "missing")
		case one:
			return fault("engines.certificate", "certificate or key is missing")
		}
		f.EngineCAs, f.EngineName = e.CAs, e.Name
		if e.Certificate.Key != "" {
			f.EnginePair = &certs.PairFiles{Certificate: e.Certificate.Certificate, Key: e.Certificate.Key}
		}
	}
	if t.Enabled {
		f.ClientCAs, f.CRLs, f.ALPN = t.ClientCAs, t.CRLs, t.ALPN
		if len(t.Certificates) == 0 {
			return fault("certificates", "missing")
		}
	}
	for i, c := range t.Certificates {
		if !t.Enabled {
			break
		}
		if c.Certificate == "" || c.Key == "" {
			return fault(fmt.Sprintf("certificates[%d]", i), "certificate or key is missing")
		}
		f.Pairs = append(f.Pairs, certs.PairFiles{Certificate: c.Certificate, Key: c.Key})
	}
	modes := map[string]tls.ClientAuthType{"": tls.NoClientCert, "none": tls.NoClientCert,
		"request": tls.VerifyClientCertIfGiven, "require": tls.RequireAndVerifyClientCert}
	versions := map[string]uint16{"": tls.VersionTLS13, "1.3": tls.VersionTLS13, "1.2": tls.VersionTLS12}
	var ok bool
	if f.ClientAuth, ok = modes[t.ClientAuth]; !ok {
		return fault("client_auth", "%q is none of none, request and require", t.ClientAuth)
	}
	if f.MinVersion, ok = versions[t.MinVersion]; !ok {
		return fault("min_version", "%q is neither 1.3 nor 1.2", t.MinVersion)
	}
	switch {
	case t.Enabled && f.ClientAuth != tls.NoClientCert && len(t.ClientCAs) == 0:
		return fault("client_cas", "missing, with client_auth %q", t.ClientAuth)
	case len(t.CRLs) > 0 && len(t.ClientCAs) == 0:
		return fault("client_cas", "missing, with crls")
	case t.StaleCRL != "" && t.StaleCRL != "refuse" && t.StaleCRL != "accept":
		return fault("stale_crl", "%q is neither refuse nor accept", t.StaleCRL)
	case t.Handshakes.Pending < 0 || t.Handshakes.Share < 0 || t.Handshakes.Share > 1:
		return fault("handshakes", "pending is negative or share is not from 0 to 1")
	}
	f.StaleRefuses = t.StaleCRL != "accept"
	return f, nil
}

// Bounds are how many handshakes may be on their way and what share of the core they take.
func (t *TLS) Bounds() (pending int, share float64) {
	pending, share = t.Handshakes.Pending, t.Handshakes.Share
	if pending == 0 {
		pending = defaultPending
	}
	if share == 0 {
		share = defaultShare
	}
	return pending, share
}

// Warn is how long ahead of an expiry the log warns.
func (t *TLS) Warn() time.Duration {
	days := t.WarnDays
	if days == 0 {
		days = defaultWarn
	}
	return time.Duration(days * 24 * float64(time.Hour))
}

func (t *TLS) rooted(dir string) {
	var paths []*string
	for i := range t.Certificates {
		paths = append(paths, &t.Certificates[i].Certificate, &t.Certificates[i].Key)
	}
	paths = append(paths, &t.Engines.Certificate.Certificate, &t.Engines.Certificate.Key)
	for _, list := range [][]string{t.ClientCAs, t.CRLs, t.Engines.CAs} {
		for i := range list {
			paths = append(paths, &list[i])
		}
	}
	root(dir, paths)
}
