package identity

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// signatureRetryAfter is the time after which a request may be retried that was denied because the budget for signature
// checks was exhausted, in microseconds.
const signatureRetryAfter = 250 * monotime.Millisecond

// Caller is the authenticated sender of a request.
type Caller struct {
	Name   string
	Tenant string // the only tenant that the caller may send requests for; empty: none
}

// Authenticate determines the caller of a request from its token, from the client certificate of its connection, or
// from both, which must then identify the same caller. A missing token is empty, and a missing certificate is nil. The
// address is that of the client, as a number; now is the monotonic time and wall the wall-clock time. The error is a
// *Denied.
func (g *Guard) Authenticate(
	token string, certificate *Certificate, address uint64, now, wall monotime.Micros,
) (Caller, error) {
	switch {
	case token == "" && certificate == nil:
		g.counts.NoCredentials++
		return Caller{}, &Denied{Reason: NoCredentials}
	case certificate == nil:
		return g.callerOfToken(token, address, now, wall)
	}
	byCertificate, err := g.callerOfCertificate(certificate, wall)
	if err != nil || token == "" {
		return byCertificate, err
	}
	byToken, err := g.callerOfToken(token, address, now, wall)
	if err != nil {
		return Caller{}, err
	}
	if byToken.Name != byCertificate.Name {
		g.counts.UnknownCallers++
		return Caller{}, &Denied{Reason: CallerMismatch, Caller: byCertificate.Name, Detail: "token of " + byToken.Name}
	}
	return byToken, nil
}

// callerOfCertificate returns the caller that a client certificate identifies, if it is valid at a wall-clock time.
func (g *Guard) callerOfCertificate(certificate *Certificate, wall monotime.Micros) (Caller, error) {
	if certificate.Revoked || certificate.Expires > 0 && wall >= certificate.Expires {
		g.counts.NotValidNow++
		return Caller{}, &Denied{Reason: NotValidNow, Detail: "certificate"}
	}
	rule := g.options.ruleForCertificate(certificate)
	if rule == nil {
		g.counts.UnknownCallers++
		return Caller{}, &Denied{Reason: UnknownCaller, Detail: "certificate"}
	}
	return rule.caller(), nil
}

// callerOfToken returns the caller that a token identifies.
func (g *Guard) callerOfToken(text string, address uint64, now, wall monotime.Micros) (Caller, error) {
	if maxBytes := g.options.Limits.TokenBytes; len(text) > maxBytes {
		g.counts.InvalidTokens++
		return Caller{}, &Denied{Reason: InvalidToken, Detail: fmt.Sprintf("longer than %d bytes", maxBytes)}
	}
	token, err := g.verifiedToken(text, address, now, wall)
	if err != nil {
		return Caller{}, err
	}
	// The cache saves only the signature check: keys, revocations, options and time may have changed since.
	if err := g.checkValidity(token, wall); err != nil {
		return Caller{}, err
	}
	if !token.mapped {
		rule := g.options.ruleForToken(&token.claims)
		if rule == nil {
			g.counts.UnknownCallers++
			return Caller{}, &Denied{Reason: UnknownCaller, Detail: fmt.Sprintf("subject %.80q", token.claims.Subject)}
		}
		token.caller = rule.caller()
		token.mapped = true
	}
	return token.caller, nil
}

// verifiedToken returns a token from the cache, or checks its signature and adds the token to the cache.
func (g *Guard) verifiedToken(text string, address uint64, now, wall monotime.Micros) (*verifiedToken, error) {
	hash := sha256.Sum256([]byte(text))
	if token, ok := g.cache.verified.Get(hash); ok {
		g.counts.CacheHits++
		return token, nil
	}
	if g.cache.hasFailure(hash, now) {
		g.counts.NegativeCacheHits++
		return nil, &Denied{Reason: InvalidToken}
	}
	budget, ok := g.signatures.take(address, now)
	if !ok {
		g.counts.SignatureBudgetExhausted++
		return nil, &Denied{Reason: SignatureBudgetExhausted, RetryAfter: signatureRetryAfter}
	}
	g.counts.SignaturesChecked++
	token, err := g.checkSignature(text, wall)
	if err != nil {
		g.counts.InvalidTokens++
		g.cache.failedAt.Add(hash, now)
		return nil, &Denied{Reason: InvalidToken, Detail: err.Error()}
	}
	budget.proven = true
	g.cache.verified.Add(hash, token)
	return token, nil
}

// checkSignature checks a token's signature with a valid key of the issuer that the token names. If the token names a
// key ID, it must be the key with that ID; otherwise the issuer must have exactly one valid key.
func (g *Guard) checkSignature(text string, wall monotime.Micros) (*verifiedToken, error) {
	issuer, keyID, err := g.verifier.ParseUnverified(text)
	if err != nil {
		return nil, err
	}
	keys := g.validKeys(issuer, keyID, wall)
	if len(keys) != 1 {
		return nil, fmt.Errorf("%d keys of its id hold", len(keys))
	}
	key := keys[0]
	claims, err := g.verifier.Verify(text, key)
	if err != nil {
		return nil, err
	}
	if claims.Issuer != issuer {
		return nil, ErrSignature
	}
	return &verifiedToken{claims: claims, key: *key}, nil
}

// checkValidity returns a *Denied if a verified token is not valid at a wall-clock time.
func (g *Guard) checkValidity(token *verifiedToken, wall monotime.Micros) error {
	if detail := g.validityError(token, wall); detail != "" {
		g.counts.NotValidNow++
		return &Denied{Reason: NotValidNow, Detail: detail}
	}
	return nil
}

// validityError returns why a verified token is not valid at a wall-clock time, or an empty text if it is valid.
func (g *Guard) validityError(token *verifiedToken, wall monotime.Micros) string {
	claims, leeway := &token.claims, g.options.Leeway
	issuer := g.issuer(claims.Issuer)
	key := g.currentKey(claims.Issuer, &token.key)
	switch {
	case issuer == nil || key == nil || !key.validAt(wall, leeway):
		return "its key no longer holds"
	case claims.Expires == 0:
		return "it does not expire"
	case wall >= claims.Expires+leeway:
		return "expired"
	case claims.NotBefore > 0 && wall < claims.NotBefore-leeway:
		return "not yet valid"
	case !issuer.accepts(claims.Audiences):
		return "for another audience"
	case g.revocations.includes(claims):
		return "revoked"
	}
	return ""
}

// issuer returns the issuer with a name, or nil if there is none.
func (g *Guard) issuer(name string) *Issuer {
	i := slices.IndexFunc(g.options.Issuers, func(issuer Issuer) bool { return issuer.Name == name })
	if i < 0 {
		return nil
	}
	return &g.options.Issuers[i]
}
