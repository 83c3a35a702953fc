package config

import (
	"slices"
	"strings"

	"chutechute/fleet/budget"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Budgets is the section "fleet.budgets": limits on what all front ends of a fleet spend together. If front ends have
// different versions of the section, the highest version is in force.
type Budgets struct {
	Version      int      `json:"version"`  // at least 1
	LeaseMS      float64  `json:"lease_ms"` // duration of leases; 300 to 60,000 and at least 8 ticks, default 2000
	MaxFrontEnds int      `json:"most"`     // maximum number of front ends; at most 800, default: number of members
	List         []Budget `json:"list"`     // at most 256
}

// Defaults and limits of the section.
const (
	defaultLeaseMS = 2000
	minLeaseMS     = 300
	maxLeaseMS     = 60_000
	// minLeaseTicks is the minimum duration of a lease in ticks. If leases were shorter, all of them would expire
	// during each election.
	minLeaseTicks = 8
	// maxBudgetFrontEnds limits the number of front ends that a budget is divided among.
	maxBudgetFrontEnds = 10 * maxMembers
)

// budgetsSection creates the errors for keys of the section.
var budgetsSection = section{file: installationFile, path: fleetSection.path + ".budgets"}

// budgetSite has the settings, other than the budget itself, that the checks of a budget need.
type budgetSite struct {
	members      []FleetMember
	maxFrontEnds int // at a time
	settings     *settings.Settings
}

// resolve fills in defaults, checks the section and returns its budgets, sorted by name; nil if there is no section.
// The defaults are stored in the section, so that commands show them.
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

// setDefaults fills in the defaults of the section, except for those of its budgets.
func (b *Budgets) setDefaults(members int) {
	if b.LeaseMS == 0 {
		b.LeaseMS = defaultLeaseMS
	}
	if b.MaxFrontEnds == 0 {
		b.MaxFrontEnds = members
	}
}

// check returns an error if a value of the section is out of range. It does not check the individual budgets.
func (b *Budgets) check(members int, tick monotime.Micros) error {
	keyError := budgetsSection.keyError
	switch {
	case b.Version < 1:
		return keyError("version", "%d is below 1", b.Version)
	case b.LeaseMS < minLeaseMS || b.LeaseMS > maxLeaseMS:
		return keyError("lease_ms", "%g is not from %d to %d", b.LeaseMS, minLeaseMS, maxLeaseMS)
	case fromMilliseconds(b.LeaseMS) < minLeaseTicks*tick:
		return keyError("lease_ms", "%g is below %d times tick_ms", b.LeaseMS, minLeaseTicks)
	case b.MaxFrontEnds < members || b.MaxFrontEnds > maxBudgetFrontEnds:
		return keyError("most", "%d is not from the %d members to %d", b.MaxFrontEnds, members, maxBudgetFrontEnds)
	case len(b.List) > budget.MaxSpecs:
		return keyError("list", "%d are above %d", len(b.List), budget.MaxSpecs)
	}
	return nil
}

// specs checks the budgets and converts them to the type of package budget, sorted by name.
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
