package identity

import (
	"fmt"
	"slices"

	"chutechute/internal/monotime"
)

// Options are the settings of an installation for its callers.
type Options struct {
	Issuers  []Issuer
	Leeway   monotime.Micros // by which clocks may differ for tokens' times, at most MostLeeway; 0: the default
	Callers  []CallerRule
	Rights   []Right
	Ceilings []Ceiling
	Limits   Limits
}

// Limits bound the cost of authentication. Values of 0 take the defaults.
type Limits struct {
	TokenBytes       int     // length of a token
	CacheTokens      int     // verified tokens in the cache, and as many that failed
	ChecksPerSecond  float64 // signature checks a second for all addresses together
	ChecksPerAddress float64 // signature checks a second for each address
	Addresses        int     // addresses that have a budget of their own
	AuditPerSecond   float64 // log entries a second about denied calls
}

// MaxLeeway is the maximum of Options.Leeway, in microseconds.
const MaxLeeway = 300 * monotime.Second

// Defaults of Options, and the bound of Limits.TokenBytes.
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
	Name      string   // as in the claim "iss"
	Audiences []string // of which a token's claim "aud" must name one
}

// accepts reports whether one of a token's audiences is one of the issuer's.
func (i *Issuer) accepts(audiences []string) bool {
	return slices.ContainsFunc(audiences, func(audience string) bool { return slices.Contains(i.Audiences, audience) })
}

// setDefaults replaces values of 0 by their defaults.
func (o *Options) setDefaults() {
	setDefault(&o.Leeway, defaultLeeway)
	setDefault(&o.Limits.TokenBytes, defaultTokenBytes)
	setDefault(&o.Limits.CacheTokens, defaultCacheTokens)
	setDefault(&o.Limits.ChecksPerSecond, defaultChecksPerSecond)
	setDefault(&o.Limits.ChecksPerAddress, defaultChecksPerAddress)
	setDefault(&o.Limits.Addresses, defaultAddresses)
	setDefault(&o.Limits.AuditPerSecond, defaultAuditPerSecond)
}

// setDefault replaces a value of 0.
func setDefault[T int | int64 | float64](value *T, otherwise T) {
	if *value == 0 {
		*value = otherwise
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

// checkIssuers returns the names of the issuers.
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

// checkCallers returns the names of the callers.
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
