package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fixture has two certificate authorities, each with a client's certificate, and the certificate of a server.
type fixture struct {
	t       *testing.T
	dir     string
	cas     [2]*CA
	clients [2]*Pair
	server  *Pair
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, dir: t.TempDir()}
	var err error
	for i, name := range []string{"first", "second"} {
		f.cas[i], err = NewCA(name, time.Hour)
		require.NoError(t, err)
		f.clients[i], err = f.cas[i].Leaf(Request{Name: "client", Lifetime: time.Hour})
		require.NoError(t, err)
	}
	f.server, err = f.cas[0].Leaf(Request{Name: "server", Lifetime: time.Hour})
	require.NoError(t, err)
	return f
}

// write writes a file and returns its path.
func (f *fixture) write(name string, parts ...[]byte) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, slices.Concat(parts...), 0o600))
	return path
}

// certificate returns a certificate in PEM.
func (f *fixture) certificate(p *Pair) []byte {
	text, _, err := p.PEM()
	require.NoError(f.t, err)
	return text
}

// privateKey returns a private key in PEM.
func (f *fixture) privateKey(p *Pair) []byte {
	_, text, err := p.PEM()
	require.NoError(f.t, err)
	return text
}

// crl returns a list of an authority in PEM.
func (f *fixture) crl(ca *CA, revoked ...*x509.Certificate) []byte {
	text, err := ca.CreateCRL(1, time.Hour, revoked...)
	require.NoError(f.t, err)
	return text
}

// files returns the files of a valid installation whose lists revoke nothing.
func (f *fixture) files() *Files {
	return &Files{
		Pairs: []PairFiles{{
			Certificate: f.write("server.pem", f.certificate(f.server)),
			Key:         f.write("server.key", f.privateKey(f.server)),
		}},
		ClientCAs:  []string{f.write("cas.pem", f.certificate(&f.cas[0].Pair), f.certificate(&f.cas[1].Pair))},
		ClientAuth: tls.RequireAndVerifyClientCert,
		CRLs:       []string{f.write("crls.pem", f.crl(f.cas[0]), f.crl(f.cas[1]))},
	}
}

// chains returns the verified chains of a client's certificate.
func (f *fixture) chains(
	m *Material, certificate *x509.Certificate, others ...*x509.Certificate,
) [][]*x509.Certificate {
	options := x509.VerifyOptions{Roots: m.Clients.ClientCAs, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	for _, c := range others {
		options.Intermediates.AddCert(c)
	}
	chains, err := certificate.Verify(options)
	require.NoError(f.t, err)
	return chains
}

// toDER returns the content of a PEM block.
func toDER(text []byte) []byte {
	block, _ := pem.Decode(text)
	return block.Bytes
}

// damage returns a PEM block with an invalid character in its content.
func damage(text []byte) []byte { return bytes.Replace(text, []byte("\nMI"), []byte("\nM*"), 1) }

var (
	comment      = []byte("# Issuer: second\nof a town\n\n")
	foreignBlock = []byte("-----BEGIN DH PARAMETERS-----\nMAYCAQUCAQI=\n-----END DH PARAMETERS-----\n")
)

// The failure: of several lists, authorities or certificates in a file, only the first has effect, and what is damaged
// or does not belong there is passed over without a word. All of a file is in force, or it is refused by its name.
func TestAFileIsInForceAsAWholeOrRefused(t *testing.T) {
	f := newFixture(t)
	firstCRL, secondCRL := f.crl(f.cas[0], f.clients[0].Certificate), f.crl(f.cas[1], f.clients[1].Certificate)
	firstCA, secondCA := f.certificate(&f.cas[0].Pair), f.certificate(&f.cas[1].Pair)
	cert, key := f.certificate(f.server), f.privateKey(f.server)
	cut := func(text []byte) []byte { return text[:len(text)/2] }
	for name, test := range map[string]struct {
		file    string
		content [][]byte
		isValid bool
	}{
		"two lists":                      {"crls.pem", [][]byte{firstCRL, secondCRL}, true},
		"two lists in the other order":   {"crls.pem", [][]byte{secondCRL, firstCRL}, true},
		"text around lists":              {"crls.pem", [][]byte{comment, firstCRL, comment, secondCRL, comment}, true},
		"two lists in DER":               {"crls.pem", [][]byte{toDER(firstCRL), toDER(secondCRL)}, true},
		"foreign block between lists":    {"crls.pem", [][]byte{firstCRL, foreignBlock, secondCRL}, false},
		"certificate between lists":      {"crls.pem", [][]byte{firstCRL, secondCA, secondCRL}, false},
		"second list damaged":            {"crls.pem", [][]byte{firstCRL, damage(secondCRL)}, false},
		"first list damaged":             {"crls.pem", [][]byte{damage(firstCRL), secondCRL}, false},
		"second list cut off":            {"crls.pem", [][]byte{firstCRL, cut(secondCRL)}, false},
		"second list without its begin":  {"crls.pem", [][]byte{firstCRL, secondCRL[1:]}, false},
		"second list indented":           {"crls.pem", [][]byte{firstCRL, []byte(" "), secondCRL}, false},
		"text after a list in DER":       {"crls.pem", [][]byte{toDER(firstCRL), comment}, false},
		"second list in DER cut off":     {"crls.pem", [][]byte{toDER(firstCRL), cut(toDER(secondCRL))}, false},
		"empty file of lists":            {"crls.pem", nil, false},
		"text around authorities":        {"cas.pem", [][]byte{comment, firstCA, comment, secondCA}, true},
		"foreign block after authority":  {"cas.pem", [][]byte{firstCA, foreignBlock, secondCA}, false},
		"list between authorities":       {"cas.pem", [][]byte{firstCA, firstCRL, secondCA}, false},
		"second authority damaged":       {"cas.pem", [][]byte{firstCA, damage(secondCA)}, false},
		"second authority cut off":       {"cas.pem", [][]byte{firstCA, cut(secondCA)}, false},
		"third authority damaged":        {"cas.pem", [][]byte{firstCA, secondCA, damage(firstCA)}, false},
		"chain with text":                {"server.pem", [][]byte{cert, comment, firstCA}, true},
		"chain with a damaged authority": {"server.pem", [][]byte{cert, damage(firstCA)}, false},
		"chain with a foreign block":     {"server.pem", [][]byte{cert, foreignBlock, firstCA}, false},
		"key with text":                  {"server.key", [][]byte{comment, key, comment}, true},
		"two keys":                       {"server.key", [][]byte{key, f.privateKey(f.clients[0])}, false},
		"key and a damaged one":          {"server.key", [][]byte{key, damage(key)}, false},
		"key and a foreign block":        {"server.key", [][]byte{key, foreignBlock}, false},
	} {
		t.Run(name, func(t *testing.T) {
			files := f.files()
			if test.file != "crls.pem" {
				f.write("crls.pem", firstCRL, secondCRL)
			}
			path := f.write(test.file, test.content...)
			m, err := Load(files)
			if !test.isValid {
				require.ErrorContains(t, err, path)
				return
			}
			require.NoError(t, err)
			for i, client := range f.clients {
				assert.True(t, m.Revocations.IsRevoked(f.chains(m, client.Certificate), time.Now(), true), "client %d", i)
			}
			wantChain := bytes.Count(slices.Concat(test.content...), []byte("BEGIN CERTIFICATE"))
			if test.file == "server.pem" {
				assert.Len(t, m.Clients.Certificates[0].Certificate, wantChain)
			}
		})
	}
}

// A certificate and its key may stand in one file, in either order, and a key may follow the parameters of its curve.
func TestCertificateAndKeyInOneFile(t *testing.T) {
	f := newFixture(t)
	cert, key := f.certificate(f.server), f.privateKey(f.server)
	parameters := []byte("-----BEGIN EC PARAMETERS-----\nBggqhkjOPQMBBw==\n-----END EC PARAMETERS-----\n")
	for name, content := range map[string][][]byte{
		"key first": {key, cert}, "key last": {cert, key}, "with parameters": {parameters, key, cert},
	} {
		files := f.files()
		path := f.write("both.pem", content...)
		files.Pairs = []PairFiles{{Certificate: path, Key: path}}
		_, err := Load(files)
		assert.NoError(t, err, name)
	}
}

// The failures: a certificate whose authority is revoked by the one above it, or one that has no identifier of its
// authority's key, counts as not revoked.
func TestRevocationFollowsTheVerifiedChain(t *testing.T) {
	f := newFixture(t)
	root := f.cas[0]
	desks, err := sign(&x509.Certificate{Subject: pkix.Name{CommonName: "desks"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign}, &root.Pair, time.Hour)
	require.NoError(t, err)
	desksCA := &CA{*desks}
	desk, err := desksCA.Leaf(Request{Name: "desk", Lifetime: time.Hour})
	require.NoError(t, err)
	withoutKeyID := *root.Certificate
	withoutKeyID.SubjectKeyId = nil
	kiosk, err := (&CA{Pair{&withoutKeyID, root.key}}).Leaf(Request{Name: "kiosk", Lifetime: time.Hour})
	require.NoError(t, err)
	require.Empty(t, kiosk.Certificate.AuthorityKeyId)
	for name, test := range map[string]struct {
		revoked *x509.Certificate // by the root
		trusted []*CA
		want    map[*Pair]bool // which certificates count as revoked
	}{
		"nothing":                   {f.clients[1].Certificate, []*CA{root}, map[*Pair]bool{desk: false, kiosk: false}},
		"authority":                 {desks.Certificate, []*CA{root}, map[*Pair]bool{desk: true, kiosk: false}},
		"without a key identifier":  {kiosk.Certificate, []*CA{root}, map[*Pair]bool{desk: false, kiosk: true}},
		"authority that is trusted": {desks.Certificate, []*CA{root, desksCA}, map[*Pair]bool{desk: true, kiosk: false}},
	} {
		t.Run(name, func(t *testing.T) {
			files := f.files()
			var authorities []byte
			for _, ca := range test.trusted {
				authorities = append(authorities, f.certificate(&ca.Pair)...)
			}
			f.write("cas.pem", authorities)
			f.write("crls.pem", f.crl(root, test.revoked))
			m, err := Load(files)
			require.NoError(t, err)
			for pair, want := range test.want {
				chains := f.chains(m, pair.Certificate, desks.Certificate)
				assert.Equal(t, want, m.Revocations.IsRevoked(chains, time.Now(), true), pair.Certificate.Subject.CommonName)
			}
		})
	}
}

// Of several lists of an issuer all stay in force, and the newest says when the next one is due, in whichever order
// they are named.
func TestNewestListOfAnIssuerSaysWhenTheNextIsDue(t *testing.T) {
	f := newFixture(t)
	old, err := f.cas[0].CreateCRL(1, -time.Second, f.clients[0].Certificate)
	require.NoError(t, err)
	other, err := f.cas[0].Leaf(Request{Name: "other", Lifetime: time.Hour})
	require.NoError(t, err)
	for _, content := range [][][]byte{{old, f.crl(f.cas[0])}, {f.crl(f.cas[0]), old}} {
		files := f.files()
		f.write("crls.pem", content...)
		m, err := Load(files)
		require.NoError(t, err)
		assert.True(t, m.Revocations.IsRevoked(f.chains(m, f.clients[0].Certificate), time.Now(), true))
		assert.False(t, m.Revocations.IsRevoked(f.chains(m, other.Certificate), time.Now(), true))
	}
}
