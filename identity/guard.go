package identity

// Guard authenticates and authorizes callers and limits their calls. It is not safe for concurrent use.
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

// Counts are the numbers of a Guard's decisions since it was made.
type Counts struct {
	CacheHits         int // tokens that were in the cache of verified ones
	SignaturesChecked int // tokens whose signature was checked
	NegativeCacheHits int // tokens that were in the cache of failed ones

	Expired        int // calls denied for the reason Outdated
	InvalidTokens  int // calls denied for a token without a valid signature, or one that is too long
	UnknownCallers int // calls denied because their credentials stand for no caller, or for two
	NoCredentials  int // calls denied for want of any credential

	SignatureBudgetExhausted int // calls denied because the budget of signature checks was exhausted
	PermissionDenied         int // calls denied for want of a right
	TenantMismatches         int // calls denied because they claimed another tenant than their caller's
	CeilingReached           int // calls denied by a ceiling
	Allowed                  int // calls that were authorized
}

// New returns a Guard for an installation with these classes of queries. The error names the key of an invalid option.
func New(o Options, classes []string, v Verifier) (*Guard, error) {
	g := &Guard{verifier: v, keys: map[string][]Key{}, usage: map[string]*callerUsage{}}
	if err := g.Apply(o, classes); err != nil {
		return nil, err
	}
	return g, nil
}

// Apply replaces the options. Changed rights hold from the next call on; open calls are finished. Verified tokens stay
// in the cache unless a limit changes, and are mapped to callers again. The error names the key of an invalid option;
// nothing has changed then.
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
	// The signatures stay verified: to check them all again in a surge would exhaust the budget.
	g.cache.unmapCallers()
	for name, usage := range g.usage {
		usage.ceiling = g.ceilingOf(name)
	}
	return nil
}

// Counts returns the numbers of decisions so far.
func (g *Guard) Counts() Counts { return g.counts }
