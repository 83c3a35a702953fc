// Package identity decides who a call comes from and what that caller may do.
//
// A Guard is fed proofs (tokens, later certificates), keys, revocations, rights and time. It says which caller a proof
// stands for, whether the caller may send a query of a class that reads a group of tables, and how much it may
// have open. It does no I/O, reads no clock and starts no goroutine; signatures are checked by a Verifier that it is
// given, within a budget. It is no part of package scheduler: what it refuses never gets there.
package identity

import (
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// Options are what an installation sets. Zero limits take the defaults.
type Options struct {
	Issuers  []Issuer
	Leeway   monotime.Micros // that tokens' times may be off by, at most MostLeeway
	Callers  []CallerRule
	Rights   []Right
	Ceilings []Ceiling
	Limits   Limits
}

// Limits bound what identifying callers may cost.
type Limits struct {
	TokenBytes       int     // of one token
	CacheTokens      int     // verified tokens that are kept, and as many that failed
	ChecksPerSecond  float64 // signatures, over all addresses
	ChecksPerAddress float64 // and for each
	Addresses        int     // that are told apart
	AuditPerSecond   float64 // lines on refusals
}

// Defaults and bounds of Options.
const (
	MostLeeway = 300 * monotime.Second

	defaultLeeway    = 30 * monotime.Second
	defaultBytes     = 4096
	mostBytes        = 16 << 10
	defaultCache     = 4096
	defaultChecks    = 500
	defaultAddress   = 50
	defaultAddresses = 4096
	defaultAudit     = 10
)

// Issuer is who signs tokens.
type Issuer struct {
	Name      string
	Audiences []string // one of which a token must name
}

// check fills in defaults and names the faulty key.
func (o *Options) check(classes []string) error {
	seen := map[string]bool{}
	for i, one := range o.Issuers {
		if one.Name == "" || seen[one.Name] {
			return fmt.Errorf("issuers[%d].name: %q is empty or there twice", i, one.Name)
		}
		seen[one.Name] = true
		if len(one.Audiences) == 0 {
			return fmt.Errorf("issuers[%d].audiences: missing", i)
		}
	}
	if o.Leeway < 0 || o.Leeway > MostLeeway {
		return fmt.Errorf("leeway_s: not from 0 to %d", MostLeeway/monotime.Second)
	}
	if len(o.Callers) == 0 {
		return fmt.Errorf("callers: missing")
	}
	names := map[string]bool{}
	for i, rule := range o.Callers {
		if err := rule.check(seen); err != nil {
			return fmt.Errorf("callers[%d].%w", i, err)
		}
		names[rule.Name] = true
	}
	for i, r := range o.Rights {
		if err := r.check(names, classes); err != nil {
			return fmt.Errorf("rights[%d].%w", i, err)
		}
	}
	for i, c := range o.Ceilings {
		if err := c.check(names); err != nil {
			return fmt.Errorf("ceilings[%d].%w", i, err)
		}
	}
	return o.Limits.check()
}

func (l *Limits) check() error {
	if l.TokenBytes < 0 || l.TokenBytes > mostBytes {
		return fmt.Errorf("limits.token_bytes: not from 0 to %d", mostBytes)
	}
	if l.CacheTokens < 0 || l.ChecksPerSecond < 0 || l.ChecksPerAddress < 0 || l.Addresses < 0 || l.AuditPerSecond < 0 {
		return fmt.Errorf("limits: none may be negative")
	}
	fill(&l.TokenBytes, defaultBytes)
	fill(&l.CacheTokens, defaultCache)
	fill(&l.ChecksPerSecond, defaultChecks)
	fill(&l.ChecksPerAddress, defaultAddress)
	fill(&l.Addresses, defaultAddresses)
	fill(&l.AuditPerSecond, defaultAudit)
	return nil
}

func fill[T int | float64](v *T, otherwise T) {
	if *v == 0 {
		*v = otherwise
	}
}

// Guard decides on callers. It belongs to one goroutine.
type Guard struct {
	options  Options
	classes  []string
	verifier Verifier
	keys     map[string][]Key // by issuer
	tokens   tokens
	checks   checks
	uses     map[string]*use // by caller
	audit    bucket
	silenced int
	count    Counts
}

// Counts is what a guard has decided.
type Counts struct {
	Cached, Checked, Negative               int // tokens known good, whose signature was checked, known bad
	Expired, Unsigned, Unmapped, Missing    int // refused proofs
	Busy, Forbidden, Foreign, Over, Allowed int // for want of budget; without right; another's tenant; ceilings
}

// New builds a guard for a site with these classes. An error names the faulty key.
func New(o Options, classes []string, v Verifier) (*Guard, error) {
	g := &Guard{verifier: v, keys: map[string][]Key{}, uses: map[string]*use{}}
	if err := g.Apply(o, classes); err != nil {
		return nil, err
	}
	return g, nil
}

// Apply puts other options into force, all of them or, with an error, none. Rights that change hold from the next call
// on; what is open is finished. Tokens that were verified are mapped to callers anew.
func (g *Guard) Apply(o Options, classes []string) error {
	if o.Leeway == 0 {
		o.Leeway = defaultLeeway
	}
	if err := o.check(classes); err != nil {
		return err
	}
	if g.options.Limits != o.Limits {
		g.checks = newChecks(o.Limits)
		g.audit = bucket{rate: o.Limits.AuditPerSecond, burst: o.Limits.AuditPerSecond}
		g.tokens = newTokens(o.Limits.CacheTokens, g.tokens.revoked)
	}
	g.options, g.classes = o, slices.Clone(classes)
	for _, v := range g.tokens.good.Values() { // not to be verified anew: a surge would use the budget up
		v.mapped = false
	}
	for name, u := range g.uses {
		u.ceiling = g.ceiling(name)
	}
	return nil
}

// Counts is what the guard has decided so far.
func (g *Guard) Counts() Counts { return g.count }
