package budget

import (
	"time"

	"chutechute/internal/monotime"
)

// Plan is what the settings of a budget come to, for who writes them. Amounts are in units, per second for rates.
type Plan struct {
	Name            string  `json:"name"`
	Kind            string  `json:"kind"`
	Total           float64 `json:"whole"`
	Divided         float64 `json:"divided"`   // by demand
	Static          float64 `json:"static"`    // of each front end
	NewcomerReserve float64 `json:"newcomers"` // reserved for who has no allocation yet
	MaxRecoveryTime string  `json:"lost"`      // how long what a lost front end had is unavailable, at most
}

// Plan returns what the settings of all budgets come to.
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
