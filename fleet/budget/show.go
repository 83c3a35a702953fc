package budget

import (
	"fmt"
	"time"

	"chutechute/fleet/budget/account"
	"chutechute/internal/monotime"
)

// Status is how a budget stands on record, for operators. Amounts are in units: queries, threads or milliseconds of work, a
// second's for rates.
type Status struct {
	Name      string          `json:"name"`
	Kind      string          `json:"kind"`
	Total     float64         `json:"whole"`
	Burst     float64         `json:"burst,omitempty"`
	WindowMS  int64           `json:"window_ms,omitempty"`
	Reserve   float64         `json:"reserve"`   // static parts, handed out or not
	Newcomers float64         `json:"newcomers"` // kept back
	Open      bool            `json:"open"`      // given out: a new record holds it back until what an earlier one granted is over
	InForce   bool            `json:"in_force"`  // no more is held than the whole: false for a while after it was lowered
	SinceMS   int64           `json:"in_force_ms"`
	Subjects  []SubjectStatus `json:"subjects"`
}

// SubjectStatus is one subject's division.
type SubjectStatus struct {
	Subject string         `json:"subject,omitempty"`
	Leased  float64        `json:"leased"`
	Free    float64        `json:"free"`
	Holders []HolderStatus `json:"holders"`
}

// HolderStatus is what one process holds of it.
type HolderStatus struct {
	Name    string  `json:"name"`
	Process string  `json:"process"`
	Want    float64 `json:"want"`
	Granted float64 `json:"granted"`
	Counted float64 `json:"counted"` // what it may still hold, an earlier grant and what it has in use among it
	InUse   float64 `json:"in_use"`
	Lapsed  bool    `json:"lapsed"` // its lease is over; what it had begun may run
}

// mostShown bounds the subjects of a budget that are shown.
const mostShown = 100

// units is an amount as operators read it: a second's for rates.
func (s *Spec) units(m Amount) float64 {
	if s.Kind == account.Rate {
		return float64(m.Rate) / account.Unit
	}
	return float64(m.Capacity) / account.Unit
}

// SetVersion is the version of the settings on record; 0 without any.
func (a *Authority) SetVersion() uint64 {
	if a.set == nil {
		return 0
	}
	return a.set.Version
}

// Status is how all budgets stand, or the one of a name.
func (a *Authority) Status(now monotime.Micros, name string) []Status {
	list := []Status{}
	if a.set == nil {
		return list
	}
	keys := a.keys()
	for j := range a.set.Specs {
		p := &a.set.Specs[j]
		if name != "" && name != p.Name {
			continue
		}
		s := a.specs[p.Name]
		v := Status{Name: p.Name, Kind: p.Kind.String(), Total: p.units(p.Total), WindowMS: p.Window / 1000, Reserve: p.units(s.reserved),
			Newcomers: p.units(p.kept()), Open: s.open, InForce: !a.above(p), Subjects: []SubjectStatus{}}
		if p.Kind == account.Rate {
			v.Burst = float64(p.Total.Capacity) / account.Unit
		}
		if v.InForce && s.below != 0 {
			v.SinceMS = (now - s.below) / 1000
		}
		for _, k := range keys {
			if k.budget != p.Name || len(v.Subjects) >= mostShown {
				continue
			}
			i := a.insts[k]
			h := SubjectStatus{Subject: k.subject, Leased: p.units(i.leased), Free: p.units(p.Total.Sub(i.leased).Sub(s.reserved)), Holders: []HolderStatus{}}
			for _, o := range i.holds {
				h.Holders = append(h.Holders, HolderStatus{Name: o.h.name, Process: fmt.Sprintf("%016x", uint64(o.h.who)),
					Want: float64(o.want) / account.Unit, Granted: p.units(o.cur), Counted: p.units(o.counted()),
					InUse: float64(o.inUse) / account.Unit, Lapsed: o.h.lapsed})
			}
			v.Subjects = append(v.Subjects, h)
		}
		list = append(list, v)
	}
	return list
}

// above says whether more may be held of some subject than the whole: it was lowered, and earlier leases are not back or over.
func (a *Authority) above(p *Spec) bool {
	s := a.specs[p.Name]
	over := func(m Amount) bool { return m.Capacity > p.Total.Capacity || m.Rate > p.Total.Rate }
	if over(s.real) {
		return true
	}
	for _, i := range a.insts {
		if i.budget == p.Name && over(i.leased.Add(s.real)) {
			return true
		}
	}
	return false
}

// Plan is what a budget comes to, for who sets it.
type Plan struct {
	Name      string  `json:"name"`
	Kind      string  `json:"kind"`
	Total     float64 `json:"whole"`
	Divided   float64 `json:"divided"`
	Static    float64 `json:"static"` // of each front end
	Newcomers float64 `json:"newcomers"`
	Lost      string  `json:"lost"` // how long what a lost front end held stays out, at most
}

// Plan is what all budgets come to.
func (s *Set) Plan() (list []Plan) {
	for i := range s.Specs {
		p := &s.Specs[i]
		each := p.part(s.MaxFrontEnds)
		all := Amount{Capacity: each.Capacity * int64(s.MaxFrontEnds), Rate: each.Rate * int64(s.MaxFrontEnds)}
		lost := certainly(s.Lease)
		if p.lingers() > 0 {
			lost += certainly(p.lingers())
		}
		list = append(list, Plan{p.Name, p.Kind.String(), p.units(p.Total), p.units(p.Total.Sub(all).Sub(p.kept())), p.units(each), p.units(p.kept()),
			(time.Duration(lost) * time.Microsecond).Round(time.Millisecond).String()})
	}
	return list
}
