package budget

import (
	"fmt"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// Status is the state of a budget, shown to operators. Amounts are in units: queries, threads or milliseconds of work,
// per second for rates.
type Status struct {
	Name            string          `json:"name"`
	Kind            string          `json:"kind"`
	Total           float64         `json:"whole"`
	Burst           float64         `json:"burst,omitempty"`
	WindowMS        int64           `json:"window_ms,omitempty"`
	StaticReserve   float64         `json:"reserve"`     // reserved for static allocations, assigned or not
	NewcomerReserve float64         `json:"newcomers"`   // reserved for front ends without an allocation
	Open            bool            `json:"open"`        // false: a new authority waits for earlier grants to expire
	InForce         bool            `json:"in_force"`    // no more than the total is outstanding
	InForceMS       int64           `json:"in_force_ms"` // for how long it has been in force, by this replica's clock
	Subjects        []SubjectStatus `json:"subjects"`    // at most maxShownSubjects
}

// SubjectStatus is the division of one subject's budget.
type SubjectStatus struct {
	Subject string         `json:"subject,omitempty"`
	Leased  float64        `json:"leased"`
	Free    float64        `json:"free"`
	Holders []HolderStatus `json:"holders"`
}

// HolderStatus is one lease holder's allocation of a subject's budget.
type HolderStatus struct {
	Name        string  `json:"name"`    // of the front end
	Incarnation string  `json:"process"` // the incarnation in hexadecimal
	Demand      float64 `json:"want"`    // the reported demand
	Granted     float64 `json:"granted"`
	Outstanding float64 `json:"counted"` // what counts against the total: what may be in force, or is in use
	InUse       float64 `json:"in_use"`
	Expired     bool    `json:"lapsed"` // the lease has expired; what was spent under it may still be in use
}

// maxShownSubjects is the largest number of a budget's subjects in its Status.
const maxShownSubjects = 100

// units returns in units the rate of an amount for rate budgets, and otherwise its capacity.
func (s *Spec) units(amount Amount) float64 {
	if s.Kind == account.Rate {
		return inUnits(amount.Rate)
	}
	return inUnits(amount.Capacity)
}

func inUnits(thousandths int64) float64 { return float64(thousandths) / account.Unit }

// Status returns the state of the named budget, or of all budgets if the name is empty. now is the time by this
// replica's clock.
func (a *Authority) Status(now monotime.Micros, name string) []Status {
	list := []Status{}
	if a.set == nil {
		return list
	}
	keys := a.subjectKeys()
	for i := range a.set.Specs {
		if spec := &a.set.Specs[i]; name == "" || name == spec.Name {
			list = append(list, a.budgetStatus(now, spec, keys))
		}
	}
	return list
}

func (a *Authority) budgetStatus(now monotime.Micros, spec *Spec, keys []subjectKey) Status {
	b := a.budgets[spec.Name]
	status := Status{
		Name:            spec.Name,
		Kind:            spec.Kind.String(),
		Total:           spec.units(spec.Total),
		WindowMS:        spec.Window / monotime.Millisecond,
		StaticReserve:   spec.units(b.staticReserved),
		NewcomerReserve: spec.units(spec.newcomerReserve()),
		Open:            b.open,
		InForce:         !a.exceedsTotal(spec),
		Subjects:        []SubjectStatus{},
	}
	if spec.Kind == account.Rate {
		status.Burst = inUnits(spec.Total.Capacity)
	}
	if status.InForce && b.inForceSince != 0 {
		status.InForceMS = (now - b.inForceSince) / monotime.Millisecond
	}
	for _, key := range keys {
		if key.budget == spec.Name && len(status.Subjects) < maxShownSubjects {
			status.Subjects = append(status.Subjects, a.subjects[key].status(spec, b))
		}
	}
	return status
}

func (s *subjectBudget) status(spec *Spec, b *budgetState) SubjectStatus {
	status := SubjectStatus{
		Subject: s.key.subject,
		Leased:  spec.units(s.outstanding),
		Free:    spec.units(spec.Total.Sub(s.outstanding).Sub(b.staticReserved)),
		Holders: []HolderStatus{},
	}
	for _, alloc := range s.allocations {
		status.Holders = append(status.Holders, HolderStatus{
			Name:        alloc.holder.name,
			Incarnation: fmt.Sprintf("%016x", uint64(alloc.holder.incarnation)),
			Demand:      inUnits(alloc.demand),
			Granted:     spec.units(alloc.granted),
			Outstanding: spec.units(alloc.outstanding()),
			InUse:       inUnits(alloc.inUse),
			Expired:     alloc.holder.expired,
		})
	}
	return status
}
