// Package enforce connects the division of the fleet's budgets (budget.LeaseHolder) with the scheduler, which spends
// them: it translates what each budget applies to from the words of the settings into the scheduler's rules, and passes
// grants on as the scheduler's events. It is stepped: no I/O, no clock, no goroutines.
package enforce

import (
	"encoding/json"
	"slices"

	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/scheduler"
)

// Core is the part of the gateway that spends budgets.
type Core interface {
	// GrantBudgets sets the rules and what may be spent.
	GrantBudgets(ev scheduler.BudgetGrant)
	// BudgetDemands returns the demand for all budgets and what is in use.
	BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand
}

// Enforcer has the scheduler of one front end keep to what its lease holder is granted. It implements budget.Consumer.
type Enforcer struct {
	site *settings.Settings
	core Core
	// Unenforceable is the budgets that cannot be enforced here, with the reasons: this front end's site does not
	// have what they apply to.
	Unenforceable map[string]string
}

// New returns an enforcer for a site.
func New(site *settings.Settings, core Core) *Enforcer { return &Enforcer{site: site, core: core} }

// BudgetDemands returns the scheduler's demand for all budgets and what is in use.
func (e *Enforcer) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return e.core.BudgetDemands(now)
}

// GrantBudgets passes a grant on to the scheduler, with new rules if the set has changed.
func (e *Enforcer) GrantBudgets(_ monotime.Micros, g budget.Grant) {
	event := scheduler.BudgetGrant{Until: g.LeaseExpiresAt, Leased: g.Leased, Static: g.Static}
	if g.Set != nil {
		event.Rules = e.rules(g.Set, g.NotInForce)
	}
	e.core.GrantBudgets(event)
}

// rules returns the scheduler's rules for a set. What is spent of a budget that is not in force is only counted.
func (e *Enforcer) rules(set *budget.Set, notInForce []string) []scheduler.BudgetRule {
	rules := []scheduler.BudgetRule{}
	e.Unenforceable = map[string]string{}
	for i := range set.Specs {
		spec := &set.Specs[i]
		rule, err := e.rule(spec)
		if err != nil {
			e.Unenforceable[spec.Name] = err.Error()
			continue
		}
		rule.CountOnly = slices.Contains(notInForce, spec.Name)
		rules = append(rules, rule)
	}
	return rules
}

func (e *Enforcer) rule(spec *budget.Spec) (rule scheduler.BudgetRule, err error) {
	var scope Scope
	if err := json.Unmarshal(spec.Scope, &scope); err != nil {
		return rule, err
	}
	return scope.Rule(spec, e.site)
}
