package identity

import (
	"fmt"
	"path"
	"strings"

	"chutechute/internal/monotime"
)

// CallerRule maps proofs to a caller. The first rule that holds counts. A rule needs a condition for each kind of proof
// that it is for; within one all must hold.
type CallerRule struct {
	Name   string
	Tenant string // that the caller's calls are of; empty: none

	// Tokens of this issuer whose subject matches.
	Issuer  string
	Subject string // pattern; * stands for anything but a slash

	// Certificates: one of the patterns matches a URI or DNS name that the certificate stands for, or the subject's.
	SANs      []string // such as spiffe://legon/desk/*, or *.desks.legon
	DNSubject string   // pattern over the subject as RFC 2253 writes it
}

func (r *CallerRule) check(issuers map[string]bool) error {
	token, certificate := r.Issuer != "" || r.Subject != "", len(r.SANs) > 0 || r.DNSubject != ""
	switch {
	case r.Name == "":
		return fmt.Errorf("name: missing")
	case !token && !certificate:
		return fmt.Errorf("issuer, sans or dn: one is needed")
	case token && !issuers[r.Issuer]:
		return fmt.Errorf("issuer: unknown issuer %q", r.Issuer)
	case token && r.Subject == "":
		return fmt.Errorf("subject: missing")
	}
	for key, pattern := range map[string]string{"subject": r.Subject, "dn": r.DNSubject} {
		if _, err := path.Match(pattern, ""); err != nil {
			return fmt.Errorf("%s: %q is no pattern", key, pattern)
		}
	}
	for i, pattern := range r.SANs {
		if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
			return fmt.Errorf("sans[%d]: %q is no pattern", i, pattern)
		}
	}
	return nil
}

// Certificate is what a verified client certificate stands for.
type Certificate struct {
	URIs, DNS []string
	Subject   string          // as RFC 2253 writes it
	Expires   monotime.Micros // of the wall clock; 0: not known
	Revoked   bool            // by its authority, as of now
}

// ofToken is the rule for a token's subject; nil where none holds.
func (o *Options) ofToken(c *Claims) *CallerRule {
	for i := range o.Callers {
		r := &o.Callers[i]
		if r.Issuer != "" && r.Issuer == c.Issuer && matches(r.Subject, c.Subject) {
			return r
		}
	}
	return nil
}

// ofCertificate is the rule for a certificate; nil where none holds.
func (o *Options) ofCertificate(c *Certificate) *CallerRule {
	for i := range o.Callers {
		r := &o.Callers[i]
		if r.DNSubject != "" && !matches(r.DNSubject, c.Subject) {
			continue
		}
		if len(r.SANs) == 0 && r.DNSubject != "" || r.names(c) {
			return r
		}
	}
	return nil
}

func (r *CallerRule) names(c *Certificate) bool {
	for _, pattern := range r.SANs {
		for _, uri := range c.URIs {
			if strings.Contains(pattern, "://") && matches(pattern, uri) {
				return true
			}
		}
		for _, name := range c.DNS {
			// A wildcard stands for one label, and a certificate's own wildcard for no caller.
			if !strings.Contains(pattern, "://") && !strings.Contains(name, "*") && labels(pattern) == labels(name) &&
				matches(strings.ToLower(pattern), strings.ToLower(name)) {
				return true
			}
		}
	}
	return false
}

func labels(name string) int { return strings.Count(name, ".") }

// matches says whether a text matches a pattern that was checked. An empty text matches nothing.
func matches(pattern, text string) bool {
	ok, err := path.Match(pattern, text)
	return ok && err == nil && text != ""
}
