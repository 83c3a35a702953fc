package config

import (
	"testing"

	"chutechute/internal/certs"
	"chutechute/internal/golden"
)

// certificatePair has the key "certificates" with one element.
const certificatePair = `"certificates": [{"certificate": "/c", "key": "/k"}]`

var tlsSections = []string{
	`{}`,
	`{"enabled": true, ` + certificatePair + `}`,
	`{"enabled": true, ` + certificatePair + `, "client_auth": "require", "client_cas": ["/ca"], "crls": ["/crl"],
		"stale_crl": "accept",
		"min_version": "1.2", "alpn": ["h2"], "handshakes": {"pending": 3, "share": 0.5}, "warn_days": 3}`,
	`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x"}}`,
	`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x",
		"certificate": {"certificate": "/c", "key": "/k"}}}`,
	`{"engines": {"enabled": true, "name": "{id}.x"}}`,
	`{"engines": {"enabled": true, "cas": ["/ca"]}}`,
	`{"engines": {"enabled": true, "cas": ["/ca"], "name": "{id}.x", "certificate": {"key": "/k"}}}`,
	`{"enabled": true}`,
	`{"enabled": true, "certificates": [{"certificate": "/c"}]}`,
	`{"enabled": true, "certificates": [{"certificate": "/c", "key": "/k"}, {"key": "/k"}]}`,
	`{"certificates": [{"certificate": "/c"}]}`,
	`{"enabled": true, ` + certificatePair + `, "client_auth": "maybe"}`,
	`{"enabled": true, ` + certificatePair + `, "min_version": "1.1"}`,
	`{"enabled": true, ` + certificatePair + `, "client_auth": "request"}`,
	`{"enabled": true, ` + certificatePair + `, "crls": ["/crl"]}`,
	`{"enabled": true, ` + certificatePair + `, "stale_crl": "ignore"}`,
	`{"enabled": true, ` + certificatePair + `, "handshakes": {"pending": -1}}`,
	`{"enabled": true, ` + certificatePair + `, "handshakes": {"share": -1}}`,
	`{"enabled": true, ` + certificatePair + `, "handshakes": {"share": 1.5}}`,
	`{"more": 1}`,
}

func TestTLSSectionGivesRecordedResults(t *testing.T) {
	recorded := sectionLines("tls", tlsSections, func(section string, file *Installation) []string {
		files, err := file.TLS.Files()
		pending, share := file.TLS.HandshakeLimits()
		value := append(filesWithoutPointers(files), pending, share, file.TLS.ExpiryWarning())
		return []string{resultLine(section, value, err)}
	})
	golden.Lines(t, "testdata/tls.golden", recorded)
}

// filesWithoutPointers returns the certificate for engines, if there is one, and the other files, so that a golden file
// has no addresses of memory.
func filesWithoutPointers(files *certs.Files) (values []any) {
	if files == nil {
		return nil
	}
	others := *files
	if others.EnginePair != nil {
		values = append(values, *others.EnginePair)
	}
	others.EnginePair = nil
	return append(values, others)
}
