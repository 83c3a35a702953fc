package identity

import (
	"fmt"
	"slices"
	"strings"

	"chutechute/internal/monotime"
)

// uriScheme is in patterns of URIs and not in those of DNS names.
const uriScheme = "://"

// CallerRule maps tokens, certificates or both to a caller. Of several that apply the first counts. A rule applies to a
// kind of credential if it has conditions for that kind and all of them hold.
type CallerRule struct {
	Name   string
	Tenant string // whose calls the caller may send; empty: none

	// Conditions for tokens.
	Issuer  string
	Subject string // pattern; * stands for anything but a slash

	// Conditions for certificates.
	SANs      []string // patterns of URIs or DNS names, of which one must match: spiffe://legon/desk/*, *.desks.legon
	DNSubject string   // pattern of the subject as RFC 2253 writes it
}

func (r *CallerRule) check(issuers map[string]bool) error {
	forTokens := r.Issuer != "" || r.Subject != ""
	forCertificates := len(r.SANs) > 0 || r.DNSubject != ""
	switch {
	case r.Name == "":
		return fmt.Errorf("name: missing")
	case !forTokens && !forCertificates:
		return fmt.Errorf("issuer, sans or dn: one is needed")
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
			return fmt.Errorf("%s: %q is no pattern", key, pattern)
		}
		if err := checkPattern(key, pattern); err != nil {
			return err
		}
	}
	return nil
}

func (r *CallerRule) caller() Caller { return Caller{Name: r.Name, Tenant: r.Tenant} }

// Certificate has the names of a client certificate that was verified during the handshake.
type Certificate struct {
	URIs, DNSNames []string
	Subject        string          // as RFC 2253 writes it
	Expires        monotime.Micros // of the wall clock, in microseconds since 1970; 0: not known
	Revoked        bool            // by its authority, as of this call
}

// ruleForToken returns the first rule that applies to a token's claims; nil if there is none.
func (o *Options) ruleForToken(claims *Claims) *CallerRule {
	for i := range o.Callers {
		rule := &o.Callers[i]
		if rule.Issuer != "" && rule.Issuer == claims.Issuer && matches(rule.Subject, claims.Subject) {
			return rule
		}
	}
	return nil
}

// ruleForCertificate returns the first rule that applies to a certificate; nil if there is none.
func (o *Options) ruleForCertificate(certificate *Certificate) *CallerRule {
	for i := range o.Callers {
		rule := &o.Callers[i]
		if rule.appliesTo(certificate) {
			return rule
		}
	}
	return nil
}

// appliesTo reports whether the rule has conditions for certificates and all of them hold.
func (r *CallerRule) appliesTo(certificate *Certificate) bool {
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
		if strings.Contains(pattern, uriScheme) {
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

// matchesDNSName reports whether a DNS name of a certificate matches a pattern, whatever their case. A * stands for
// characters of a single label. A name that is itself a wildcard stands for no caller.
func matchesDNSName(pattern, name string) bool {
	return !strings.Contains(name, "*") &&
		countDots(pattern) == countDots(name) &&
		matches(strings.ToLower(pattern), strings.ToLower(name))
}

func countDots(name string) int { return strings.Count(name, ".") }
