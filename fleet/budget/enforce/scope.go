package enforce

import (
	"encoding/json"
	"fmt"
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Scope selects what a budget applies to, and how it is counted and enforced, as in the settings. With Each ("*") as
// the tenant or engine, the total applies to every tenant or engine separately.
type Scope struct {
	Tenant       string  `json:"tenant,omitempty"` // a name or "*"
	Class        string  `json:"class,omitempty"`
	Engine       string  `json:"engine,omitempty"` // "*"
	EngineKind   string  `json:"engine_kind,omitempty"`
	WarmingUp    bool    `json:"cold,omitempty"`    // only engines that are warming up
	Retries      bool    `json:"further,omitempty"` // only attempts after the first
	EarnedShare  float64 `json:"share,omitempty"`   // with further: the share of a retry that each first attempt earns
	HealthChecks bool    `json:"probes,omitempty"`  // only health checks
	Unit         string  `json:"unit,omitempty"`    // queries, threads or work (in milliseconds)
	OnExceeded   string  `json:"over,omitempty"`    // refuse, wait or last: see scheduler.Overflow
}

// Each as the tenant or engine of a Scope means that the total applies to each one separately.
const Each = "*"

// The scheduler's units and overflow modes by their names in the settings.
var (
	units = map[string]scheduler.BudgetUnit{
		"":        scheduler.Queries,
		"queries": scheduler.Queries,
		"threads": scheduler.Threads,
		"work":    scheduler.Work,
	}
	overflows = map[string]scheduler.Overflow{
		"refuse": scheduler.RejectOverflow,
		"wait":   scheduler.QueueOverflow,
		"last":   scheduler.DeprioritizeOverflow,
	}
)

// Rule returns the scheduler's rule for a budget with this scope. Error messages begin with the key that is invalid.
func (s *Scope) Rule(spec *budget.Spec, site *settings.Settings) (rule scheduler.BudgetRule, err error) {
	rule = scheduler.BudgetRule{
		Name:               spec.Name,
		Kind:               spec.Kind,
		Window:             spec.Window,
		MaxAttemptDuration: spec.MaxAttemptDuration,
		Class:              -1,
		Tenant:             -1,
		EngineKind:         s.EngineKind,
		WarmingUp:          s.WarmingUp,
		Retries:            s.Retries,
		HealthChecks:       s.HealthChecks,
		RetryCredit:        int64(s.EarnedShare * account.Unit),
	}
	if err := s.resolveNames(&rule, site); err != nil {
		return rule, err
	}
	return rule, s.checkCombination(&rule)
}

// keyError returns the error for an invalid key.
func keyError(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

// resolveNames looks up the names in the scope in the site's settings and sets the rule's fields for them.
func (s *Scope) resolveNames(rule *scheduler.BudgetRule, site *settings.Settings) error {
	var ok bool
	if s.Class != "" {
		if rule.Class, ok = site.ClassIndex[s.Class]; !ok {
			return keyError("class", "the site has no %q", s.Class)
		}
	}
	switch {
	case s.Tenant == Each:
		rule.PerTenant = true
	case s.Tenant != "":
		if rule.Tenant, ok = site.TenantIndex[s.Tenant]; !ok {
			return keyError("tenant", "the site has no %q", s.Tenant)
		}
	}
	isKind := func(kind scheduler.EngineKind) bool { return kind.Name == s.EngineKind }
	if s.EngineKind != "" && !slices.ContainsFunc(site.Kinds, isKind) {
		return keyError("engine_kind", "the site has no %q", s.EngineKind)
	}
	switch s.Engine {
	case "":
	case Each:
		rule.PerEngine = true
	default:
		return keyError("engine", "%q is not \"*\"", s.Engine)
	}
	if rule.Unit, ok = units[s.Unit]; !ok {
		return keyError("unit", "%q is none of queries, threads and work", s.Unit)
	}
	if rule.Overflow, ok = overflows[s.OnExceeded]; !ok {
		return keyError("over", "%q is none of refuse, wait and last", s.OnExceeded)
	}
	return nil
}

// checkCombination returns an error if keys of the scope cannot be combined.
func (s *Scope) checkCombination(rule *scheduler.BudgetRule) error {
	forTenant := rule.PerTenant || rule.Tenant >= 0
	each := rule.PerTenant || rule.PerEngine
	switch {
	case rule.PerEngine && rule.PerTenant:
		return keyError("engine", "\"*\" stands with tenant \"*\"")
	case (rule.WarmingUp || rule.EngineKind != "") && !rule.PerEngine:
		return keyError("engine", "missing, with cold or engine_kind")
	case rule.Overflow == scheduler.DeprioritizeOverflow && (!forTenant || rule.PerEngine || rule.Retries):
		return keyError("over", "\"last\" takes a tenant, and neither engine nor further")
	case s.EarnedShare < 0 || s.EarnedShare > 1,
		s.EarnedShare > 0 && (!rule.Retries || each || rule.Kind != account.Rate):
		return keyError("share",
			"%g is not from 0 to 1, or stands without further and a rate, or with \"*\"", s.EarnedShare)
	case rule.HealthChecks &&
		(each || forTenant || rule.Class >= 0 || rule.Retries || rule.Unit != scheduler.Queries):
		return keyError("probes", "stands alone")
	}
	return nil
}

// Encode returns the scope as JSON, for budget.Spec.
func (s *Scope) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // no field of a Scope can fail to encode
	}
	return b
}
