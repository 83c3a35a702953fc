package identity_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
)

const (
	second = monotime.Second
	hour   = 3600 * second
	noon   = 1_796_126_400 * second // of a day in December 2026
)

var classes = []string{"lookup", "report", "load"}

func options() identity.Options {
	return identity.Options{
		Issuers: []identity.Issuer{{Name: "legon", Audiences: []string{"chutechute"}}},
		Callers: []identity.CallerRule{
			{Name: "booking", Tenant: "volta", Issuer: "legon", Subject: "booking-office", SANs: []string{"spiffe://legon/booking"}},
			{Name: "desk", Tenant: "coast", Issuer: "legon", Subject: "desk-*", SANs: []string{"*.desks.legon", "spiffe://legon/desk/*"}},
		},
		Rights: []identity.Right{
			{Callers: []string{"*"}, Classes: []string{"lookup", "report"}},
			{Callers: []string{"booking"}, Classes: []string{"load"}},
			{Deny: true, Callers: []string{"desk"}, Groups: []identity.Range{{From: 100, To: 199}}},
		},
	}
}

// signer is an issuer with keys made for a test.
type signer struct {
	t    testing.TB
	keys map[string]*token.Private
}

func (s *signer) key(id, algorithm string) identity.Key {
	k, err := token.Generate(id, algorithm)
	require.NoError(s.t, err)
	s.keys[id] = k
	return identity.Key{ID: id, Algorithm: algorithm, Public: k.Secret.Public()}
}

func (s *signer) sign(key, subject string, change ...func(*identity.Claims)) string {
	c := identity.Claims{Issuer: "legon", Subject: subject, Audiences: []string{"chutechute"}, Expires: noon + hour}
	for _, f := range change {
		f(&c)
	}
	text, err := token.Sign(s.keys[key], c)
	require.NoError(s.t, err)
	return text
}

func guard(t testing.TB, o identity.Options) (*identity.Guard, *signer) {
	g, err := identity.New(o, classes, token.Verifier{})
	require.NoError(t, err)
	s := &signer{t, map[string]*token.Private{}}
	g.SetKeys("legon", []identity.Key{s.key("a", "EdDSA")})
	return g, s
}

func reason(err error) identity.Reason {
	var d *identity.Denied
	if errors.As(err, &d) {
		return d.Reason
	}
	return ""
}

func TestTokens(t *testing.T) {
	g, s := guard(t, options())
	b, c := s.key("b", "ES256"), s.key("c", "RS256")
	other := s.key("x", "EdDSA")
	g.SetKeys("legon", []identity.Key{{ID: "a", Algorithm: "EdDSA", Public: s.keys["a"].Secret.Public()}, b, c})
	good := s.sign("a", "desk-4")
	for name, c := range map[string]struct {
		token string
		want  identity.Reason
	}{
		"EdDSA":            {good, ""},
		"ES256":            {s.sign("b", "desk-4"), ""},
		"RS256":            {s.sign("c", "desk-4"), ""},
		"none at all":      {"", identity.NoProof},
		"no token":         {"x", identity.BadProof},
		"three parts":      {"a.b.c", identity.BadProof},
		"cut short":        {good[:len(good)-4], identity.BadProof},
		"of an unknown":    {s.sign("x", "desk-4"), identity.BadProof},
		"no algorithm":     {"eyJhbGciOiJub25lIiwia2lkIjoiYSJ9.eyJpc3MiOiJsZWdvbiJ9.", identity.BadProof},
		"too long":         {good + string(make([]byte, 5000)), identity.BadProof},
		"expired":          {s.sign("a", "desk-4", func(c *identity.Claims) { c.Expires = noon - 31*second }), identity.Outdated},
		"within leeway":    {s.sign("a", "desk-4", func(c *identity.Claims) { c.Expires = noon - 29*second }), ""},
		"never expires":    {s.sign("a", "desk-4", func(c *identity.Claims) { c.Expires = 0 }), identity.Outdated},
		"not yet":          {s.sign("a", "desk-4", func(c *identity.Claims) { c.NotBefore = noon + 31*second }), identity.Outdated},
		"other audience":   {s.sign("a", "desk-4", func(c *identity.Claims) { c.Audiences = []string{"x"} }), identity.Outdated},
		"other issuer":     {s.sign("a", "desk-4", func(c *identity.Claims) { c.Issuer = "elsewhere" }), identity.BadProof},
		"unknown subject":  {s.sign("a", "kiosk"), identity.Unknown},
		"subject of a dir": {s.sign("a", "desk-4/x"), identity.Unknown},
	} {
		for range 2 { // from the signature, then from what is remembered
			_, err := g.Identify(c.token, nil, 1, 0, noon)
			assert.Equal(t, c.want, reason(err), "%s: %v", name, err)
		}
	}
	// Another key under the same id is another key, whatever the header says.
	other.ID = "a"
	g.SetKeys("legon", []identity.Key{other})
	_, err := g.Identify(good, nil, 1, 0, noon)
	assert.Equal(t, identity.BadProof, reason(err))
}

func TestCertificates(t *testing.T) {
	g, s := guard(t, options())
	for _, c := range []struct {
		cert identity.Certificate
		want string
	}{
		{identity.Certificate{URIs: []string{"spiffe://legon/desk/4"}}, "desk"},
		{identity.Certificate{URIs: []string{"spiffe://legon/desk/4/x"}}, ""},
		{identity.Certificate{URIs: []string{"spiffe://evil/desk/4"}}, ""},
		{identity.Certificate{DNS: []string{"A4.desks.legon"}}, "desk"},
		{identity.Certificate{DNS: []string{"x.a4.desks.legon"}}, ""},
		{identity.Certificate{DNS: []string{"*.desks.legon"}}, ""},
		{identity.Certificate{DNS: []string{"spiffe://legon/booking"}}, ""},
		{identity.Certificate{URIs: []string{"spiffe://legon/booking"}}, "booking"},
		{identity.Certificate{Subject: "CN=booking-office"}, ""},
	} {
		caller, err := g.Identify("", &c.cert, 1, 0, noon)
		assert.Equal(t, c.want, caller.Name, "%v", c.cert)
		assert.Equal(t, c.want == "", reason(err) == identity.Unknown)
	}
	desk := &identity.Certificate{URIs: []string{"spiffe://legon/desk/4"}}
	_, err := g.Identify(s.sign("a", "booking-office"), desk, 1, 0, noon)
	assert.Equal(t, identity.Disagreement, reason(err))
	caller, err := g.Identify(s.sign("a", "desk-9"), desk, 1, 0, noon)
	assert.NoError(t, err)
	assert.Equal(t, identity.Caller{Name: "desk", Tenant: "coast"}, caller)
}

// Allowed exactly when some right allows and none denies: against a model that is nothing else.
func TestRightsAgainstAModel(t *testing.T) {
	names := []string{"booking", "desk", "kiosk"}
	rapid.Check(t, func(t *rapid.T) {
		o := options()
		o.Callers = append(o.Callers, identity.CallerRule{Name: "kiosk", SANs: []string{"k"}})
		o.Rights = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) identity.Right {
			from := rapid.IntRange(0, 5).Draw(t, "from")
			r := identity.Right{Deny: rapid.Bool().Draw(t, "deny"),
				Callers: []string{rapid.SampledFrom([]string{"*", "booking", "d*", "kiosk", "[bk]*"}).Draw(t, "pattern")}}
			if rapid.Bool().Draw(t, "by class") {
				r.Classes = rapid.SliceOfN(rapid.SampledFrom(classes), 1, 2).Draw(t, "classes")
			}
			if rapid.Bool().Draw(t, "by group") {
				r.Groups = []identity.Range{{From: from, To: from + rapid.IntRange(0, 3).Draw(t, "more")}}
			}
			return r
		}), 0, 6).Draw(t, "rights")
		g, err := identity.New(o, classes, token.Verifier{})
		require.NoError(t, err)
		for _, name := range names {
			for _, class := range classes {
				for group := range 9 {
					allowed, denied := false, false
					for _, r := range o.Rights {
						caller, _ := path.Match(r.Callers[0], name)
						in := len(r.Groups) == 0 || group >= r.Groups[0].From && group <= r.Groups[0].To
						if caller && in && (r.Classes == nil || slices.Contains(r.Classes, class)) {
							allowed, denied = allowed || !r.Deny, denied || r.Deny
						}
					}
					_, err := g.Authorize(identity.Caller{Name: name}, "", class, group)
					require.Equal(t, allowed && !denied, err == nil, "%s %s %d", name, class, group)
				}
			}
		}
	})
}

func TestTenantsMustMatch(t *testing.T) {
	g, _ := guard(t, options())
	desk := identity.Caller{Name: "desk", Tenant: "coast"}
	tenant, err := g.Authorize(desk, "", "lookup", 1)
	assert.NoError(t, err)
	assert.Equal(t, "coast", tenant)
	_, err = g.Authorize(desk, "volta", "lookup", 1)
	assert.Equal(t, identity.OtherTenant, reason(err))
	_, err = g.Authorize(desk, "coast", "load", 1)
	assert.Equal(t, identity.NoRight, reason(err))
	_, err = g.Authorize(desk, "coast", "lookup", 150)
	assert.Equal(t, identity.NoRight, reason(err), "a deny stands before what allows")
}

// Keys rotate every few seconds, for an hour, while callers hold old and new keys: an oracle that knows which keys hold
// at each moment is never contradicted, nor does a token that was cached outlive its key.
func TestRotationAgainstAnOracle(t *testing.T) {
	o := options()
	o.Limits.ChecksPerSecond, o.Limits.ChecksPerAddress = 1e6, 1e6
	g, s := guard(t, o)
	rng := rand.New(rand.NewPCG(3, 4))
	type held struct {
		key   identity.Key
		token string
	}
	var all []held
	wall := noon
	add := func() {
		k := s.key(fmt.Sprint("k", len(all)), "EdDSA")
		k.From = wall
		all = append(all, held{k, s.sign(k.ID, "desk-1", func(c *identity.Claims) { c.Expires = noon + 10*hour })})
	}
	set := func() {
		var keys []identity.Key
		for _, h := range all[max(0, len(all)-6):] {
			keys = append(keys, h.key)
		}
		g.SetKeys("legon", keys)
	}
	add()
	set()
	passed, refused := 0, 0
	for step := range 4000 {
		wall += second
		if step%5 == 0 { // the new key holds at once, the one before for 7 s more
			add()
			all[len(all)-2].key.Until = wall + 7*second
			set()
		}
		at := len(all) - 1 - rng.IntN(min(len(all), 9))
		h := all[at]
		want := at >= len(all)-6 && (h.key.Until == 0 || wall < h.key.Until)
		_, err := g.Identify(h.token, nil, uint64(step), wall, wall)
		require.Equal(t, want, err == nil, "step %d, key %d of %d: %v", step, at, len(all), err)
		if want {
			passed++
		} else {
			refused++
		}
	}
	assert.Greater(t, passed, 500)
	assert.Greater(t, refused, 500)
}

// The wall clock steps forth and back by an hour: tokens are judged by it as it is, and nothing is lost for good.
func TestClockSteps(t *testing.T) {
	g, s := guard(t, options())
	short := s.sign("a", "desk-1", func(c *identity.Claims) { c.NotBefore, c.Expires = noon-second, noon+60*second })
	for i, step := range []struct {
		wall monotime.Micros
		want identity.Reason
	}{{noon, ""}, {noon + hour, identity.Outdated}, {noon, ""}, {noon - hour, identity.Outdated}, {noon + second, ""}} {
		_, err := g.Identify(short, nil, 1, monotime.Micros(i)*second, step.wall)
		assert.Equal(t, step.want, reason(err), "step %d", i)
	}
	assert.Equal(t, 1, g.Counts().Checked)
}

// Revocation holds from the next call on, for tokens that are cached too.
func TestRevocation(t *testing.T) {
	g, s := guard(t, options())
	one := s.sign("a", "desk-1", func(c *identity.Claims) { c.ID = "t1" })
	two := s.sign("a", "desk-1", func(c *identity.Claims) { c.ID = "t2" })
	ask := func(token string) identity.Reason {
		_, err := g.Identify(token, nil, 1, 0, noon)
		return reason(err)
	}
	assert.Empty(t, ask(one))
	assert.Empty(t, ask(two))
	g.Revoke(identity.Revoked{IDs: map[string]bool{"legon t1": true}})
	assert.Equal(t, identity.Outdated, ask(one))
	assert.Empty(t, ask(two))
	g.Revoke(identity.Revoked{Subjects: map[string]bool{"legon desk-1": true}})
	assert.Equal(t, identity.Outdated, ask(two))
	g.Revoke(identity.Revoked{})
	assert.Empty(t, ask(one))
}

// 10,000 distinct bad tokens a second from one address, and more from a thousand others, cost no more signatures than the
// budget has, and keep out neither callers that were seen before nor their new tokens.
func TestFloodOfBadTokens(t *testing.T) {
	g, s := guard(t, options())
	stranger := &signer{t, map[string]*token.Private{}}
	stranger.key("a", "EdDSA")
	bad := stranger.sign("a", "desk-1")
	_, err := g.Identify(s.sign("a", "desk-1"), nil, 7, 0, noon)
	require.NoError(t, err)
	now := monotime.Micros(0)
	refused := 0
	for n := range 30_000 { // three seconds
		now += second / 10_000
		address := uint64(1)
		if n%2 == 1 {
			address = uint64(100 + n%1000)
		}
		_, err := g.Identify(fmt.Sprintf("%s%d", bad[:len(bad)-8], 10_000_000+n), nil, address, now, noon)
		require.Error(t, err)
		if n%1000 == 0 { // a good caller with a token that nobody has seen
			token := s.sign("a", "desk-1", func(c *identity.Claims) { c.ID = fmt.Sprint(n) })
			if _, err := g.Identify(token, nil, 7, now, noon); err != nil {
				refused++
			}
		}
	}
	assert.Zero(t, refused)
	assert.Less(t, g.Counts().Checked, 250*5+50)
	assert.Greater(t, g.Counts().Busy, 20_000)
}

// A caller who comes with a token a moment before its key is in force is let in once the key is.
func TestFailuresAreForgottenWithTheKeys(t *testing.T) {
	g, s := guard(t, options())
	b := s.key("b", "EdDSA")
	early := s.sign("b", "desk-1")
	_, err := g.Identify(early, nil, 1, 0, noon)
	assert.Equal(t, identity.BadProof, reason(err))
	g.SetKeys("legon", []identity.Key{b})
	_, err = g.Identify(early, nil, 1, 1, noon)
	assert.NoError(t, err)
}

func TestCeilings(t *testing.T) {
	o := options()
	o.Ceilings = []identity.Ceiling{{Callers: []string{"desk"}, Rate: 10, Burst: 3, Open: 2}}
	g, _ := guard(t, o)
	desk, booking := identity.Caller{Name: "desk"}, identity.Caller{Name: "booking"}
	assert.NoError(t, g.Enter(desk, 0))
	assert.NoError(t, g.Enter(desk, 0))
	assert.Equal(t, identity.TooMany, reason(g.Enter(desk, 0)), "two are open")
	for range 100 {
		assert.NoError(t, g.Enter(booking, 0))
	}
	g.Leave(desk)
	g.Leave(desk)
	assert.NoError(t, g.Enter(desk, 0))
	g.Leave(desk)
	err := g.Enter(desk, 0)
	assert.Equal(t, identity.TooMany, reason(err), "three came at once")
	var d *identity.Denied
	require.ErrorAs(t, err, &d)
	assert.InDelta(t, second/10, d.After, 1)
	assert.NoError(t, g.Enter(desk, d.After+1), "the time to come back is true")
}

func TestOptionsAreChecked(t *testing.T) {
	for key, change := range map[string]func(*identity.Options){
		"issuers[0].audiences":  func(o *identity.Options) { o.Issuers[0].Audiences = nil },
		"issuers[1].name":       func(o *identity.Options) { o.Issuers = append(o.Issuers, o.Issuers[0]) },
		"leeway_s":              func(o *identity.Options) { o.Leeway = 301 * second },
		"callers: missing":      func(o *identity.Options) { o.Callers = nil },
		"callers[0].issuer":     func(o *identity.Options) { o.Callers[0].Issuer = "x" },
		"callers[0].subject":    func(o *identity.Options) { o.Callers[0].Subject = "[" },
		"callers[1].sans[0]":    func(o *identity.Options) { o.Callers[1].SANs[0] = "[" },
		"rights[0].callers[0]":  func(o *identity.Options) { o.Rights[0].Callers = []string{"nobody"} },
		"rights[0].classes[0]":  func(o *identity.Options) { o.Rights[0].Classes = []string{"x"} },
		"rights[2].groups[0]":   func(o *identity.Options) { o.Rights[2].Groups[0].To = 3 },
		"limits.token_bytes":    func(o *identity.Options) { o.Limits.TokenBytes = 1 << 20 },
		"ceilings[0].callers":   func(o *identity.Options) { o.Ceilings = []identity.Ceiling{{Rate: 1}} },
		"ceilings[0].rate, bur": func(o *identity.Options) { o.Ceilings = []identity.Ceiling{{Callers: []string{"desk"}, Rate: -1}} },
	} {
		o := options()
		change(&o)
		_, err := identity.New(o, classes, token.Verifier{})
		assert.ErrorContains(t, err, key)
	}
}

// A reload in a surge does not have all tokens verified anew.
func TestApplyKeepsWhatWasVerified(t *testing.T) {
	g, s := guard(t, options())
	text := s.sign("a", "desk-1")
	_, err := g.Identify(text, nil, 1, 0, noon)
	require.NoError(t, err)
	o := options()
	o.Callers[1].Name, o.Rights = "counter", nil
	require.NoError(t, g.Apply(o, classes))
	caller, err := g.Identify(text, nil, 1, 0, noon)
	require.NoError(t, err)
	assert.Equal(t, "counter", caller.Name)
	assert.Equal(t, 1, g.Counts().Checked)
}

func FuzzCertificate(f *testing.F) {
	f.Add("spiffe://legon/desk/4", "a.desks.legon", "CN=x")
	f.Add("", "*.desks.legon", "")
	f.Add("[", "\x00.desks.legon", "\\")
	g, _ := guard(f, options())
	f.Fuzz(func(t *testing.T, uri, dns, subject string) {
		caller, err := g.Identify("", &identity.Certificate{URIs: []string{uri}, DNS: []string{dns}, Subject: subject}, 1, 0, noon)
		assert.Equal(t, err == nil, caller.Name != "")
	})
}

// BenchmarkCached is what a call of a known token costs.
func BenchmarkCached(b *testing.B) {
	g, s := guard(b, options())
	text := s.sign("a", "desk-1")
	b.ReportAllocs()
	for b.Loop() {
		caller, err := g.Identify(text, nil, 1, 0, noon)
		if err == nil {
			_, err = g.Authorize(caller, "", "lookup", 1)
		}
		if err == nil {
			err = g.Enter(caller, 0)
		}
		if err != nil {
			b.Fatal(err)
		}
		g.Leave(caller)
	}
}
