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

const rightsOfAll = `[{ effect: 'allow', callers: ['*'], classes: ['lookup'] }, { effect: 'allow', callers: ['booking'], classes: ['load'] },
  { effect: 'deny', callers: ['desk'], groups: ['90-99'] }]`

// office is an issuer of tokens and the installation that goes by them.
type office struct {
	t                        *testing.T
	dir, installation        string
	private, public, revoked string
}

func newOffice(t *testing.T) *office {
	dir := t.TempDir()
	o := &office{t, dir, filepath.Join(dir, "i.jsonnet"), filepath.Join(dir, "p.jwks"), filepath.Join(dir, "k.jwks"),
		filepath.Join(dir, "revoked.json")}
	o.rotate("a", 0, 0)
	o.revoke(`{}`)
	o.write(rightsOfAll, "")
	return o
}

// write writes the installation file with these rights and whatever else.
func (o *office) write(rights, more string) {
	text := fmt.Sprintf(`{ identity: { enabled: true, watch_s: 0.02, revoked: 'revoked.json',
		issuers: [{ name: 'legon', audiences: ['front'], keys: 'k.jwks' }],
		callers: [{ name: 'booking', tenant: 't', issuer: 'legon', subject: 'booking' },
			{ name: 'desk', tenant: 't', issuer: 'legon', subject: 'desk-*' }],
		rights: %s, %s } }`, rights, more)
	require.NoError(o.t, os.WriteFile(o.installation, []byte(text), 0o600))
}

func (o *office) revoke(text string) {
	require.NoError(o.t, keyfiles.Write(o.revoked, []byte(text), 0o600))
}

// rotate adds a key that signs from a time on, and lets those before it end at another, both as seconds of Unix time.
func (o *office) rotate(id string, from, end int64) {
	k, err := token.Generate(id, "EdDSA")
	require.NoError(o.t, err)
	require.NoError(o.t, keyfiles.Change(o.private, o.public, func(s *token.KeySet) error {
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

// sign signs a token with one of the keys.
func (o *office) sign(key, subject, id string) string {
	text, err := os.ReadFile(o.private)
	require.NoError(o.t, err)
	keys, err := token.ParsePrivateKeys(text)
	require.NoError(o.t, err)
	for _, k := range keys {
		if k.ID == key {
			signed, err := token.Sign(k, identity.Claims{Issuer: "legon", Subject: subject, ID: id, Audiences: []string{"front"},
				Expires: time.Now().Add(time.Hour).UnixMicro()})
			require.NoError(o.t, err)
			return signed
		}
	}
	o.t.Fatalf("no key %q", key)
	return ""
}

func (o *office) installed(r *testharness.Harness) {
	r.Args = []string{"serve", "--installation", o.installation}
}

// with asks with a token: for a look-up, or for a load of key k.
func with(c *testharness.Client, n int, class, statement, token string, fields ...string) int32 {
	return c.SendRequest(statement, append([]string{"call", testharness.RequestID(n), "op", class, "ttl", "9000", "dedupe", fmt.Sprint(n), "row", "k",
		"work", "10", "token", token}, fields...)...)
}

// Callers do what they have the right to, under their own tenant, and nothing else; what they may not is answered at once
// and says that it never ran.
func TestRightsOfCallers(t *testing.T) {
	o := newOffice(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	c := r.NewClient()
	desk, booking := o.sign("a", "desk-1", ""), o.sign("a", "booking", "")
	posts := 0
	for i, one := range []struct {
		class, statement, token string
		fields                  []string
		what, why               string
	}{
		{"lookup", "SELECT 1 FROM s_1.t", desk, nil, "answer", ""},
		{"lookup", "SELECT 1 FROM s_1.t", desk, []string{"org", "t"}, "answer", ""},
		{"load", "INSERT INTO s_1.t VALUES (1)", booking, nil, "answer", ""},
		{"load", "INSERT INTO s_1.t VALUES (1)", desk, nil, "fault", "no right"},
		{"lookup", "SELECT 1 FROM s_95.t", desk, nil, "fault", "no right"},
		{"lookup", "SELECT 1 FROM s_95.t", booking, nil, "answer", ""},
		{"lookup", "SELECT 1 FROM s_1.t", "", nil, "fault", "no proof"},
		{"lookup", "SELECT 1 FROM s_1.t", desk[:len(desk)-6], nil, "fault", "bad proof"},
		{"lookup", "SELECT 1 FROM s_1.t", o.sign("a", "kiosk", ""), nil, "fault", "unknown"},
		{"lookup", "SELECT 1 FROM s_1.t", desk, []string{"org", "u"}, "exception", "unknown tenant"},
	} {
		with(c, i, one.class, one.statement, one.token, one.fields...)
		p := c.ReadReply()
		assert.Equal(t, one.what, p.Kind, "%d: %s", i, p.Payload)
		assert.Contains(t, p.Payload, one.why, i)
		if one.what == "fault" {
			assert.Contains(t, p.Payload, "never_ran")
		}
		if one.what == "answer" {
			posts++
		}
	}
	got := r.Requests("POST", "/")
	assert.Len(t, got, posts)
	for _, p := range got {
		assert.NotContains(t, fmt.Sprint(p.Header, p.Body), desk, "no engine sees a token")
	}
	r.WaitForLog("no right")
	for _, text := range []string{desk, booking, desk[:40]} {
		assert.NotContains(t, r.Log.String(), text)
	}
}

// A load without the right never enters its key's line. One whose right ends while it waits in line is finished.
func TestRightsAndTheLine(t *testing.T) {
	o := newOffice(t)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), o.installed)
	c := r.NewClient()
	booking, desk := o.sign("a", "booking", ""), o.sign("a", "desk-1", "")
	first := with(c, 1, "load", "INSERT INTO s_1.t VALUES (1)", booking)
	r.WaitForRequests(1, "POST", "/")
	refused := with(c, 2, "load", "INSERT INTO s_1.t VALUES (2)", desk)
	p := c.ReadReply()
	assert.Equal(t, []any{refused, "fault"}, []any{p.Seq, p.Kind}, "at once, while the first still runs")
	waiting := with(c, 3, "load", "INSERT INTO s_1.t VALUES (3)", booking)
	assert.True(t, r.NewClient().Healthy())
	o.write(`[{ effect: 'allow', callers: ['*'], classes: ['lookup'] }]`, "")
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("reloaded")
	late := with(c, 4, "load", "INSERT INTO s_1.t VALUES (4)", booking)
	p = c.ReadReply()
	assert.Equal(t, []any{late, "fault"}, []any{p.Seq, p.Kind})
	close(release)
	for _, seq := range []int32{first, waiting} {
		p = c.ReadReply()
		assert.Equal(t, []any{seq, "answer"}, []any{p.Seq, p.Kind})
	}
	var ids []string
	for _, post := range r.Requests("POST", "/") {
		ids = append(ids, post.Header.Get("Request-Id"))
	}
	assert.Equal(t, []string{testharness.RequestID(1), testharness.RequestID(3)}, ids)
}

// What is revoked is refused on connections that are open, within a second or two of the file's change; what was taken
// before is answered, once.
func TestRevocationInService(t *testing.T) {
	o := newOffice(t)
	release := make(chan bool)
	r := start(t, 1, testharness.DelayedStart(testharness.RequestID(1), release), o.installed)
	busy, idle := r.NewClient(), r.NewClient()
	one, two := o.sign("a", "desk-1", "t1"), o.sign("a", "desk-1", "t2")
	with(busy, 1, "lookup", "SELECT 1 FROM s_1.t", one)
	with(idle, 2, "lookup", "SELECT 1 FROM s_1.t", one)
	assert.Equal(t, "answer", idle.ReadReply().Kind)
	r.WaitForRequests(1, "POST", "/")
	o.revoke(`{"legon": {"jti": ["t1"]}}`)
	n := 10
	require.Eventually(t, func() bool {
		n++
		with(idle, n, "lookup", "SELECT 1 FROM s_1.t", one)
		return idle.ReadReply().Kind == "fault"
	}, testharness.WaitTimeout, 5*time.Millisecond)
	with(idle, 3, "lookup", "SELECT 1 FROM s_1.t", two)
	assert.Equal(t, "answer", idle.ReadReply().Kind)
	close(release)
	assert.Equal(t, "answer", busy.ReadReply().Kind)
	assert.True(t, busy.Healthy(), "answered once")
	// A list that can't be read leaves what was revoked as it is.
	o.revoke(`{"legon": `)
	r.WaitForLog("the last good content stays in force")
	with(idle, 4, "lookup", "SELECT 1 FROM s_1.t", one)
	assert.Equal(t, "fault", idle.ReadReply().Kind)
}

// A reload that fails for want of a key file changes nothing: the files of before are still taken over as they change.
func TestFailedReloadGoesOnWatching(t *testing.T) {
	o := newOffice(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	c := r.NewClient()
	text, err := os.ReadFile(o.installation)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(o.installation, []byte(strings.Replace(string(text), "k.jwks", "nowhere.jwks", 1)), 0o600))
	r.Signal(syscall.SIGHUP)
	r.WaitForLog("the old configuration stays in force")
	o.rotate("b", 0, 0)
	token, n := o.sign("b", "desk-1", ""), 0
	require.Eventually(t, func() bool {
		n++
		with(c, n, "lookup", "SELECT 1 FROM s_1.t", token)
		return c.ReadReply().Kind == "answer"
	}, testharness.WaitTimeout, 50*time.Millisecond)
}

// Keys rotate again and again under load, while clients hold old and new keys: nobody is refused whose key holds, nor let in
// whose key has ended. Who should pass at each moment is known from the times in the key set; within the moments
// round an end either is right. CHUTECHUTE_LONG=1 goes on for a minute.
func TestRotationUnderLoad(t *testing.T) {
	span := 6 * time.Second
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		span = time.Minute
	}
	o := newOffice(t)
	r := start(t, 2, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	type held struct {
		token     string
		from, end time.Time // zero: no end yet
	}
	var mu sync.Mutex
	keys := []*held{{token: o.sign("a", "desk-1", "")}}
	var stop atomic.Bool
	var passed, refused, wrong atomic.Int32
	var workers sync.WaitGroup
	const slack, known = 300 * time.Millisecond, 2 * time.Second // by when the front end has read a key at the latest
	for worker := range 4 {
		c := r.NewClient()
		require.NoError(t, c.Conn.SetDeadline(time.Now().Add(2*time.Minute)))
		workers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				mu.Lock()
				k := *keys[max(0, len(keys)-1-n%4)]
				mu.Unlock()
				before := time.Now()
				with(c, 1_000_000*(worker+1)+n, "lookup", "SELECT 1 FROM s_1.t", k.token)
				p := c.ReadReply()
				after := time.Now()
				mustPass := before.After(k.from.Add(known)) && (k.end.IsZero() || after.Before(k.end.Add(-slack)))
				mustFail := !k.end.IsZero() && before.After(k.end.Add(slack))
				switch {
				case p.Kind == "answer" && mustFail, p.Kind != "answer" && mustPass:
					wrong.Add(1)
					t.Errorf("%s, must pass %v, must fail %v: %s", p.Kind, mustPass, mustFail, p.Payload)
					return
				case p.Kind == "answer":
					passed.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	for n, began := 0, time.Now(); time.Since(began) < span; n++ { // a rotation a second, as JWK times are whole seconds
		now := time.Now()
		end := now.Unix() + 2
		id := fmt.Sprint("k", n)
		o.rotate(id, now.Unix(), end)
		mu.Lock()
		for _, k := range keys {
			if k.end.IsZero() {
				k.end = time.Unix(end, 0)
			}
		}
		keys = append(keys, &held{token: o.sign(id, "desk-1", ""), from: time.Now()})
		mu.Unlock()
		time.Sleep(time.Second)
	}
	stop.Store(true)
	workers.Wait()
	t.Logf("%d let in, %d refused, %d wrongly", passed.Load(), refused.Load(), wrong.Load())
	assert.Positive(t, passed.Load())
	assert.Positive(t, refused.Load())
}

// A flood of bad tokens costs a bounded number of signatures, and good callers are served beside it.
func TestFloodOfBadTokensInService(t *testing.T) {
	o := newOffice(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	good := o.sign("a", "desk-1", "")
	c := r.NewClient()
	with(c, 1, "lookup", "SELECT 1 FROM s_1.t", good)
	require.Equal(t, "answer", c.ReadReply().Kind)
	bad := r.NewClient()
	const floods = 3000
	go func() {
		for n := range floods {
			with(bad, 100+n, "lookup", "SELECT 1 FROM s_1.t", fmt.Sprintf("%s%06d", good[:len(good)-6], n))
		}
	}()
	for n := range 50 {
		with(c, 10_000+n, "lookup", "SELECT 1 FROM s_1.t", good)
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	for range floods {
		assert.Contains(t, []string{"fault", "shed"}, bad.ReadReply().Kind)
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
	assert.Less(t, checked, floods/2)
}

// The commands keep keys, sign, and say who and what.
func TestIdentityCommands(t *testing.T) {
	o := newOffice(t)
	var settings map[string]any
	require.NoError(t, json.Unmarshal([]byte(testharness.Settings), &settings))
	text, err := json.Marshal(map[string]any{"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1", "settings": settings})
	require.NoError(t, err)
	config := filepath.Join(o.dir, "config.json")
	require.NoError(t, os.WriteFile(config, text, 0o600))
	env := []string{"NODE_CONFIG=" + config}
	run := func(input string, args ...string) string {
		out, errs, code := command(t, input, env, args...)
		require.Zero(t, code, "%v: %s", args, errs)
		return out
	}
	files := []string{"--private", o.private, "--public", o.public}
	keys := func(args ...string) string { return run("", append(append([]string{"keys"}, args...), files...)...) }
	assert.Equal(t, "ok\n", run("", "identity", "check", "--installation", o.installation))
	keys("rotate", "--ahead", "0s", "--overlap", "1h", "--alg", "ES256")
	var list []token.KeyInfo
	require.NoError(t, json.Unmarshal([]byte(keys("list", "--json")), &list))
	require.Len(t, list, 2)
	assert.Positive(t, list[0].Until)
	signed := strings.TrimSpace(keys("sign", "--issuer", "legon", "--subject", "desk-7", "--audience", "front"))
	assert.JSONEq(t, `{"caller":"desk","tenant":"t"}`, run(signed, "identity", "whoami", "--json", "--installation", o.installation))
	out := run("", "identity", "rights", "desk", "5", "95", "--installation", o.installation)
	assert.Regexp(t, `lookup +group 5 +allowed`, out)
	assert.Regexp(t, `lookup +group 95 +denied`, out)
	assert.Regexp(t, `load +group 5 +denied`, out)
	keys("retire", list[1].ID)
	_, errs, code := command(t, signed, env, "identity", "whoami", "--installation", o.installation)
	assert.Equal(t, 1, code)
	assert.Contains(t, errs, "bad proof")
	dir := t.TempDir()
	for _, name := range []string{"front", "desk"} { // the authority is made once
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
	secret, err := os.ReadFile(o.private)
	require.NoError(t, err)
	var set struct{ Keys []struct{ D string } }
	require.NoError(t, json.Unmarshal(secret, &set))
	for _, shown := range []string{keys("list"), run("", "config", "show", "--installation", o.installation), out} {
		assert.NotContains(t, shown, set.Keys[0].D)
	}
}
