package identity

import (
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// Options configures how an installation authenticates, authorizes and limits its callers.
type Options struct {
	Issuers  []Issuer
	Leeway   monotime.Micros // tolerated clock difference for the times of tokens, at most MaxLeeway; 0: the default
	Callers  []CallerRule
	Rights   []Right
	Ceilings []Ceiling
	Limits   Limits
}

// Limits bounds the cost of authentication. A value of 0 stands for the default.
type Limits struct {
	TokenBytes       int     // maximum length of a token
	CacheTokens      int     // capacity of the cache of verified tokens, and of that of failed tokens
	ChecksPerSecond  float64 // signature checks per second, in total
	ChecksPerAddress float64 // signature checks per second and client address
	Addresses        int     // maximum number of client addresses that are tracked
	AuditPerSecond   float64 // log entries per second about denied requests
}

// MaxLeeway is the upper limit of Options.Leeway, in microseconds.
const MaxLeeway = 300 * monotime.Second

// Defaults of Options, and the upper limit of Limits.TokenBytes.
const (
	defaultLeeway           = 30 * monotime.Second
	defaultTokenBytes       = 4096
	maxTokenBytes           = 16 << 10
	defaultCacheTokens      = 4096
	defaultChecksPerSecond  = 500
	defaultChecksPerAddress = 50
	defaultAddresses        = 4096
	defaultAuditPerSecond   = 10
)

// Issuer is an authority that signs tokens.
type Issuer struct {
	Name      string   // value of the "iss" claim
	Audiences []string // of which a token's "aud" claim must name at least one
}

// accepts reports whether at least one of a token's audiences is configured for the issuer.
func (i *Issuer) accepts(audiences []string) bool {
	return slices.ContainsFunc(audiences, func(audience string) bool { return slices.Contains(i.Audiences, audience) })
}

// setDefaults replaces values of 0 with their defaults.
func (o *Options) setDefaults() {
	setDefault(&o.Leeway, defaultLeeway)
	setDefault(&o.Limits.TokenBytes, defaultTokenBytes)
	setDefault(&o.Limits.CacheTokens, defaultCacheTokens)
	setDefault(&o.Limits.ChecksPerSecond, defaultChecksPerSecond)
	setDefault(&o.Limits.ChecksPerAddress, defaultChecksPerAddress)
	setDefault(&o.Limits.Addresses, defaultAddresses)
	setDefault(&o.Limits.AuditPerSecond, defaultAuditPerSecond)
}

func setDefault[T int | int64 | float64](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// check returns an error that begins with the key of the first invalid option.
func (o *Options) check(classes []string) error {
	issuers, err := o.checkIssuers()
	if err != nil {
		return err
	}
	if o.Leeway < 0 || o.Leeway > MaxLeeway {
		return fmt.Errorf("leeway_s: not from 0 to %d", MaxLeeway/monotime.Second)
	}
	callers, err := o.checkCallers(issuers)
	if err != nil {
		return err
	}
	for i, right := range o.Rights {
		if err := right.check(callers, classes); err != nil {
			return fmt.Errorf("rights[%d].%w", i, err)
		}
	}
	for i, ceiling := range o.Ceilings {
		if err := ceiling.check(callers); err != nil {
			return fmt.Errorf("ceilings[%d].%w", i, err)
		}
	}
	return o.Limits.check()
}

// checkIssuers checks the issuers and returns their names.
func (o *Options) checkIssuers() (map[string]bool, error) {
	names := map[string]bool{}
	for i, issuer := range o.Issuers {
		if issuer.Name == "" || names[issuer.Name] {
			return nil, fmt.Errorf("issuers[%d].name: %q is empty or there twice", i, issuer.Name)
		}
		names[issuer.Name] = true
		if len(issuer.Audiences) == 0 {
			return nil, fmt.Errorf("issuers[%d].audiences: missing", i)
		}
	}
	return names, nil
}

// checkCallers checks the rules for callers and returns the names of the callers.
func (o *Options) checkCallers(issuers map[string]bool) (map[string]bool, error) {
	if len(o.Callers) == 0 {
		return nil, fmt.Errorf("callers: missing")
	}
	names := map[string]bool{}
	for i, rule := range o.Callers {
		if err := rule.check(issuers); err != nil {
			return nil, fmt.Errorf("callers[%d].%w", i, err)
		}
		names[rule.Name] = true
	}
	return names, nil
}

func (l *Limits) check() error {
	if l.TokenBytes < 0 || l.TokenBytes > maxTokenBytes {
		return fmt.Errorf("limits.token_bytes: not from 0 to %d", maxTokenBytes)
	}
	if l.CacheTokens < 0 || l.ChecksPerSecond < 0 || l.ChecksPerAddress < 0 || l.Addresses < 0 || l.AuditPerSecond < 0 {
		return fmt.Errorf("limits: none may be negative")
	}
	return nil
}
