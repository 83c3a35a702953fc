package identity

// Guard authenticates and authorizes callers and limits their requests. It is not safe for concurrent use.
type Guard struct {
	options     Options
	verifier    Verifier
	keys        map[string][]Key // by issuer
	revocations Revocations
	cache       tokenCache
	signatures  signatureBudget
	usage       map[string]*callerUsage // by caller
	audit       auditLimiter
	counts      Counts
}

// Counts are counters of a Guard's decisions since it was created.
type Counts struct {
	CacheHits         int // tokens found in the cache of verified tokens
	SignaturesChecked int // tokens whose signature was checked
	NegativeCacheHits int // tokens found in the cache of failed tokens

	NotValidNow    int // requests denied with the reason NotValidNow
	InvalidTokens  int // requests denied for a token that has no valid signature or is too long
	UnknownCallers int // requests denied because their credentials identify no caller, or two different ones
	NoCredentials  int // requests denied because they have no credentials

	SignatureBudgetExhausted int // requests denied because the budget for signature checks was exhausted
	PermissionDenied         int // requests denied because no right allows them or a right denies them
	TenantMismatches         int // requests denied because they name another tenant than their caller's
	CeilingReached           int // requests denied by a ceiling
	Allowed                  int // requests that were authorized
}

// New returns a Guard for an installation with these query classes. The error begins with the key of an invalid option.
func New(o Options, classes []string, v Verifier) (*Guard, error) {
	g := &Guard{verifier: v, keys: map[string][]Key{}, usage: map[string]*callerUsage{}}
	if err := g.Apply(o, classes); err != nil {
		return nil, err
	}
	return g, nil
}

// Apply replaces the options. Changed rights take effect with the next request and do not affect open requests.
// Verified tokens stay in the cache unless a limit changes, and are mapped to callers again. If an option is invalid,
// nothing changes and the error begins with its key.
func (g *Guard) Apply(o Options, classes []string) error {
	o.setDefaults()
	if err := o.check(classes); err != nil {
		return err
	}
	if g.options.Limits != o.Limits {
		g.signatures = newSignatureBudget(o.Limits)
		g.audit = newAuditLimiter(o.Limits.AuditPerSecond, g.audit.suppressed)
		g.cache = newTokenCache(o.Limits.CacheTokens)
	}
	g.options = o
	// Verified signatures are kept: checking all of them again at once would exhaust the signature budget.
	g.cache.unmapCallers()
	for name, usage := range g.usage {
		usage.ceiling = g.ceilingOf(name)
	}
	return nil
}

// Counts returns the current counters.
func (g *Guard) Counts() Counts { return g.counts }
