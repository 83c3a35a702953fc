package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/certs"
	"chutechute/internal/keyfiles"
	"chutechute/internal/testharness"
)

// tlsFixture has a certificate authority, the certificate files and installation of a front end that trusts it, and its
// clients' TLS configurations.
type tlsFixture struct {
	t                        *testing.T
	dir, installationPath    string
	cert, key, clientCA, crl string // paths
	ca                       *certs.CA
}

// newTLSFixture creates the files; clientAuth is the setting client_auth, and identity has members of the identity
// section.
func newTLSFixture(t *testing.T, clientAuth, identity string) *tlsFixture {
	dir := t.TempDir()
	f := &tlsFixture{t: t, dir: dir, installationPath: filepath.Join(dir, "i.jsonnet"),
		cert: filepath.Join(dir, "cert.pem"), key: filepath.Join(dir, "key.pem"),
		clientCA: filepath.Join(dir, "ca.pem"), crl: filepath.Join(dir, "crl.pem")}
	var err error
	f.ca, err = certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	f.writeClientCAs(f.ca)
	f.writeServerCertificate(f.ca)
	f.writeCRL(1, time.Hour)
	text := fmt.Sprintf(
		`{ tls: { enabled: true, certificates: [{ certificate: 'cert.pem', key: 'key.pem' }], client_auth: '%s',
		client_cas: ['ca.pem'], crls: ['crl.pem'], handshakes: { pending: 8 } },
		identity: { watch_s: 0.02, %s } }`, clientAuth, identity)
	require.NoError(t, os.WriteFile(f.installationPath, []byte(text), 0o600))
	return f
}

// useInstallation has the process use the installation file.
func (f *tlsFixture) useInstallation(r *testharness.Harness) {
	r.Args = []string{"serve", "--installation", f.installationPath, "--log-level", "debug"}
}

func (f *tlsFixture) writeClientCAs(list ...*certs.CA) {
	var all []byte
	for _, ca := range list {
		text, _, err := ca.PEM()
		require.NoError(f.t, err)
		all = append(all, text...)
	}
	require.NoError(f.t, keyfiles.Write(f.clientCA, all, 0o644))
}

// writeServerCertificate gives the front end a new certificate, then its key.
func (f *tlsFixture) writeServerCertificate(ca *certs.CA) {
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: time.Hour})
	require.NoError(f.t, err)
	cert, key, err := leaf.PEM()
	require.NoError(f.t, err)
	require.NoError(f.t, keyfiles.Write(f.cert, cert, 0o644))
	require.NoError(f.t, keyfiles.Write(f.key, key, 0o600))
}

func (f *tlsFixture) writeCRL(number int64, within time.Duration, revoked ...*x509.Certificate) {
	text, err := f.ca.CreateCRL(number, within, revoked...)
	require.NoError(f.t, err)
	require.NoError(f.t, keyfiles.Write(f.crl, text, 0o644))
}

// clientConfig returns the TLS configuration of a client that trusts the given authorities. Where a URI is given, it
// has a certificate for that URI by the first of them, which is returned too.
func (f *tlsFixture) clientConfig(uri string, trusted ...*certs.CA) (*tls.Config, *certs.Pair) {
	config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "front"}
	for _, ca := range trusted {
		config.RootCAs.AddCert(ca.Certificate)
	}
	if uri == "" {
		return config, nil
	}
	leaf, err := trusted[0].Leaf(certs.Request{Name: uri, URIs: []string{uri}, Lifetime: time.Hour})
	require.NoError(f.t, err)
	config.Certificates = []tls.Certificate{leaf.TLS()}
	return config, leaf
}

// connect connects a client. The test fails if the handshake fails.
func (f *tlsFixture) connect(r *testharness.Harness, config *tls.Config) *testharness.Client {
	c, err := r.NewTLSClient(config)
	require.NoError(f.t, err)
	return c
}

// certificateRights is an identity section with callers that are identified by the URIs of their certificates.
const certificateRights = `enabled: true, callers: [{ name: 'booking', tenant: 't', sans: ['spiffe://town/booking'] },
	{ name: 'desk', tenant: 't', sans: ['spiffe://town/desk/*'] }],
	rights: [{ effect: 'allow', callers: ['*'], classes: ['lookup'] }, ` +
	`{ effect: 'allow', callers: ['booking'], classes: ['load'] }]`

// Requests are served over TLS as they are without: results of several pages, many requests at once, and messages
// larger than a TLS record. Connections without TLS are closed.
func TestTLS(t *testing.T) {
	fixture := newTLSFixture(t, "none", "")
	page := strings.Repeat("aaaaaaaaaa\tbbbbbbbbbbbb\tcccccccccccc\n", 160)
	r := start(t, 2, testharness.SucceedAfterPolls(0, page, page, page, page, page, page, page), fixture.useInstallation)
	config, _ := fixture.clientConfig("", fixture.ca)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	for round := range 2 {
		c := fixture.connect(r, config)
		require.True(t, c.Healthy())
		assert.Equal(t, round == 1, c.Conn.(*tls.Conn).ConnectionState().DidResume)
		for n := range 32 {
			c.SendRequest("SELECT 1 FROM s_1.t -- "+strings.Repeat("x", 20_000), "call", testharness.RequestID(100*round+n),
				"op", "lookup", "ttl", "9000", "work", "10")
		}
		for range 32 {
			p := c.ReadReply()
			require.Equal(t, "answer", p.Kind)
			assert.Equal(t, strings.Repeat(page, 7), p.Rows())
		}
	}
	plain := r.NewClient()
	plain.SendMessage(1, "health")
	_, err := plain.Conn.Read(make([]byte, 1))
	assert.Error(t, err)
	other, err := certs.NewCA("elsewhere", time.Hour)
	require.NoError(t, err)
	config, _ = fixture.clientConfig("", other)
	_, err = r.NewTLSClient(config)
	assert.Error(t, err, "the client does not trust the authority")
	assert.True(t,
		fixture.connect(r, func() *tls.Config { c, _ := fixture.clientConfig("", fixture.ca); return c }()).Healthy())
}

// A client's certificate identifies its caller, whose rights apply. A certificate of another authority, or none, gets
// no connection.
func TestClientCertificates(t *testing.T) {
	fixture := newTLSFixture(t, "require", certificateRights)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	for uri, want := range map[string][2]string{"spiffe://town/booking": {"answer", "answer"},
		"spiffe://town/desk/4": {"answer", "fault"}, "spiffe://town/kiosk": {"fault", "fault"}} {
		config, _ := fixture.clientConfig(uri, fixture.ca)
		c := fixture.connect(r, config)
		sendWithToken(c, 1, "lookup", "SELECT 1 FROM s_1.t", "")
		assert.Equal(t, want[0], c.ReadReply().Kind, uri)
		sendWithToken(c, 2, "load", "INSERT INTO s_1.t VALUES (1)", "")
		assert.Equal(t, want[1], c.ReadReply().Kind, uri)
	}
	other, err := certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	for _, uri := range []string{"", "spiffe://town/booking"} {
		config, _ := fixture.clientConfig(uri, other, fixture.ca)
		c, err := r.NewTLSClient(config)
		if err == nil { // TLS 1.3 clients get the error with their first read
			_, err = c.Conn.Read(make([]byte, 1))
		}
		assert.Error(t, err, "%q", uri)
	}
}

// Requests with a revoked certificate are rejected on an idle connection, on one with an open request, which is still
// answered, and on one that resumes a session. A list with an invalid signature changes nothing, and while the list is
// expired all certificates are rejected.
func TestRevokedCertificates(t *testing.T) {
	fixture := newTLSFixture(t, "require", certificateRights)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), fixture.useInstallation)
	config, leaf := fixture.clientConfig("spiffe://town/desk/4", fixture.ca)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	busy, idle := fixture.connect(r, config), fixture.connect(r, config)
	n := 10
	lookup := func(c *testharness.Client) string {
		n++
		sendWithToken(c, n, "lookup", "SELECT 1 FROM s_1.t", "")
		return c.ReadReply().Kind
	}
	sendWithToken(busy, 1, "lookup", "SELECT 1 FROM s_1.t", "")
	require.Equal(t, "answer", lookup(idle))
	r.WaitForRequests(1, "POST", "/")
	fixture.writeCRL(2, time.Hour, leaf.Certificate)
	started := time.Now()
	require.Eventually(t, func() bool { return lookup(idle) == "fault" }, testharness.WaitTimeout, 5*time.Millisecond)
	t.Logf("rejected %s after the list was written, with files checked every 20 ms",
		time.Since(started).Round(time.Millisecond))
	resumed := fixture.connect(r, config)
	assert.Equal(t, "fault", lookup(resumed))
	close(release)
	assert.Equal(t, "answer", busy.ReadReply().Kind)
	assert.Equal(t, "fault", lookup(busy))
	otherConfig, _ := fixture.clientConfig("spiffe://town/desk/5", fixture.ca)
	other := fixture.connect(r, otherConfig)
	assert.Equal(t, "answer", lookup(other))

	stranger, err := certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	text, err := stranger.CreateCRL(3, time.Hour)
	require.NoError(t, err)
	require.NoError(t, keyfiles.Write(fixture.crl, text, 0o644))
	r.WaitForLog("the last good content stays in force")
	assert.Equal(t, "fault", lookup(idle))
	fixture.writeCRL(4, -time.Second)
	require.Eventually(t, func() bool { return lookup(other) == "fault" },
		testharness.WaitTimeout, 5*time.Millisecond, "the list has expired")
	fixture.writeCRL(5, time.Hour)
	require.Eventually(t, func() bool { return lookup(other) == "answer" && lookup(idle) == "answer" },
		testharness.WaitTimeout, 5*time.Millisecond)
}

// The failures: of two revocation lists in one file only the first has effect, and revoked certificates are served
// where callers are not identified. A file with a damaged list changes nothing, and the log names it.
func TestEveryRevocationListOfAFileHasEffect(t *testing.T) {
	for name, identity := range map[string]string{"with identity": certificateRights, "without identity": ""} {
		t.Run(name, func(t *testing.T) {
			fixture := newTLSFixture(t, "require", identity)
			second, err := certs.NewCA("second", time.Hour)
			require.NoError(t, err)
			fixture.writeClientCAs(fixture.ca, second)
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
			clients := map[*certs.CA]*testharness.Client{}
			leaves := map[*certs.CA]*x509.Certificate{}
			for _, ca := range []*certs.CA{fixture.ca, second} {
				config, leaf := fixture.clientConfig("spiffe://town/desk/4", ca, fixture.ca)
				clients[ca], leaves[ca] = fixture.connect(r, config), leaf.Certificate
			}
			n := 0
			lookup := func(ca *certs.CA) string {
				n++
				sendWithToken(clients[ca], n, "lookup", "SELECT 1 FROM s_1.t", "")
				return clients[ca].ReadReply().Kind
			}
			for ca := range clients {
				assert.Equal(t, "answer", lookup(ca))
			}
			var lists []byte
			for _, ca := range []*certs.CA{fixture.ca, second} {
				text, err := ca.CreateCRL(2, time.Hour, leaves[ca])
				require.NoError(t, err)
				lists = append(lists, text...)
			}
			damaged := []byte(strings.Replace(string(lists), "\n-----END", "\n*-----END", 1))
			require.NoError(t, keyfiles.Write(fixture.crl, damaged, 0o644))
			r.WaitForLog("the last good content stays in force")
			r.WaitForLog(fixture.crl)
			for ca := range clients {
				assert.Equal(t, "answer", lookup(ca))
			}
			require.NoError(t, keyfiles.Write(fixture.crl, lists, 0o644))
			for ca := range clients {
				require.Eventually(t, func() bool { return lookup(ca) == "fault" },
					testharness.WaitTimeout, 5*time.Millisecond)
			}
		})
	}
}

// Server certificates, the clients' authority and their certificates are changed repeatedly under load: clients with a
// valid certificate are always served, and no others. A certificate is written before its key, so they don't match for
// a moment.
func TestCertificatesRotateUnderLoad(t *testing.T) {
	duration := 4 * time.Second
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		duration = time.Minute
	}
	fixture := newTLSFixture(t, "require", certificateRights)
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	type generation struct {
		ca     *certs.CA
		config *tls.Config
		from   time.Time
		until  time.Time // zero: no end yet
	}
	var mu sync.Mutex
	first, _ := fixture.clientConfig("spiffe://town/desk/0", fixture.ca)
	generations := []*generation{{ca: fixture.ca, config: first}}
	var stop atomic.Bool
	var accepted, rejected atomic.Int32
	var workers sync.WaitGroup
	const slack = 1200 * time.Millisecond // by then the front end has loaded changed files
	for worker := range 3 {
		workers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				a := *generations[max(0, len(generations)-1-n%4)]
				roots := x509.NewCertPool()
				for _, one := range generations {
					roots.AddCert(one.ca.Certificate)
				}
				mu.Unlock()
				config := a.config.Clone()
				config.RootCAs = roots
				before := time.Now()
				c, err := r.NewTLSClient(config)
				outcome := "closed"
				if err == nil {
					sendWithToken(c, 1_000_000*(worker+1)+n, "lookup", "SELECT 1 FROM s_1.t", "")
					if _, err = c.Conn.Read(nil); err == nil {
						outcome = readOutcome(c)
					}
					c.Conn.Close()
				}
				after := time.Now()
				mustPass := before.After(a.from.Add(slack)) && (a.until.IsZero() || after.Before(a.until))
				mustFail := !a.until.IsZero() && before.After(a.until.Add(slack))
				if outcome == "answer" {
					accepted.Add(1)
				} else {
					rejected.Add(1)
				}
				if outcome == "answer" && mustFail || outcome != "answer" && mustPass {
					t.Errorf("%s (%v), must pass %v, must fail %v", outcome, err, mustPass, mustFail)
					return
				}
			}
		})
	}
	for n, started := 0, time.Now(); time.Since(started) < duration; n++ {
		ca, err := certs.NewCA(fmt.Sprint("town ", n), time.Hour)
		require.NoError(t, err)
		config, _ := fixture.clientConfig("spiffe://town/desk/1", ca)
		mu.Lock()
		last := generations[len(generations)-1]
		generations = append(generations, &generation{ca: ca, config: config, from: time.Now()})
		mu.Unlock()
		fixture.writeClientCAs(fixture.ca, last.ca, ca) // fixture.ca signs the revocation list
		fixture.writeServerCertificate(ca)
		time.Sleep(700 * time.Millisecond)
		if last.ca != fixture.ca {
			mu.Lock()
			last.until = time.Now()
			mu.Unlock()
			fixture.writeClientCAs(fixture.ca, ca)
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop.Store(true)
	workers.Wait()
	t.Logf("%d accepted, %d rejected", accepted.Load(), rejected.Load())
	assert.Positive(t, accepted.Load())
	assert.Positive(t, rejected.Load())
}

// readOutcome reads a response from a connection that may be closed instead, and returns answer, refused or closed.
func readOutcome(c *testharness.Client) string {
	var b [4]byte
	if _, err := c.Conn.Read(b[:1]); err != nil {
		return "closed"
	}
	rest := make([]byte, 60<<10)
	n, err := c.Conn.Read(rest)
	if err != nil || n < 20 {
		return "closed"
	}
	if strings.Contains(string(rest[:n]), testharness.ResultRow) {
		return "answer"
	}
	return "refused"
}

// A certificate without its new key, and a key file that others may read, are not loaded.
func TestPartialCertificatePairIsNotLoaded(t *testing.T) {
	fixture := newTLSFixture(t, "none", "")
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	config, _ := fixture.clientConfig("", fixture.ca)
	serial := func() string {
		c := fixture.connect(r, config)
		assert.True(t, c.Healthy())
		return c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	previous := serial()
	leaf, err := fixture.ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: time.Hour})
	require.NoError(t, err)
	cert, key, err := leaf.PEM()
	require.NoError(t, err)
	require.NoError(t, keyfiles.Write(fixture.cert, cert, 0o644))
	r.WaitForLog("cert.pem")
	assert.Equal(t, previous, serial())
	require.NoError(t, keyfiles.Write(fixture.key, key, 0o644))
	r.WaitForLog("others may read it")
	assert.Equal(t, previous, serial())
	require.NoError(t, keyfiles.Write(fixture.key, key, 0o600))
	require.Eventually(t, func() bool { return serial() == leaf.Certificate.SerialNumber.String() },
		testharness.WaitTimeout, 5*time.Millisecond)
	assert.NotContains(t, r.Log.String(), "PRIVATE")
}

// Hundreds of connections that start a handshake and don't complete it, or send noise, delay neither lookups on
// established connections nor, for long, new clients, and their memory is limited.
func TestHandshakeFlood(t *testing.T) {
	fixture := newTLSFixture(t, "none", "")
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	config, _ := fixture.clientConfig("", fixture.ca)
	c := fixture.connect(r, config)
	require.True(t, c.Healthy())
	for n := range 250 {
		conn, err := net.Dial("tcp4", r.Addr)
		require.NoError(t, err)
		defer conn.Close()
		hello := []byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3}
		if n%2 == 0 {
			hello = []byte("noise that is no handshake at all")
		}
		_, err = conn.Write(hello)
		require.NoError(t, err)
	}
	for n := range 50 {
		c.SendLookup(n, "5000")
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	assert.True(t, fixture.connect(r, config).Healthy(), "a new client is served")
	assert.Less(t, r.PeakMemoryMB(), 64)
}

// The server name that a client sends selects the certificate; the first one is used for unknown names. A warning is
// logged for certificates that expire soon.
func TestServerNamesAndExpiry(t *testing.T) {
	fixture := newTLSFixture(t, "none", "")
	text, err := os.ReadFile(fixture.installationPath)
	require.NoError(t, err)
	leaf, err := fixture.ca.Leaf(certs.Request{Name: "other", DNS: []string{"other"}, Lifetime: time.Hour})
	require.NoError(t, err)
	require.NoError(t, leaf.Write(filepath.Join(fixture.dir, "other.pem"), filepath.Join(fixture.dir, "other.key")))
	more := strings.Replace(string(text), "key: 'key.pem' }",
		"key: 'key.pem' }, { certificate: 'other.pem', key: 'other.key' }", 1)
	require.NoError(t, os.WriteFile(fixture.installationPath, []byte(more), 0o600))
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	for serverName, certificateName := range map[string]string{"front": "front", "other": "other", "neither": "front"} {
		config, _ := fixture.clientConfig("", fixture.ca)
		config.ServerName, config.InsecureSkipVerify = serverName, true // the test itself checks the certificate
		c := fixture.connect(r, config)
		assert.Equal(t, certificateName, c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].DNSNames[0])
	}
	r.WaitForLog("certificate or revocation list expires soon")
	r.WaitForLog("other.pem")
}
