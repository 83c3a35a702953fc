package identity

import (
	"crypto"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"chutechute/internal/monotime"
)

// Key is a key that tokens are signed with. Its times are of the wall clock.
type Key struct {
	ID        string
	Algorithm string
	From      monotime.Micros // it holds from then; 0: always
	Until     monotime.Micros // and no longer then; 0: for good
	Public    any             // as the Verifier takes it
}

func (k *Key) holds(wall, leeway monotime.Micros) bool {
	return (k.From == 0 || wall >= k.From-leeway) && (k.Until == 0 || wall < k.Until)
}

// Claims is what a token says, once its signature was checked. Times are 0 where they are left out.
type Claims struct {
	Issuer, Subject, ID string
	Audiences           []string
	NotBefore, Expires  monotime.Micros
}

// Verifier reads tokens and checks their signatures. It holds no keys and no state.
type Verifier interface {
	// Peek reads who is said to have signed, and with which key, of a token that nobody has checked yet.
	Peek(token string) (issuer, keyID string, err error)
	// Verify checks the signature with one key, by that key's own algorithm, and reads the claims.
	Verify(token string, key *Key) (Claims, error)
}

// ErrSignature says that a signature is not of the key, or that a token can't be read.
var ErrSignature = errors.New("not signed by the key")

// Caller is who a call comes from.
type Caller struct {
	Name   string
	Tenant string
}

// Revoked is what no longer holds, whatever its signature says: tokens by their id, all of a subject.
type Revoked struct {
	IDs      map[string]bool
	Subjects map[string]bool // as issuer, a space and the subject
}

func (r *Revoked) has(c *Claims) bool {
	return c.ID != "" && r.IDs[c.Issuer+" "+c.ID] || r.Subjects[c.Issuer+" "+c.Subject]
}

// hash is the SHA-256 of a whole token: what is cached under it can't be another's.
type hash = [sha256.Size]byte

// tokens are those that were verified and, apart from them, those that failed. A failure is kept by the whole token,
// so it can't be used against another's, and for a short time, so that it holds nobody up whose key comes a little late.
type tokens struct {
	good    *simplelru.LRU[hash, *verified]
	bad     *simplelru.LRU[hash, monotime.Micros] // when it was found
	revoked Revoked
}

type verified struct {
	claims Claims
	key    Key
	caller Caller
	mapped bool
}

// badFor is how long a failure is remembered.
const badFor = 10 * monotime.Second

func newTokens(size int, revoked Revoked) tokens {
	good, err := simplelru.NewLRU[hash, *verified](size, nil)
	if err != nil {
		panic(err) // the size was checked
	}
	bad, err := simplelru.NewLRU[hash, monotime.Micros](size, nil)
	if err != nil {
		panic(err)
	}
	return tokens{good, bad, revoked}
}

// SetKeys puts an issuer's keys into force, in place of those before. Tokens of keys that are gone or changed are
// forgotten, and so are all failures.
func (g *Guard) SetKeys(issuer string, keys []Key) {
	g.keys[issuer] = keys
	g.tokens.bad.Purge()
	for _, h := range g.tokens.good.Keys() {
		if v, _ := g.tokens.good.Peek(h); v.claims.Issuer == issuer && !slices.ContainsFunc(keys, v.key.same) {
			g.tokens.good.Remove(h)
		}
	}
}

// same says whether another key is this one, but for the time until which it holds.
func (k *Key) same(o Key) bool {
	type equaler interface{ Equal(x crypto.PublicKey) bool }
	if k.ID != o.ID || k.Algorithm != o.Algorithm {
		return false
	}
	if e, ok := k.Public.(equaler); ok {
		return e.Equal(o.Public)
	}
	return false
}

// Revoke puts revocations into force, in place of those before, from the next call on.
func (g *Guard) Revoke(r Revoked) { g.tokens.revoked = r }

// Identify says who a call comes from: by a token, by a certificate that the connection was made with, or by both, which
// then have to agree. The address is the client's, as a number. An error is a *Denied.
func (g *Guard) Identify(token string, certificate *Certificate, addr uint64, now, wall monotime.Micros) (Caller, error) {
	if token == "" && certificate == nil {
		g.count.Missing++
		return Caller{}, &Denied{Reason: NoProof}
	}
	var caller Caller
	if certificate != nil {
		if certificate.Revoked || certificate.Expires > 0 && wall >= certificate.Expires {
			g.count.Expired++
			return Caller{}, &Denied{Reason: Outdated, Detail: "certificate"}
		}
		rule := g.options.ofCertificate(certificate)
		if rule == nil {
			g.count.Unmapped++
			return Caller{}, &Denied{Reason: Unknown, Detail: "certificate"}
		}
		caller = Caller{rule.Name, rule.Tenant}
	}
	if token == "" {
		return caller, nil
	}
	byToken, err := g.token(token, addr, now, wall)
	if err != nil {
		return Caller{}, err
	}
	if certificate != nil && byToken.Name != caller.Name {
		g.count.Unmapped++
		return Caller{}, &Denied{Reason: Disagreement, Caller: caller.Name, Detail: "token of " + byToken.Name}
	}
	return byToken, nil
}

// token is the caller that a token stands for.
func (g *Guard) token(token string, addr uint64, now, wall monotime.Micros) (Caller, error) {
	if len(token) > g.options.Limits.TokenBytes {
		g.count.Unsigned++
		return Caller{}, &Denied{Reason: BadProof, Detail: fmt.Sprintf("longer than %d bytes", g.options.Limits.TokenBytes)}
	}
	h := sha256.Sum256([]byte(token))
	v, ok := g.tokens.good.Get(h)
	if ok {
		g.count.Cached++
	} else {
		var err error
		if v, err = g.check(h, token, addr, now, wall); err != nil {
			return Caller{}, err
		}
		g.tokens.good.Add(h, v)
	}
	if err := g.valid(v, wall); err != nil {
		return Caller{}, err
	}
	if !v.mapped {
		rule := g.options.ofToken(&v.claims)
		if rule == nil {
			g.count.Unmapped++
			return Caller{}, &Denied{Reason: Unknown, Detail: fmt.Sprintf("subject %.80q", v.claims.Subject)}
		}
		v.caller, v.mapped = Caller{rule.Name, rule.Tenant}, true
	}
	return v.caller, nil
}

// check checks a token's signature, within the budget.
func (g *Guard) check(h hash, token string, addr uint64, now, wall monotime.Micros) (*verified, error) {
	if at, ok := g.tokens.bad.Get(h); ok && now-at < badFor {
		g.count.Negative++
		return nil, &Denied{Reason: BadProof}
	}
	from, ok := g.checks.take(addr, now)
	if !ok {
		g.count.Busy++
		return nil, &Denied{Reason: Busy, After: monotime.Second / 4}
	}
	g.count.Checked++
	v, err := g.verify(token, wall)
	if err != nil {
		g.count.Unsigned++
		g.tokens.bad.Add(h, now)
		return nil, &Denied{Reason: BadProof, Detail: err.Error()}
	}
	from.proven = true
	return v, nil
}

// verify tries the keys of the issuer that the token names: the one with its key's id or, where it names none, the only
// one that holds.
func (g *Guard) verify(token string, wall monotime.Micros) (*verified, error) {
	issuer, id, err := g.verifier.Peek(token)
	if err != nil {
		return nil, err
	}
	var candidates []*Key
	keys := g.keys[issuer]
	for i := range keys {
		if keys[i].holds(wall, g.options.Leeway) && (id == "" || keys[i].ID == id) {
			candidates = append(candidates, &keys[i])
		}
	}
	if len(candidates) != 1 {
		return nil, fmt.Errorf("%d keys of its id hold", len(candidates))
	}
	claims, err := g.verifier.Verify(token, candidates[0])
	if err != nil {
		return nil, err
	}
	if claims.Issuer != issuer {
		return nil, ErrSignature
	}
	return &verified{claims: claims, key: *candidates[0]}, nil
}

// valid judges a verified token as of now.
func (g *Guard) valid(v *verified, wall monotime.Micros) error {
	c, leeway := &v.claims, g.options.Leeway
	deny := func(why string) error {
		g.count.Expired++
		return &Denied{Reason: Outdated, Detail: why}
	}
	at := slices.IndexFunc(g.options.Issuers, func(i Issuer) bool { return i.Name == c.Issuer })
	key := slices.IndexFunc(g.keys[c.Issuer], func(k Key) bool { return v.key.same(k) })
	switch {
	case at < 0 || key < 0 || !g.keys[c.Issuer][key].holds(wall, leeway):
		return deny("its key no longer holds")
	case c.Expires == 0:
		return deny("it does not expire")
	case wall >= c.Expires+leeway:
		return deny("expired")
	case c.NotBefore > 0 && wall < c.NotBefore-leeway:
		return deny("not yet valid")
	case !slices.ContainsFunc(c.Audiences, func(a string) bool { return slices.Contains(g.options.Issuers[at].Audiences, a) }):
		return deny("for another audience")
	case g.tokens.revoked.has(c):
		return deny("revoked")
	}
	return nil
}

// Audit says whether a refusal is to be logged, and how many were not since the last that was.
func (g *Guard) Audit(now monotime.Micros) (silenced int, ok bool) {
	if !g.audit.take(now) {
		g.silenced++
		return 0, false
	}
	silenced, g.silenced = g.silenced, 0
	return silenced, true
}
