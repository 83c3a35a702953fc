// Package enforce connects a front end's lease holder (budget.LeaseHolder) with the scheduler, which spends the
// budgets. It translates the scopes of budgets in the settings into the scheduler's rules, and passes grants on as
// events of the scheduler. It is stepped: no I/O, no clock, no goroutines.
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
	// GrantBudgets sets what may be spent, and the rules if the event has any.
	GrantBudgets(ev scheduler.BudgetGrant)
	// BudgetDemands returns the demand for all budgets and what is in use.
	BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand
}

// Enforcer has one front end's scheduler enforce the grants of its lease holder. It implements budget.Consumer.
type Enforcer struct {
	site *settings.Settings
	core Core
	// Unenforceable maps the names of budgets that this front end cannot enforce to the reasons, such as a scope that
	// names a class that the site does not have.
	Unenforceable map[string]string
}

// New returns an enforcer for a site.
func New(site *settings.Settings, core Core) *Enforcer { return &Enforcer{site: site, core: core} }

// BudgetDemands returns the scheduler's demand for all budgets and what is in use.
func (e *Enforcer) BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand {
	return e.core.BudgetDemands(now)
}

// GrantBudgets passes a grant on to the scheduler, with new rules if the grant has a set.
func (e *Enforcer) GrantBudgets(_ monotime.Micros, g budget.Grant) {
	event := scheduler.BudgetGrant{Until: g.LeaseExpiresAt, Leased: g.Leased, Static: g.Static}
	if g.Set != nil {
		event.Rules = e.rules(g.Set, g.NotInForce)
	}
	e.core.GrantBudgets(event)
}

// rules returns the scheduler's rules for a set. For budgets that are not in force, expenses are counted but not
// limited.
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
