package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/keyfiles"
	"chutechute/internal/monotime"
	"chutechute/internal/testharness"
)

// defaultRights are the rights rules of most tests: all callers may send lookups, booking may also send loads, and
// desk may not use table groups 90 to 99.
const defaultRights = `[{ effect: 'allow', callers: ['*'], classes: ['lookup'] }, ` +
	`{ effect: 'allow', callers: ['booking'], classes: ['load'] },
  { effect: 'deny', callers: ['desk'], groups: ['90-99'] }]`

// tokenFixture has the key sets and the revocation list of a token issuer, and an installation file that names them.
type tokenFixture struct {
	t                     *testing.T
	dir, installationPath string
	// Paths of the private and public key sets and of the revocation list.
	privateKeys, publicKeys, revocations string
}

func newTokenFixture(t *testing.T) *tokenFixture {
	dir := t.TempDir()
	f := &tokenFixture{t, dir, filepath.Join(dir, "i.jsonnet"), filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks"),
		filepath.Join(dir, "revoked.json")}
	f.rotateKeys("a", 0, 0)
	f.writeRevocations(`{}`)
	f.writeInstallation(defaultRights, "")
	return f
}

// writeInstallation writes the installation file with the given rights and further members of its identity section.
func (f *tokenFixture) writeInstallation(rights, more string) {
	text := fmt.Sprintf(`{ identity: { enabled: true, watch_s: 0.02, revoked: 'revoked.json',
		issuers: [{ name: 'legon', audiences: ['front'], keys: 'k.jwks' }],
		callers: [{ name: 'booking', tenant: 't', issuer: 'legon', subject: 'booking' },
			{ name: 'desk', tenant: 't', issuer: 'legon', subject: 'desk-*' }],
		rights: %s, %s } }`, rights, more)
	require.NoError(f.t, os.WriteFile(f.installationPath, []byte(text), 0o600))
}

// writeRevocations writes the revocation list.
func (f *tokenFixture) writeRevocations(text string) {
	require.NoError(f.t, keyfiles.Write(f.revocations, []byte(text), 0o600))
}

// rotateKeys adds a key that signs from a time on, and retires all others at another time. Both are in seconds of Unix
// time; no key is retired where end is zero.
func (f *tokenFixture) rotateKeys(id string, from, end int64) {
	k, err := token.Generate(id, "EdDSA")
	require.NoError(f.t, err)
	require.NoError(f.t, keyfiles.ChangeKeySet(f.privateKeys, f.publicKeys, func(s *token.KeySet) error {
		for _, old := range s.List() {
			if end > 0 {
				if err := s.Retire(old.ID, end*monotime.Second); err != nil {
					return err
				}
			}
		}
		return s.Add(k, from*monotime.Second)
	}))
}

// signToken returns a token for the subject, valid for an hour, signed with the key of the given id.
func (f *tokenFixture) signToken(key, subject, id string) string {
	text, err := os.ReadFile(f.privateKeys)
	require.NoError(f.t, err)
	keys, err := token.ParsePrivateKeys(text)
	require.NoError(f.t, err)
	for _, k := range keys {
		if k.ID == key {
			signed, err := token.Sign(k, identity.Claims{Issuer: "legon", Subject: subject, ID: id, Audiences: []string{"front"},
				Expires: time.Now().Add(time.Hour).UnixMicro()})
			require.NoError(f.t, err)
			return signed
		}
	}
	f.t.Fatalf("no key %q", key)
	return ""
}

// useInstallation has the process use the installation file.
func (f *tokenFixture) useInstallation(r *testharness.Harness) {
	r.Args = []string{"serve", "--installation", f.installationPath}
}

// sendWithToken sends a request with a token, the order key k and the idempotency key n, and returns its sequence
// number.
func sendWithToken(c *testharness.Client, n int, class, statement, token string, fields ...string) int32 {
	return c.SendRequest(statement,
		append([]string{"call", testharness.RequestID(n), "op", class, "ttl", "9000", "dedupe", fmt.Sprint(n), "row", "k",
			"work", "10", "token", token}, fields...)...)
}

// Callers may send what their rights allow, under their own tenant, and nothing else. Other requests are rejected with
// a response that says that they never ran.
func TestRightsOfCallers(t *testing.T) {
	issuer := newTokenFixture(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	c := r.NewClient()
	desk, booking := issuer.signToken("a", "desk-1", ""), issuer.signToken("a", "booking", "")
	posts := 0
	for i, one := range []struct {
		class, statement, token string
		fields                  []string
		kind, message           string
	}{
		{"lookup", "SELECT 1 FROM s_1.t", desk, nil, "answer", ""},
		{"lookup", "SELECT 1 FROM s_1.t", desk, []string{"org", "t"}, "answer", ""},
		{"load", "INSERT INTO s_1.t VALUES (1)", booking, nil, "answer", ""},
		{"load", "INSERT INTO s_1.t VALUES (1)", desk, nil, "fault", "no right"},
		{"lookup", "SELECT 1 FROM s_95.t", desk, nil, "fault", "no right"},
		{"lookup", "SELECT 1 FROM s_95.t", booking, nil, "answer", ""},
		{"lookup", "SELECT 1 FROM s_1.t", "", nil, "fault", "no proof"},
		{"lookup", "SELECT 1 FROM s_1.t", desk[:len(desk)-6], nil, "fault", "bad proof"},
		{"lookup", "SELECT 1 FROM s_1.t", issuer.signToken("a", "kiosk", ""), nil, "fault", "unknown"},
		{"lookup", "SELECT 1 FROM s_1.t", desk, []string{"org", "u"}, "exception", "unknown tenant"},
	} {
		sendWithToken(c, i, one.class, one.statement, one.token, one.fields...)
		p := c.ReadReply()
		assert.Equal(t, one.kind, p.Kind, "%d: %s", i, p.Payload)
		assert.Contains(t, p.Payload, one.message, i)
		if one.kind == "fault" {
			assert.Contains(t, p.Payload, "never_ran")
		}
		if one.kind == "answer" {
			posts++
		}
	}
	got := r.Requests("POST", "/")
	assert.Len(t, got, posts)
	for _, p := range got {
		assert.NotContains(t, fmt.Sprint(p.Header, p.Body), desk, "tokens are not sent to engines")
	}
	r.WaitForLog("no right")
	for _, text := range []string{desk, booking, desk[:40]} {
		assert.NotContains(t, r.Log.String(), text)
	}
}

// A load whose caller lacks the right is rejected before it is queued for its order key. One whose caller loses the
// right while it is queued still runs.
func TestRightsAndTheOrderKeyQueue(t *testing.T) {
	issuer := newTokenFixture(t)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), issuer.useInstallation)
	c := r.NewClient()
	booking, desk := issuer.signToken("a", "booking", ""), issuer.signToken("a", "desk-1", "")
	first := sendWithToken(c, 1, "load", "INSERT INTO s_1.t VALUES (1)", booking)
	r.WaitForRequests(1, "POST", "/")
	rejected := sendWithToken(c, 2, "load", "INSERT INTO s_1.t VALUES (2)", desk)
	p := c.ReadReply()
	assert.Equal(t, []any{rejected, "fault"}, []any{p.Seq, p.Kind}, "rejected at once, while the first still runs")
	queued := sendWithToken(c, 3, "load", "INSERT INTO s_1.t VALUES (3)", booking)
	assert.True(t, r.NewClient().Healthy())
	issuer.writeInstallation(`[{ effect: 'allow', callers: ['*'], classes: ['lookup'] }]`, "")
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("configuration reloaded")
	late := sendWithToken(c, 4, "load", "INSERT INTO s_1.t VALUES (4)", booking)
	p = c.ReadReply()
	assert.Equal(t, []any{late, "fault"}, []any{p.Seq, p.Kind})
	close(release)
	for _, seq := range []int32{first, queued} {
		p = c.ReadReply()
		assert.Equal(t, []any{seq, "answer"}, []any{p.Seq, p.Kind})
	}
	var ids []string
	for _, post := range r.Requests("POST", "/") {
		ids = append(ids, post.Header.Get("Request-Id"))
	}
	assert.Equal(t, []string{testharness.RequestID(1), testharness.RequestID(3)}, ids)
}

// Requests with a revoked token are rejected on open connections soon after the revocation list has changed; requests
// received before are answered, once.
func TestRevocationInService(t *testing.T) {
	issuer := newTokenFixture(t)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), issuer.useInstallation)
	busy, idle := r.NewClient(), r.NewClient()
	revokedToken, validToken := issuer.signToken("a", "desk-1", "t1"), issuer.signToken("a", "desk-1", "t2")
	sendWithToken(busy, 1, "lookup", "SELECT 1 FROM s_1.t", revokedToken)
	sendWithToken(idle, 2, "lookup", "SELECT 1 FROM s_1.t", revokedToken)
	assert.Equal(t, "answer", idle.ReadReply().Kind)
	r.WaitForRequests(1, "POST", "/")
	issuer.writeRevocations(`{"legon": {"jti": ["t1"]}}`)
	n := 10
	require.Eventually(t, func() bool {
		n++
		sendWithToken(idle, n, "lookup", "SELECT 1 FROM s_1.t", revokedToken)
		return idle.ReadReply().Kind == "fault"
	}, testharness.WaitTimeout, 5*time.Millisecond)
	sendWithToken(idle, 3, "lookup", "SELECT 1 FROM s_1.t", validToken)
	assert.Equal(t, "answer", idle.ReadReply().Kind)
	close(release)
	assert.Equal(t, "answer", busy.ReadReply().Kind)
	assert.True(t, busy.Healthy(), "the next message is the response to health")
	// An unreadable list leaves the old one in force.
	issuer.writeRevocations(`{"legon": `)
	r.WaitForLog("the last good content stays in force")
	sendWithToken(idle, 4, "lookup", "SELECT 1 FROM s_1.t", revokedToken)
	assert.Equal(t, "fault", idle.ReadReply().Kind)
}

// A reload that fails because a key file is missing changes nothing: the files of the old configuration are still
// watched and reloaded.
func TestFailedReloadKeepsWatching(t *testing.T) {
	issuer := newTokenFixture(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	c := r.NewClient()
	text, err := os.ReadFile(issuer.installationPath)
	require.NoError(t, err)
	require.NoError(t,
		os.WriteFile(issuer.installationPath, []byte(strings.Replace(string(text), "k.jwks", "nowhere.jwks", 1)), 0o600))
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("the old configuration stays in force")
	issuer.rotateKeys("b", 0, 0)
	token, n := issuer.signToken("b", "desk-1", ""), 0
	require.Eventually(t, func() bool {
		n++
		sendWithToken(c, n, "lookup", "SELECT 1 FROM s_1.t", token)
		return c.ReadReply().Kind == "answer"
	}, testharness.WaitTimeout, 50*time.Millisecond)
}

// Keys are rotated repeatedly under load, while clients use tokens of old and new keys: no token of a valid key is
// rejected and no token of a retired key is accepted. The times in the key set determine which outcome is right;
// while a new key may not be loaded yet, and shortly before and after the end of a key, the test allows both.
// CHUTECHUTE_LONG=1 runs for a minute.
func TestRotationUnderLoad(t *testing.T) {
	duration := 6 * time.Second
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		duration = time.Minute
	}
	issuer := newTokenFixture(t)
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	type signingKey struct {
		token     string
		from, end time.Time // zero: no end yet
	}
	var mu sync.Mutex
	keys := []*signingKey{{token: issuer.signToken("a", "desk-1", "")}}
	var stop atomic.Bool
	var accepted, rejected, wrong atomic.Int32
	var workers sync.WaitGroup
	const slack, loadTime = 300 * time.Millisecond, 2 * time.Second // loadTime: by then the front end has loaded a new key
	for worker := range 4 {
		c := r.NewClient()
		require.NoError(t, c.Conn.SetDeadline(time.Now().Add(2*time.Minute)))
		workers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				k := *keys[max(0, len(keys)-1-n%4)]
				mu.Unlock()
				before := time.Now()
				sendWithToken(c, 1_000_000*(worker+1)+n, "lookup", "SELECT 1 FROM s_1.t", k.token)
				p := c.ReadReply()
				after := time.Now()
				mustPass := before.After(k.from.Add(loadTime)) && (k.end.IsZero() || after.Before(k.end.Add(-slack)))
				mustFail := !k.end.IsZero() && before.After(k.end.Add(slack))
				switch {
				case p.Kind == "answer" && mustFail, p.Kind != "answer" && mustPass:
					wrong.Add(1)
					t.Errorf("%s, must pass %v, must fail %v: %s", p.Kind, mustPass, mustFail, p.Payload)
					return
				case p.Kind == "answer":
					accepted.Add(1)
				default:
					rejected.Add(1)
				}
			}
		})
	}
	// One rotation per second, as JWK times are whole seconds.
	for n, started := 0, time.Now(); time.Since(started) < duration; n++ {
		now := time.Now()
		end := now.Unix() + 2
		id := fmt.Sprint("k", n)
		issuer.rotateKeys(id, now.Unix(), end)
		mu.Lock()
		for _, k := range keys {
			if k.end.IsZero() {
				k.end = time.Unix(end, 0)
			}
		}
		keys = append(keys, &signingKey{token: issuer.signToken(id, "desk-1", ""), from: time.Now()})
		mu.Unlock()
		time.Sleep(time.Second)
	}
	stop.Store(true)
	workers.Wait()
	t.Logf("%d accepted, %d rejected, %d wrong", accepted.Load(), rejected.Load(), wrong.Load())
	assert.Positive(t, accepted.Load())
	assert.Positive(t, rejected.Load())
}

// A flood of invalid tokens leads to a limited number of signature checks, and callers with valid tokens are still
// served.
func TestFloodOfBadTokensInService(t *testing.T) {
	issuer := newTokenFixture(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	validToken := issuer.signToken("a", "desk-1", "")
	c := r.NewClient()
	sendWithToken(c, 1, "lookup", "SELECT 1 FROM s_1.t", validToken)
	require.Equal(t, "answer", c.ReadReply().Kind)
	flooder := r.NewClient()
	const invalidTokens = 3000
	go func() {
		for n := range invalidTokens {
			sendWithToken(flooder, 100+n, "lookup", "SELECT 1 FROM s_1.t",
				fmt.Sprintf("%s%06d", validToken[:len(validToken)-6], n))
		}
	}()
	for n := range 50 {
		sendWithToken(c, 10_000+n, "lookup", "SELECT 1 FROM s_1.t", validToken)
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	for range invalidTokens {
		assert.Contains(t, []string{"fault", "shed"}, flooder.ReadReply().Kind)
	}
	r.Signal(syscall.SIGUSR1)
	r.WaitForLog("signatures checked")
	var checked int
	for line := range strings.SplitSeq(r.Log.String(), "\n") {
		if strings.HasPrefix(line, "signatures checked") {
			_, err := fmt.Sscan(strings.Fields(line)[2], &checked)
			require.NoError(t, err)
		}
	}
	assert.Less(t, checked, invalidTokens/2)
}

// The commands manage keys, sign tokens, and show the caller of a token and its rights.
func TestIdentityCommands(t *testing.T) {
	issuer := newTokenFixture(t)
	var settings map[string]any
	require.NoError(t, json.Unmarshal([]byte(testharness.Settings), &settings))
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
		"settings": settings})
	require.NoError(t, err)
	config := filepath.Join(issuer.dir, "config.json")
	require.NoError(t, os.WriteFile(config, text, 0o600))
	env := []string{"NODE_CONFIG=" + config}
	run := func(input string, args ...string) string {
		out, stderr, code := runCommand(t, input, env, args...)
		require.Zero(t, code, "%v: %s", args, stderr)
		return out
	}
	files := []string{"--private", issuer.privateKeys, "--public", issuer.publicKeys}
	keys := func(args ...string) string { return run("", append(append([]string{"keys"}, args...), files...)...) }
	assert.Equal(t, "ok\n", run("", "identity", "check", "--installation", issuer.installationPath))
	keys("rotate", "--ahead", "0s", "--overlap", "1h", "--alg", "ES256")
	var list []token.KeyInfo
	require.NoError(t, json.Unmarshal([]byte(keys("list", "--json")), &list))
	require.Len(t, list, 2)
	assert.Positive(t, list[0].Until)
	signed := strings.TrimSpace(keys("sign", "--issuer", "legon", "--subject", "desk-7", "--audience", "front"))
	assert.JSONEq(t, `{"caller":"desk","tenant":"t"}`,
		run(signed, "identity", "whoami", "--json", "--installation", issuer.installationPath))
	out := run("", "identity", "rights", "desk", "5", "95", "--installation", issuer.installationPath)
	assert.Regexp(t, `lookup +group 5 +allowed`, out)
	assert.Regexp(t, `lookup +group 95 +denied`, out)
	assert.Regexp(t, `load +group 5 +denied`, out)
	keys("retire", list[1].ID)
	_, stderr, code := runCommand(t, signed, env, "identity", "whoami", "--installation", issuer.installationPath)
	assert.Equal(t, 1, code)
	assert.Contains(t, stderr, "bad proof")
	dir := t.TempDir()
	for _, name := range []string{"front", "desk"} { // the certificate authority is created by the first call only
		run("", "cert", "dev", "--dir", dir, "--name", name, "--dns", name, "--uri", "spiffe://legon/"+name)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, "desk.pem"), filepath.Join(dir, "desk.key"))
	require.NoError(t, err)
	ca, err := os.ReadFile(filepath.Join(dir, "ca.pem"))
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(ca))
	_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: "desk"})
	assert.NoError(t, err)
	secret, err := os.ReadFile(issuer.privateKeys)
	require.NoError(t, err)
	var set struct{ Keys []struct{ D string } }
	require.NoError(t, json.Unmarshal(secret, &set))
	for _, output := range []string{keys("list"),
		run("", "config", "show", "--installation", issuer.installationPath), out} {
		assert.NotContains(t, output, set.Keys[0].D)
	}
}
