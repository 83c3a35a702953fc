package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeInstallation writes an installation file into a temporary folder and returns its path.
func writeInstallation(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "installation.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestPathsAreRelativeToTheInstallationFile(t *testing.T) {
	path := writeInstallation(t, `{"identity": {"revoked": "r", "issuers": [{"keys": "k"}]},
		"tls": {"certificates": [{"certificate": "c", "key": "/k"}], "client_cas": ["ca"], "crls": ["crl"],
			"engines": {"cas": ["eca"], "certificate": {"certificate": "ec", "key": "ek"}}},
		"fleet": {"folder": "f", "admin": "/a", "secret_file": "s"}}`)
	file, err := ReadInstallation(path)
	require.NoError(t, err)
	in := func(name string) string { return filepath.Join(filepath.Dir(path), name) }
	assert.Equal(t, in("r"), file.Identity.Revoked)
	assert.Equal(t, in("k"), file.Identity.Issuers[0].Keys)
	assert.Equal(t, []TLSCertificate{{Certificate: in("c"), Key: "/k"}}, file.TLS.Certificates)
	assert.Equal(t, []string{in("ca")}, file.TLS.ClientCAs)
	assert.Equal(t, []string{in("crl")}, file.TLS.CRLs)
	assert.Equal(t, []string{in("eca")}, file.TLS.Engines.CAs)
	assert.Equal(t, TLSCertificate{Certificate: in("ec"), Key: in("ek")}, file.TLS.Engines.Certificate)
	assert.Equal(t, in("f"), file.Fleet.Folder)
	assert.Equal(t, "/a", file.Fleet.AdminSocket)
	assert.Equal(t, in("s"), file.Fleet.SecretFile)
}
