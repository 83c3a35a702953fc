package config

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Identity sets who may call, and what they may do.
type Identity struct {
	Enabled  bool           `json:"enabled"`
	Issuers  []Issuer       `json:"issuers"`
	LeewayS  float64        `json:"leeway_s"`
	Revoked  string         `json:"revoked"` // path of the list of what is revoked
	WatchS   float64        `json:"watch_s"` // between looks at the files
	Callers  []CallerRule   `json:"callers"`
	Rights   []Right        `json:"rights"`
	Ceilings []Ceiling      `json:"ceilings"`
	Limits   IdentityLimits `json:"limits"`
}

// Issuer is who signs tokens, with the path of its public keys.
type Issuer struct {
	Name      string   `json:"name"`
	Audiences []string `json:"audiences"`
	Keys      string   `json:"keys"`
}

// CallerRule maps a proof to a caller.
type CallerRule struct {
	Name    string   `json:"name"`
	Tenant  string   `json:"tenant"`
	Issuer  string   `json:"issuer"`
	Subject string   `json:"subject"`
	SANs    []string `json:"sans"`
	DN      string   `json:"dn"`
}

// Right allows or denies; groups are numbers and ranges, as "3" and "10-19".
type Right struct {
	Effect  string   `json:"effect"` // allow or deny
	Callers []string `json:"callers"`
	Classes []string `json:"classes"`
	Groups  []string `json:"groups"`
}

// Ceiling bounds what a caller may have.
type Ceiling struct {
	Callers []string `json:"callers"`
	Rate    float64  `json:"rate"`
	Burst   float64  `json:"burst"`
	Open    int      `json:"open"`
}

// IdentityLimits bound what identifying callers may cost.
type IdentityLimits struct {
	TokenBytes       int     `json:"token_bytes"`
	CacheTokens      int     `json:"cache_tokens"`
	ChecksPerSecond  float64 `json:"checks_per_s"`
	ChecksPerAddress float64 `json:"checks_per_address_per_s"`
	Addresses        int     `json:"addresses"`
	AuditPerSecond   float64 `json:"audit_per_s"`
}

const (
	defaultWatch = 1.0 // seconds
	mostWatch    = 60
)

// Options is the file's word on identity in that of package identity, checked against the site's settings; nil where it is
// off.
func (i *Identity) Options(s *settings.Settings) (*identity.Options, error) {
	if !i.Enabled {
		return nil, nil
	}
	fault := func(key, form string, args ...any) (*identity.Options, error) {
		return nil, fmt.Errorf("installation: identity.%s: %s", key, fmt.Sprintf(form, args...))
	}
	l := i.Limits
	o := &identity.Options{Leeway: monotime.Micros(i.LeewayS * float64(monotime.Second)), Limits: identity.Limits{
		TokenBytes: l.TokenBytes, CacheTokens: l.CacheTokens, ChecksPerSecond: l.ChecksPerSecond,
		ChecksPerAddress: l.ChecksPerAddress, Addresses: l.Addresses, AuditPerSecond: l.AuditPerSecond}}
	if i.WatchS < 0 || i.WatchS > mostWatch {
		return fault("watch_s", "%g is not from 0 to %d", i.WatchS, mostWatch)
	}
	for n, one := range i.Issuers {
		if one.Keys == "" {
			return fault(fmt.Sprintf("issuers[%d].keys", n), "missing")
		}
		o.Issuers = append(o.Issuers, identity.Issuer{Name: one.Name, Audiences: one.Audiences})
	}
	for n, c := range i.Callers {
		if _, known := s.TenantOf[c.Tenant]; c.Tenant != "" && !known {
			return fault(fmt.Sprintf("callers[%d].tenant", n), "unknown tenant %q", c.Tenant)
		}
		o.Callers = append(o.Callers, identity.CallerRule{Name: c.Name, Tenant: c.Tenant, Issuer: c.Issuer, Subject: c.Subject,
			SANs: c.SANs, DNSubject: c.DN})
	}
	for n, r := range i.Rights {
		if r.Effect != "allow" && r.Effect != "deny" {
			return fault(fmt.Sprintf("rights[%d].effect", n), "%q is neither \"allow\" nor \"deny\"", r.Effect)
		}
		right := identity.Right{Deny: r.Effect == "deny", Callers: r.Callers, Classes: r.Classes}
		for m, text := range r.Groups {
			g, err := groups(text)
			if err != nil {
				return fault(fmt.Sprintf("rights[%d].groups[%d]", n, m), "%v", err)
			}
			right.Groups = append(right.Groups, g)
		}
		o.Rights = append(o.Rights, right)
	}
	for _, c := range i.Ceilings {
		o.Ceilings = append(o.Ceilings, identity.Ceiling{Callers: c.Callers, Rate: c.Rate, Burst: c.Burst, Open: c.Open})
	}
	if _, err := identity.New(*o, s.ClassNames(), token.Verifier{}); err != nil {
		return nil, fmt.Errorf("installation: identity.%w", err)
	}
	return o, nil
}

// groups reads "3" or "10-19".
func groups(text string) (identity.Range, error) {
	low, high, ranged := strings.Cut(text, "-")
	if !ranged {
		high = low
	}
	from, err := strconv.ParseUint(low, 10, 31)
	to, err2 := strconv.ParseUint(high, 10, 31)
	if err != nil || err2 != nil {
		return identity.Range{}, fmt.Errorf("%q is neither a number nor a range", text)
	}
	return identity.Range{From: int(from), To: int(to)}, nil
}

// Every is how often the files are looked at.
func (i *Identity) Every() time.Duration {
	if i.WatchS == 0 {
		return time.Duration(defaultWatch * float64(time.Second))
	}
	return time.Duration(i.WatchS * float64(time.Second))
}

// rooted puts the section's paths under the installation file's folder.
func (i *Identity) rooted(dir string) {
	paths := []*string{&i.Revoked}
	for n := range i.Issuers {
		paths = append(paths, &i.Issuers[n].Keys)
	}
	root(dir, paths)
}

// root puts paths that are not whole under a folder.
func root(dir string, paths []*string) {
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}
