package config

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"time"

	"chutechute/identity"
	"chutechute/identity/token"
	"chutechute/internal/settings"
)

// Identity is the section "identity": who may send requests, and what each caller may do.
type Identity struct {
	Enabled  bool           `json:"enabled"`
	Issuers  []Issuer       `json:"issuers"`
	LeewayS  float64        `json:"leeway_s"` // tolerated clock difference; default 30, at most 300
	Revoked  string         `json:"revoked"`  // path of the revocation list
	WatchS   float64        `json:"watch_s"`  // interval of checks of files for changes; default 1, at most 60
	Callers  []CallerRule   `json:"callers"`
	Rights   []Right        `json:"rights"`
	Ceilings []Ceiling      `json:"ceilings"`
	Limits   IdentityLimits `json:"limits"`
}

// Issuer is an issuer of tokens.
type Issuer struct {
	Name      string   `json:"name"`
	Audiences []string `json:"audiences"` // a token must have one of them
	Keys      string   `json:"keys"`      // path of the issuer's public keys
}

// CallerRule maps a token or a client certificate to a caller. The first rule that matches applies. In its patterns, an
// asterisk matches any characters except a slash, and in a DNS name one label.
type CallerRule struct {
	Name    string   `json:"name"`
	Tenant  string   `json:"tenant"`  // of the site's settings, or empty
	Issuer  string   `json:"issuer"`  // of tokens
	Subject string   `json:"subject"` // pattern; of tokens
	SANs    []string `json:"sans"`    // patterns; of certificates' subject alternative names
	DN      string   `json:"dn"`      // pattern; of certificates' distinguished names
}

// Right allows or denies callers the use of classes on table groups. A request is allowed if at least one right allows
// it and none denies it.
type Right struct {
	Effect  string   `json:"effect"`  // "allow" or "deny"
	Callers []string `json:"callers"` // patterns of names
	Classes []string `json:"classes"` // empty: all
	Groups  []string `json:"groups"`  // numbers and ranges of table groups, as in "3" and "10-19"; empty: all
}

// Ceiling limits the requests of callers. The first ceiling that matches a caller applies. Zero means no limit; a Burst
// of zero means the requests of one second.
type Ceiling struct {
	Callers []string `json:"callers"` // patterns of names
	Rate    float64  `json:"rate"`    // requests per second
	Burst   float64  `json:"burst"`   // requests at once
	Open    int      `json:"open"`    // maximum number of open requests
}

// IdentityLimits limits the cost of identifying callers. Zero means the default.
type IdentityLimits struct {
	TokenBytes       int     `json:"token_bytes"`              // of one token; default 4096
	CacheTokens      int     `json:"cache_tokens"`             // verified tokens in the cache; default 4096
	ChecksPerSecond  float64 `json:"checks_per_s"`             // signature checks in total; default 500
	ChecksPerAddress float64 `json:"checks_per_address_per_s"` // signature checks per client address; default 50
	Addresses        int     `json:"addresses"`                // client addresses that are tracked; default 4096
	AuditPerSecond   float64 `json:"audit_per_s"`              // log lines about denied requests; default 10
}

// Default and limit of the section, in seconds.
const (
	defaultWatchS = 1.0
	maxWatchS     = 60
)

// The values of a right's "effect".
const (
	effectAllow = "allow"
	effectDeny  = "deny"
)

// identitySection creates the errors for keys of the section.
var identitySection = section{file: installationFile, path: "identity"}

// Options checks the section against the site's settings and converts it to options of package identity; nil if it is
// off. The error for a key is a *KeyError.
func (i *Identity) Options(site *settings.Settings) (*identity.Options, error) {
	if !i.Enabled {
		return nil, nil
	}
	if i.WatchS < 0 || i.WatchS > maxWatchS {
		return nil, identitySection.keyError("watch_s", "%g is not from 0 to %d", i.WatchS, maxWatchS)
	}
	options := &identity.Options{
		Leeway:   fromSeconds(i.LeewayS),
		Ceilings: i.ceilings(),
		Limits:   i.Limits.convert(),
	}
	var err error
	if options.Issuers, err = i.issuers(); err != nil {
		return nil, err
	}
	if options.Callers, err = i.callers(site); err != nil {
		return nil, err
	}
	if options.Rights, err = i.rights(); err != nil {
		return nil, err
	}
	if _, err := identity.New(*options, site.ClassNames(), token.Verifier{}); err != nil {
		return nil, identitySection.addKey(err)
	}
	return options, nil
}

// issuers converts the issuers. It does not read the files with their keys.
func (i *Identity) issuers() (issuers []identity.Issuer, err error) {
	for n, issuer := range i.Issuers {
		if issuer.Keys == "" {
			return nil, identitySection.element("issuers", n).keyError("keys", "missing")
		}
		issuers = append(issuers, identity.Issuer{Name: issuer.Name, Audiences: issuer.Audiences})
	}
	return issuers, nil
}

// callers checks and converts the rules for callers.
func (i *Identity) callers(site *settings.Settings) (rules []identity.CallerRule, err error) {
	for n, rule := range i.Callers {
		if _, known := site.TenantIndex[rule.Tenant]; rule.Tenant != "" && !known {
			return nil, identitySection.element("callers", n).keyError("tenant", "unknown tenant %q", rule.Tenant)
		}
		rules = append(rules, identity.CallerRule{
			Name:      rule.Name,
			Tenant:    rule.Tenant,
			Issuer:    rule.Issuer,
			Subject:   rule.Subject,
			SANs:      rule.SANs,
			DNSubject: rule.DN,
		})
	}
	return rules, nil
}

// rights checks and converts the rights.
func (i *Identity) rights() (rights []identity.Right, err error) {
	for n := range i.Rights {
		right, err := i.Rights[n].convert(identitySection.element("rights", n))
		if err != nil {
			return nil, err
		}
		rights = append(rights, right)
	}
	return rights, nil
}

// convert checks the right and converts it to the type of package identity. The element creates the errors for its
// keys.
func (r *Right) convert(element section) (identity.Right, error) {
	if r.Effect != effectAllow && r.Effect != effectDeny {
		return identity.Right{}, element.keyError("effect", "%q is neither \"allow\" nor \"deny\"", r.Effect)
	}
	right := identity.Right{Deny: r.Effect == effectDeny, Callers: r.Callers, Classes: r.Classes}
	for n, text := range r.Groups {
		groups, err := parseGroups(text)
		if err != nil {
			return identity.Right{}, element.keyError(fmt.Sprintf("groups[%d]", n), "%w", err)
		}
		right.Groups = append(right.Groups, groups)
	}
	return right, nil
}

// parseGroups reads table groups: a number or a range, as in "3" and "10-19".
func parseGroups(text string) (identity.Range, error) {
	low, high, isRange := strings.Cut(text, "-")
	if !isRange {
		high = low
	}
	from, fromErr := strconv.ParseUint(low, 10, 31)
	to, toErr := strconv.ParseUint(high, 10, 31)
	if fromErr != nil || toErr != nil {
		return identity.Range{}, fmt.Errorf("%q is neither a number nor a range", text)
	}
	return identity.Range{From: int(from), To: int(to)}, nil
}

// ceilings converts the ceilings. Package identity checks them.
func (i *Identity) ceilings() (ceilings []identity.Ceiling) {
	for _, ceiling := range i.Ceilings {
		ceilings = append(ceilings, identity.Ceiling{
			Callers: ceiling.Callers,
			Rate:    ceiling.Rate,
			Burst:   ceiling.Burst,
			MaxOpen: ceiling.Open,
		})
	}
	return ceilings
}

// convert converts the limits to the type of package identity.
func (l *IdentityLimits) convert() identity.Limits {
	return identity.Limits{
		TokenBytes:       l.TokenBytes,
		CacheTokens:      l.CacheTokens,
		ChecksPerSecond:  l.ChecksPerSecond,
		ChecksPerAddress: l.ChecksPerAddress,
		Addresses:        l.Addresses,
		AuditPerSecond:   l.AuditPerSecond,
	}
}

// WatchInterval returns the interval at which key files, certificates and revocation lists are checked for changes.
func (i *Identity) WatchInterval() time.Duration {
	return time.Duration(cmp.Or(i.WatchS, defaultWatchS) * float64(time.Second))
}

// resolvePaths resolves the section's relative paths against the installation file's folder.
func (i *Identity) resolvePaths(folder string) {
	resolvePaths(folder, &i.Revoked)
	for n := range i.Issuers {
		resolvePaths(folder, &i.Issuers[n].Keys)
	}
}
