package identity

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// schemeSeparator distinguishes patterns for URIs from patterns for DNS names.
const schemeSeparator = "://"

// CallerRule maps tokens, certificates or both to a caller. If several rules match, the first one applies. A rule
// matches a credential if it has conditions for that kind of credential and all of them are met.
type CallerRule struct {
	Name   string
	Tenant string // the only tenant that the caller may send requests for; empty: none

	// Conditions for tokens.
	Issuer  string
	Subject string // pattern; * matches any characters except a slash

	// Conditions for certificates.
	SANs      []string // patterns for URIs or DNS names, one of which must match: spiffe://legon/desk/*, *.desks.legon
	DNSubject string   // pattern for the subject in RFC 2253 form
}

func (r *CallerRule) check(issuers map[string]bool) error {
	forTokens := r.Issuer != "" || r.Subject != ""
	forCertificates := len(r.SANs) > 0 || r.DNSubject != ""
	switch {
	case r.Name == "":
		return fmt.Errorf("name: missing")
	case !forTokens && !forCertificates:
		return fmt.Errorf("issuer, sans or dn: at least one is required")
	case forTokens && !issuers[r.Issuer]:
		return fmt.Errorf("issuer: unknown issuer %q", r.Issuer)
	case forTokens && r.Subject == "":
		return fmt.Errorf("subject: missing")
	}
	if err := checkPattern("subject", r.Subject); err != nil {
		return err
	}
	if err := checkPattern("dn", r.DNSubject); err != nil {
		return err
	}
	return r.checkSANs()
}

func (r *CallerRule) checkSANs() error {
	for i, pattern := range r.SANs {
		key := fmt.Sprintf("sans[%d]", i)
		if pattern == "" {
			return fmt.Errorf("%s: %q is not a valid pattern", key, pattern)
		}
		if err := checkPattern(key, pattern); err != nil {
			return err
		}
	}
	return nil
}

func (r *CallerRule) caller() Caller { return Caller{Name: r.Name, Tenant: r.Tenant} }

// Certificate holds the names and validity of a client certificate that was verified during the handshake.
type Certificate struct {
	URIs, DNSNames []string
	Subject        string          // in RFC 2253 form
	Expires        monotime.Micros // wall-clock time, in microseconds since 1970; 0: unknown
	Revoked        bool            // by its CA, at the time of this request
}

// ruleForToken returns the first rule that matches a token's claims, or nil.
func (o *Options) ruleForToken(claims *Claims) *CallerRule {
	for i := range o.Callers {
		rule := &o.Callers[i]
		if rule.Issuer != "" && rule.Issuer == claims.Issuer && matches(rule.Subject, claims.Subject) {
			return rule
		}
	}
	return nil
}

// ruleForCertificate returns the first rule that matches a certificate, or nil.
func (o *Options) ruleForCertificate(certificate *Certificate) *CallerRule {
	for i := range o.Callers {
		rule := &o.Callers[i]
		if rule.matchesCertificate(certificate) {
			return rule
		}
	}
	return nil
}

// matchesCertificate reports whether the rule has conditions for certificates and all of them are met.
func (r *CallerRule) matchesCertificate(certificate *Certificate) bool {
	if r.DNSubject != "" && !matches(r.DNSubject, certificate.Subject) {
		return false
	}
	if len(r.SANs) == 0 {
		return r.DNSubject != ""
	}
	return r.matchesSAN(certificate)
}

// matchesSAN reports whether one of the rule's patterns matches a URI or a DNS name of the certificate.
func (r *CallerRule) matchesSAN(certificate *Certificate) bool {
	for _, pattern := range r.SANs {
		if strings.Contains(pattern, schemeSeparator) {
			if slices.ContainsFunc(certificate.URIs, func(uri string) bool { return matches(pattern, uri) }) {
				return true
			}
			continue
		}
		if slices.ContainsFunc(certificate.DNSNames, func(name string) bool { return matchesDNSName(pattern, name) }) {
			return true
		}
	}
	return false
}

// matchesDNSName reports whether a DNS name of a certificate matches a pattern. The comparison ignores case, and a * in
// the pattern matches within a single label. A name that is itself a wildcard never matches, since it identifies no
// caller.
func matchesDNSName(pattern, name string) bool {
	return !strings.Contains(name, "*") &&
		countDots(pattern) == countDots(name) &&
		matches(strings.ToLower(pattern), strings.ToLower(name))
}

func countDots(name string) int { return strings.Count(name, ".") }
