package config

import (
	"slices"
	"strings"

	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Budgets is the section "fleet.budgets": what the front ends of a fleet may spend together. If front ends have
// different versions, the highest one is in force.
type Budgets struct {
	Version      int      `json:"version"`  // at least 1
	LeaseMS      float64  `json:"lease_ms"` // duration of leases; from 300 to 60,000 and at least 8 ticks, default 2000
	MaxFrontEnds int      `json:"most"`     // front ends there may be at a time; at most 800, default: the members
	List         []Budget `json:"list"`     // at most 256
}

// Defaults and limits of the section.
const (
	defaultLeaseMS = 2000
	minLeaseMS     = 300
	maxLeaseMS     = 60_000
	// minLeaseTicks is the least duration of a lease in ticks: with shorter ones, each election would let all expire.
	minLeaseTicks = 8
	// maxBudgetFrontEnds limits the front ends that a budget is divided among.
	maxBudgetFrontEnds = 10 * maxMembers
)

// budgetsSection makes the errors of the section.
var budgetsSection = section{file: installationFile, path: fleetSection.path + ".budgets"}

// budgetSite is what the checks of a budget depend on besides the budget.
type budgetSite struct {
	members      []FleetMember
	maxFrontEnds int // there may be at a time
	settings     *settings.Settings
}

// resolve fills in defaults, checks the section and returns the set of its budgets, ordered by name; nil if there is no
// section. The defaults stay in the section, so that they are shown with it.
func (b *Budgets) resolve(
	members []FleetMember, tick monotime.Micros, site *settings.Settings,
) (*budget.Set, error) {
	if b == nil {
		return nil, nil
	}
	b.setDefaults(len(members))
	if err := b.check(len(members), tick); err != nil {
		return nil, err
	}
	specs, err := b.specs(&budgetSite{members: members, maxFrontEnds: b.MaxFrontEnds, settings: site})
	if err != nil {
		return nil, err
	}
	set := &budget.Set{
		Version:      uint64(b.Version),
		Lease:        fromMilliseconds(b.LeaseMS),
		MaxFrontEnds: b.MaxFrontEnds,
		Specs:        specs,
	}
	if err := set.Check(); err != nil {
		return nil, budgetsSection.keyError("list", "%w", err)
	}
	return set, nil
}

// setDefaults fills in the defaults of the section, but for those of the budgets in it.
func (b *Budgets) setDefaults(members int) {
	if b.LeaseMS == 0 {
		b.LeaseMS = defaultLeaseMS
	}
	if b.MaxFrontEnds == 0 {
		b.MaxFrontEnds = members
	}
}

// check returns an error if a value of the section is out of range, whatever its budgets are.
func (b *Budgets) check(members int, tick monotime.Micros) error {
	fault := budgetsSection.keyError
	switch {
	case b.Version < 1:
		return fault("version", "%d is below 1", b.Version)
	case b.LeaseMS < minLeaseMS || b.LeaseMS > maxLeaseMS:
		return fault("lease_ms", "%g is not from %d to %d", b.LeaseMS, minLeaseMS, maxLeaseMS)
	case fromMilliseconds(b.LeaseMS) < minLeaseTicks*tick:
		return fault("lease_ms", "%g is below %d times tick_ms", b.LeaseMS, minLeaseTicks)
	case b.MaxFrontEnds < members || b.MaxFrontEnds > maxBudgetFrontEnds:
		return fault("most", "%d is not from the %d members to %d", b.MaxFrontEnds, members, maxBudgetFrontEnds)
	case len(b.List) > budget.MaxSpecs:
		return fault("list", "%d are above %d", len(b.List), budget.MaxSpecs)
	}
	return nil
}

// specs returns the budgets as package budget takes them, ordered by name.
func (b *Budgets) specs(site *budgetSite) (specs []budget.Spec, err error) {
	for i := range b.List {
		spec, err := b.List[i].spec(budgetsSection.element("list", i), site)
		if err != nil {
			return nil, err
		}
		specs = append(specs, spec)
	}
	slices.SortFunc(specs, func(a, b budget.Spec) int { return strings.Compare(a.Name, b.Name) })
	for i := 1; i < len(specs); i++ {
		if specs[i].Name == specs[i-1].Name {
			return nil, budgetsSection.keyError("list", "%q stands twice", specs[i].Name)
		}
	}
	return specs, nil
}
