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

// town is an authority, a front end with TLS that goes by it, and its clients.
type town struct {
	t                           *testing.T
	dir, installation           string
	cert, key, clientCA, revoke string
	ca                          *certs.CA
}

func newTown(t *testing.T, clientAuth, identity string) *town {
	dir := t.TempDir()
	w := &town{t: t, dir: dir, installation: filepath.Join(dir, "i.jsonnet"), cert: filepath.Join(dir, "cert.pem"),
		key: filepath.Join(dir, "key.pem"), clientCA: filepath.Join(dir, "ca.pem"), revoke: filepath.Join(dir, "crl.pem")}
	var err error
	w.ca, err = certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	w.writeCAs(w.ca)
	w.writeLeaf(w.ca)
	w.writeCRL(1, time.Hour)
	text := fmt.Sprintf(`{ tls: { enabled: true, certificates: [{ certificate: 'cert.pem', key: 'key.pem' }], client_auth: '%s',
		client_cas: ['ca.pem'], crls: ['crl.pem'], handshakes: { pending: 8 } },
		identity: { watch_s: 0.02, %s } }`, clientAuth, identity)
	require.NoError(t, os.WriteFile(w.installation, []byte(text), 0o600))
	return w
}

func (w *town) installed(r *testharness.Harness) {
	r.Args = []string{"serve", "--installation", w.installation, "--log-level", "debug"}
}

func (w *town) writeCAs(list ...*certs.CA) {
	var all []byte
	for _, ca := range list {
		text, _, err := ca.PEM()
		require.NoError(w.t, err)
		all = append(all, text...)
	}
	require.NoError(w.t, keyfiles.Write(w.clientCA, all, 0o644))
}

// writeLeaf gives the server a new pair, its two files one after the other.
func (w *town) writeLeaf(ca *certs.CA) {
	leaf, err := ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, For: time.Hour})
	require.NoError(w.t, err)
	cert, key, err := leaf.PEM()
	require.NoError(w.t, err)
	require.NoError(w.t, keyfiles.Write(w.cert, cert, 0o644))
	require.NoError(w.t, keyfiles.Write(w.key, key, 0o600))
}

func (w *town) writeCRL(number int64, within time.Duration, revoked ...*x509.Certificate) {
	text, err := w.ca.Revoke(number, within, revoked...)
	require.NoError(w.t, err)
	require.NoError(w.t, keyfiles.Write(w.revoke, text, 0o644))
}

// client is a configuration for clients who trust these authorities, with a certificate of the first where a URI is given.
func (w *town) client(uri string, trusted ...*certs.CA) (*tls.Config, *certs.Pair) {
	config := &tls.Config{RootCAs: x509.NewCertPool(), ServerName: "front"}
	for _, ca := range trusted {
		config.RootCAs.AddCert(ca.Certificate)
	}
	if uri == "" {
		return config, nil
	}
	leaf, err := trusted[0].Leaf(certs.Request{Name: uri, URIs: []string{uri}, For: time.Hour})
	require.NoError(w.t, err)
	config.Certificates = []tls.Certificate{leaf.TLS()}
	return config, leaf
}

func (w *town) must(r *testharness.Harness, config *tls.Config) *testharness.Client {
	c, err := r.NewTLSClient(config)
	require.NoError(w.t, err)
	return c
}

const townRights = `enabled: true, callers: [{ name: 'booking', tenant: 't', sans: ['spiffe://town/booking'] },
	{ name: 'desk', tenant: 't', sans: ['spiffe://town/desk/*'] }],
	rights: [{ effect: 'allow', callers: ['*'], classes: ['lookup'] }, { effect: 'allow', callers: ['booking'], classes: ['load'] }]`

// Calls are served over TLS as without: results of many pages, many calls at once, messages in pieces of records. What is
// no TLS is closed.
func TestTLS(t *testing.T) {
	w := newTown(t, "none", "")
	page := strings.Repeat("aaaaaaaaaa\tbbbbbbbbbbbb\tcccccccccccc\n", 160)
	r := start(t, 2, testharness.SucceedAfterPolls(0, page, page, page, page, page, page, page), w.installed)
	config, _ := w.client("", w.ca)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	for round := range 2 {
		c := w.must(r, config)
		require.True(t, c.Healthy())
		assert.Equal(t, round == 1, c.Conn.(*tls.Conn).ConnectionState().DidResume)
		for n := range 32 {
			c.SendRequest("SELECT 1 FROM s_1.t -- "+strings.Repeat("x", 20_000), "call", testharness.RequestID(100*round+n), "op", "lookup", "ttl", "9000", "work", "10")
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
	config, _ = w.client("", other)
	_, err = r.NewTLSClient(config)
	assert.Error(t, err, "a client that does not know the authority")
	assert.True(t, w.must(r, func() *tls.Config { c, _ := w.client("", w.ca); return c }()).Healthy())
}

// A client's certificate stands for its caller: it may do what that one may. One of another authority gets no connection.
func TestClientCertificates(t *testing.T) {
	w := newTown(t, "require", townRights)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	for uri, want := range map[string][2]string{"spiffe://town/booking": {"answer", "answer"},
		"spiffe://town/desk/4": {"answer", "fault"}, "spiffe://town/kiosk": {"fault", "fault"}} {
		config, _ := w.client(uri, w.ca)
		c := w.must(r, config)
		with(c, 1, "lookup", "SELECT 1 FROM s_1.t", "")
		assert.Equal(t, want[0], c.ReadReply().Kind, uri)
		with(c, 2, "load", "INSERT INTO s_1.t VALUES (1)", "")
		assert.Equal(t, want[1], c.ReadReply().Kind, uri)
	}
	other, err := certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	for _, uri := range []string{"", "spiffe://town/booking"} {
		config, _ := w.client(uri, other, w.ca)
		c, err := r.NewTLSClient(config)
		if err == nil { // TLS 1.3 clients hear of it with their first read
			_, err = c.Conn.Read(make([]byte, 1))
		}
		assert.Error(t, err, "%q", uri)
	}
}

// A revoked certificate is refused on a connection that is idle, on one with a call open, and where it resumes a session; what
// was taken is answered, once. A list that is badly signed changes nothing, and one past its time refuses all.
func TestRevokedCertificates(t *testing.T) {
	w := newTown(t, "require", townRights)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), w.installed)
	config, leaf := w.client("spiffe://town/desk/4", w.ca)
	config.ClientSessionCache = tls.NewLRUClientSessionCache(4)
	busy, idle := w.must(r, config), w.must(r, config)
	n := 10
	ask := func(c *testharness.Client) string {
		n++
		with(c, n, "lookup", "SELECT 1 FROM s_1.t", "")
		return c.ReadReply().Kind
	}
	with(busy, 1, "lookup", "SELECT 1 FROM s_1.t", "")
	require.Equal(t, "answer", ask(idle))
	r.WaitForRequests(1, "POST", "/")
	w.writeCRL(2, time.Hour, leaf.Certificate)
	began := time.Now()
	require.Eventually(t, func() bool { return ask(idle) == "fault" }, testharness.WaitTimeout, 5*time.Millisecond)
	t.Logf("refused %s after the list was written, with a look each 20 ms", time.Since(began).Round(time.Millisecond))
	again := w.must(r, config)
	assert.Equal(t, "fault", ask(again))
	close(release)
	assert.Equal(t, "answer", busy.ReadReply().Kind)
	assert.Equal(t, "fault", ask(busy))
	fresh, _ := w.client("spiffe://town/desk/5", w.ca)
	other := w.must(r, fresh)
	assert.Equal(t, "answer", ask(other))

	stranger, err := certs.NewCA("town", time.Hour)
	require.NoError(t, err)
	text, err := stranger.Revoke(3, time.Hour)
	require.NoError(t, err)
	require.NoError(t, keyfiles.Write(w.revoke, text, 0o644))
	r.WaitForLog("the last good content stays in force")
	assert.Equal(t, "fault", ask(idle))
	w.writeCRL(4, -time.Second)
	require.Eventually(t, func() bool { return ask(other) == "fault" }, testharness.WaitTimeout, 5*time.Millisecond, "past its time")
	w.writeCRL(5, time.Hour)
	require.Eventually(t, func() bool { return ask(other) == "answer" && ask(idle) == "answer" }, testharness.WaitTimeout, 5*time.Millisecond)
}

// Server certificates, the clients' authority and their certificates change again and again under load: who should be let in
// always is, and nobody else. Pairs are written one file after the other, so each is half new for a moment.
func TestCertificatesRotateUnderLoad(t *testing.T) {
	span := 4 * time.Second
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		span = time.Minute
	}
	w := newTown(t, "require", townRights)
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	type age struct {
		ca     *certs.CA
		config *tls.Config
		from   time.Time
		until  time.Time // zero: no end yet
	}
	var mu sync.Mutex
	first, _ := w.client("spiffe://town/desk/0", w.ca)
	ages := []*age{{ca: w.ca, config: first}}
	var stop atomic.Bool
	var in, out atomic.Int32
	var workers sync.WaitGroup
	const slack = 1200 * time.Millisecond // by when the front end has read the files at the latest
	for worker := range 3 {
		workers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				a := *ages[max(0, len(ages)-1-n%4)]
				roots := x509.NewCertPool()
				for _, one := range ages {
					roots.AddCert(one.ca.Certificate)
				}
				mu.Unlock()
				config := a.config.Clone()
				config.RootCAs = roots
				before := time.Now()
				c, err := r.NewTLSClient(config)
				what := "closed"
				if err == nil {
					with(c, 1_000_000*(worker+1)+n, "lookup", "SELECT 1 FROM s_1.t", "")
					if _, err = c.Conn.Read(nil); err == nil {
						what = answered(c)
					}
					c.Conn.Close()
				}
				after := time.Now()
				mustPass := before.After(a.from.Add(slack)) && (a.until.IsZero() || after.Before(a.until))
				mustFail := !a.until.IsZero() && before.After(a.until.Add(slack))
				if what == "answer" {
					in.Add(1)
				} else {
					out.Add(1)
				}
				if what == "answer" && mustFail || what != "answer" && mustPass {
					t.Errorf("%s (%v), must pass %v, must fail %v", what, err, mustPass, mustFail)
					return
				}
			}
		})
	}
	for n, began := 0, time.Now(); time.Since(began) < span; n++ {
		ca, err := certs.NewCA(fmt.Sprint("town ", n), time.Hour)
		require.NoError(t, err)
		config, _ := w.client("spiffe://town/desk/1", ca)
		mu.Lock()
		last := ages[len(ages)-1]
		ages = append(ages, &age{ca: ca, config: config, from: time.Now()})
		mu.Unlock()
		w.writeCAs(w.ca, last.ca, ca) // w.ca signs the list of what is revoked
		w.writeLeaf(ca)
		time.Sleep(700 * time.Millisecond)
		if last.ca != w.ca {
			mu.Lock()
			last.until = time.Now()
			mu.Unlock()
			w.writeCAs(w.ca, ca)
		}
		time.Sleep(300 * time.Millisecond)
	}
	stop.Store(true)
	workers.Wait()
	t.Logf("%d let in, %d turned away", in.Load(), out.Load())
	assert.Positive(t, in.Load())
	assert.Positive(t, out.Load())
}

// answered reads an answer from a connection that may also be closed.
func answered(c *testharness.Client) string {
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

// Half a pair, a key that others may read, and a folder in the place of a file never come into force.
func TestHalfAPairIsNotInForce(t *testing.T) {
	w := newTown(t, "none", "")
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	config, _ := w.client("", w.ca)
	serial := func() string {
		c := w.must(r, config)
		assert.True(t, c.Healthy())
		return c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
	}
	was := serial()
	leaf, err := w.ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, For: time.Hour})
	require.NoError(t, err)
	cert, key, err := leaf.PEM()
	require.NoError(t, err)
	require.NoError(t, keyfiles.Write(w.cert, cert, 0o644))
	r.WaitForLog("cert.pem")
	assert.Equal(t, was, serial())
	require.NoError(t, keyfiles.Write(w.key, key, 0o644))
	r.WaitForLog("others may read it")
	assert.Equal(t, was, serial())
	require.NoError(t, keyfiles.Write(w.key, key, 0o600))
	require.Eventually(t, func() bool { return serial() == leaf.Certificate.SerialNumber.String() }, testharness.WaitTimeout, 5*time.Millisecond)
	assert.NotContains(t, r.Log.String(), "PRIVATE")
}

// Hundreds of connections that begin a handshake and go no further, or send noise, hold up neither look-ups on connections that
// are there nor, for long, newcomers; the front end holds no more for them than it may.
func TestHandshakeFlood(t *testing.T) {
	w := newTown(t, "none", "")
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	config, _ := w.client("", w.ca)
	c := w.must(r, config)
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
	assert.True(t, w.must(r, config).Healthy(), "a newcomer gets its turn")
	assert.Less(t, r.PeakMemoryMB(), 64)
}

// The name that a client asks for chooses the certificate, and the first is for those who ask for none that is there. What ends
// soon is warned of.
func TestServerNamesAndExpiry(t *testing.T) {
	w := newTown(t, "none", "")
	text, err := os.ReadFile(w.installation)
	require.NoError(t, err)
	leaf, err := w.ca.Leaf(certs.Request{Name: "other", DNS: []string{"other"}, For: time.Hour})
	require.NoError(t, err)
	require.NoError(t, leaf.Write(filepath.Join(w.dir, "other.pem"), filepath.Join(w.dir, "other.key")))
	more := strings.Replace(string(text), "key: 'key.pem' }", "key: 'key.pem' }, { certificate: 'other.pem', key: 'other.key' }", 1)
	require.NoError(t, os.WriteFile(w.installation, []byte(more), 0o600))
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	for asked, shown := range map[string]string{"front": "front", "other": "other", "neither": "front"} {
		config, _ := w.client("", w.ca)
		config.ServerName, config.InsecureSkipVerify = asked, true // what is shown is looked at here
		c := w.must(r, config)
		assert.Equal(t, shown, c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].DNSNames[0])
	}
	r.WaitForLog("expires soon")
	r.WaitForLog("other.pem")
}
