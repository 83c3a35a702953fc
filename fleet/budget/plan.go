package budget

import (
	"time"

	"chutechute/internal/monotime"
)

// Plan shows operators how the settings of a budget divide its total. Amounts are in units, per second for rates.
type Plan struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Total           float64 `json:"whole"`
	Divided         float64 `json:"divided"`   // the part that is divided by demand
	Static          float64 `json:"static"`    // the static allocation of each front end
	NewcomerReserve float64 `json:"newcomers"` // reserved for front ends without an allocation
	MaxRecoveryTime string  `json:"lost"`      // the longest time until what a lost front end had is available again
}

// Plan returns the plans of all budgets.
func (s *Set) Plan() (plans []Plan) {
	for i := range s.Specs {
		plans = append(plans, s.Specs[i].plan(s))
	}
	return plans
}

func (s *Spec) plan(set *Set) Plan {
	static := s.staticAllocation(set.MaxFrontEnds)
	n := int64(set.MaxFrontEnds)
	allStatic := Amount{Capacity: static.Capacity * n, Rate: static.Rate * n}
	unavailable := withMargin(set.Lease)
	if s.drainTime() > 0 {
		unavailable += withMargin(s.drainTime())
	}
	return Plan{
		Name:            s.Name,
		Kind:            s.Kind.String(),
		Total:           s.units(s.Total),
		Divided:         s.units(s.Total.Sub(allStatic).Sub(s.newcomerReserve())),
		Static:          s.units(static),
		NewcomerReserve: s.units(s.newcomerReserve()),
		MaxRecoveryTime: formatMicros(unavailable),
	}
}

func formatMicros(span monotime.Micros) string {
	return (time.Duration(span) * time.Microsecond).Round(time.Millisecond).String()
}
