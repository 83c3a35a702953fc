// Package enforce stands between the division of the fleet's budgets (budget.LeaseHolder) and the decision module
// that spends them: it reads what each budget applies to, in the words of the settings, and hands amounts over as
// the module's events. A stepped module without I/O, clock or goroutines.
package enforce

import (
	"encoding/json"
	"fmt"
	"slices"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Scope is what a budget applies to. Each, "*", gives every one the whole for itself.
type Scope struct {
	Tenant       string  `json:"tenant,omitempty"` // a name or "*"
	Class        string  `json:"class,omitempty"`
	Engine       string  `json:"engine,omitempty"` // "*"
	EngineKind   string  `json:"engine_kind,omitempty"`
	WarmingUp    bool    `json:"cold,omitempty"`    // only engines in their cold span
	Retries      bool    `json:"further,omitempty"` // only attempts after the first
	EarnedShare  float64 `json:"share,omitempty"`   // with further: of the first tries, which each front end may have besides
	HealthChecks bool    `json:"probes,omitempty"`  // only probes
	Unit         string  `json:"unit,omitempty"`    // queries, threads or work (milliseconds of it)
	OnExceeded   string  `json:"over,omitempty"`    // refuse, wait or last
}

// Each is every tenant or engine for itself.
const Each = "*"

var (
	units = map[string]scheduler.BudgetUnit{"": scheduler.Queries, "queries": scheduler.Queries, "threads": scheduler.Threads, "work": scheduler.Work}
	overs = map[string]scheduler.Overflow{"refuse": scheduler.RejectOverflow, "wait": scheduler.QueueOverflow, "last": scheduler.DeprioritizeOverflow}
)

// Rule is the scope in the module's terms. An error names the faulty key.
func (s *Scope) Rule(p *budget.Spec, site *settings.Settings) (r scheduler.BudgetRule, err error) {
	r = scheduler.BudgetRule{Name: p.Name, Kind: p.Kind, Window: p.Window, MaxAttemptDuration: p.MaxAttemptDuration, Class: -1, Tenant: -1, EngineKind: s.EngineKind,
		WarmingUp: s.WarmingUp, Retries: s.Retries, HealthChecks: s.HealthChecks, Earned: int64(s.EarnedShare * account.Unit)}
	var ok bool
	fault := func(key, form string, args ...any) (scheduler.BudgetRule, error) {
		return r, fmt.Errorf("%s: %s", key, fmt.Sprintf(form, args...))
	}
	if s.Class != "" {
		if r.Class, ok = site.ClassOf[s.Class]; !ok {
			return fault("class", "the site has no %q", s.Class)
		}
	}
	switch {
	case s.Tenant == Each:
		r.EachTenant = true
	case s.Tenant != "":
		if r.Tenant, ok = site.TenantOf[s.Tenant]; !ok {
			return fault("tenant", "the site has no %q", s.Tenant)
		}
	}
	if s.EngineKind != "" && !slices.ContainsFunc(site.Kinds, func(k scheduler.EngineKind) bool { return k.Name == s.EngineKind }) {
		return fault("engine_kind", "the site has no %q", s.EngineKind)
	}
	switch s.Engine {
	case "":
	case Each:
		r.EachEngine = true
	default:
		return fault("engine", "%q is not \"*\"", s.Engine)
	}
	if r.Unit, ok = units[s.Unit]; !ok {
		return fault("unit", "%q is none of queries, threads and work", s.Unit)
	}
	if r.Overflow, ok = overs[s.OnExceeded]; !ok {
		return fault("over", "%q is none of refuse, wait and last", s.OnExceeded)
	}
	switch {
	case r.EachEngine && r.EachTenant:
		return fault("engine", "\"*\" stands with tenant \"*\"")
	case (r.WarmingUp || r.EngineKind != "") && !r.EachEngine:
		return fault("engine", "missing, with cold or engine_kind")
	case r.Overflow == scheduler.DeprioritizeOverflow && (!r.EachTenant && r.Tenant < 0 || r.EachEngine || r.Retries):
		return fault("over", "\"last\" takes a tenant, and neither engine nor further")
	case s.EarnedShare < 0 || s.EarnedShare > 1 || s.EarnedShare > 0 && (!s.Retries || r.EachTenant || r.EachEngine || p.Kind != account.Rate):
		return fault("share", "%g is not from 0 to 1, or stands without further and a rate, or with \"*\"", s.EarnedShare)
	case r.HealthChecks && (r.EachEngine || r.EachTenant || r.Tenant >= 0 || r.Class >= 0 || r.Retries || r.Unit != scheduler.Queries):
		return fault("probes", "stands alone")
	}
	return r, nil
}

// Encode gives the scope's bytes.
func (s *Scope) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // it has nothing that can't be written
	}
	return b
}

// Core is the gateway's part of it.
type Core interface {
	GrantBudgets(ev scheduler.BudgetGrant)
	BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand
}

// Enforcer has the decision module of one front end keep to what its budgets grant.
type Enforcer struct {
	site *settings.Settings
	core Core
	// Unknown are budgets of the record that this front end's site has no tenant or class for, with the reasons.
	Unknown map[string]string
}

// New is an enforcer for a site.
func New(site *settings.Settings, core Core) *Enforcer { return &Enforcer{site: site, core: core} }

// BudgetDemands is what the module wants and has in use.
func (e *Enforcer) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return e.core.BudgetDemands(now)
}

// GrantBudgets hands a grant over.
func (e *Enforcer) GrantBudgets(_ monotime.Micros, g budget.Grant) {
	ev := scheduler.BudgetGrant{Until: g.Until, Leased: g.Leased, Static: g.Static}
	if g.Set != nil {
		ev.Rules = []scheduler.BudgetRule{}
		e.Unknown = map[string]string{}
		for i := range g.Set.Specs {
			spec := &g.Set.Specs[i]
			var s Scope
			err := json.Unmarshal(spec.Scope, &s)
			var r scheduler.BudgetRule
			if err == nil {
				r, err = s.Rule(spec, e.site)
			}
			if err != nil {
				e.Unknown[spec.Name] = err.Error()
				continue
			}
			r.CountOnly = slices.Contains(g.NotInForce, spec.Name)
			ev.Rules = append(ev.Rules, r)
		}
	}
	e.core.GrantBudgets(ev)
}
