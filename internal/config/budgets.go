package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Budgets sets what the whole fleet may spend. Of two versions the higher one counts.
type Budgets struct {
	Version int      `json:"version"`
	LeaseMS float64  `json:"lease_ms"`
	Most    int      `json:"most"` // front ends that there may ever be at a time
	List    []Budget `json:"list"`
}

// Budget is one of them: a rate with a burst, places, or a total within a window.
type Budget struct {
	Name     string  `json:"name"`
	Rate     float64 `json:"rate"`  // a second
	Burst    float64 `json:"burst"` // at once, after a rest
	Places   int     `json:"places"`
	Total    float64 `json:"total"` // within any window
	WindowMS float64 `json:"window_ms"`
	LifeS    float64 `json:"life_s"` // the longest that what holds a place is asked after
	//lint:ignore SA5008 the tag is read by mapstructure, which knows squash, and not by encoding/json
	enforce.Scope `json:",squash"`
	Reserve       *float64           `json:"reserve"`   // the share that front ends have without a lease, in even parts
	Newcomers     *float64           `json:"newcomers"` // the share that is kept back for who has nothing yet
	Floor         float64            `json:"floor"`     // the share that each front end with any demand gets first
	Weights       map[string]float64 `json:"weights"`   // of front ends; 1 where none is set
	Without       string             `json:"without"`   // a lease: reserve or none
}

// Defaults and bounds of budgets.
const (
	defaultLease     = 2000 // ms
	defaultReserve   = 0.02
	defaultNewcomers = 0.005
	leastLeaseMS     = 300
	mostLeaseMS      = 60_000
	leaseTicks       = 8 // that a lease takes at least: below, each election would end all leases
)

// set is the section's word, checked; nil where there is none. An error names the key.
func (b *Budgets) set(members []FleetMember, tick monotime.Micros, s *settings.Settings) (*budget.Set, error) {
	if b == nil {
		return nil, nil
	}
	fault := func(key, form string, args ...any) (*budget.Set, error) {
		return nil, fmt.Errorf("installation: fleet.budgets.%s: %s", key, fmt.Sprintf(form, args...))
	}
	if b.LeaseMS == 0 {
		b.LeaseMS = defaultLease
	}
	if b.Most == 0 {
		b.Most = len(members)
	}
	lease := monotime.Micros(b.LeaseMS * 1000)
	switch {
	case b.Version < 1:
		return fault("version", "%d is below 1", b.Version)
	case b.LeaseMS < leastLeaseMS || b.LeaseMS > mostLeaseMS:
		return fault("lease_ms", "%g is not from %d to %d", b.LeaseMS, leastLeaseMS, mostLeaseMS)
	case lease < leaseTicks*tick:
		return fault("lease_ms", "%g is below %d times tick_ms", b.LeaseMS, leaseTicks)
	case b.Most < len(members) || b.Most > 10*mostMembers:
		return fault("most", "%d is not from the %d members to %d", b.Most, len(members), 10*mostMembers)
	case len(b.List) > budget.MaxSpecs:
		return fault("list", "%d are above %d", len(b.List), budget.MaxSpecs)
	}
	set := &budget.Set{Version: uint64(b.Version), Lease: lease, MaxFrontEnds: b.Most}
	for i := range b.List {
		key, spec, err := b.List[i].spec(b.Most, members, s)
		if err != nil {
			return fault(fmt.Sprintf("list[%d].%s", i, key), "%v", err)
		}
		set.Specs = append(set.Specs, spec)
	}
	slices.SortFunc(set.Specs, func(a, b budget.Spec) int { return strings.Compare(a.Name, b.Name) })
	for i := 1; i < len(set.Specs); i++ {
		if set.Specs[i].Name == set.Specs[i-1].Name {
			return fault("list", "%q stands twice", set.Specs[i].Name)
		}
	}
	if err := set.Check(); err != nil {
		return fault("list", "%v", err)
	}
	return set, nil
}

// spec is one budget; key is the faulty one where there is an error.
func (b *Budget) spec(most int, members []FleetMember, s *settings.Settings) (key string, p budget.Spec, err error) {
	milli := func(v float64) int64 { return int64(math.Round(v * account.Unit)) }
	fault := func(key, form string, args ...any) (string, budget.Spec, error) {
		return key, p, fmt.Errorf(form, args...)
	}
	share := func(v *float64, otherwise float64) int64 {
		if v == nil {
			return milli(otherwise)
		}
		return milli(*v)
	}
	p = budget.Spec{Name: b.Name, MinPart: account.Unit, Reserve: share(b.Reserve, defaultReserve),
		NewcomerReserve: share(b.Newcomers, defaultNewcomers), Floor: milli(b.Floor)}
	for _, v := range []struct {
		key   string
		value float64
	}{{"rate", b.Rate}, {"burst", b.Burst}, {"places", float64(b.Places)}, {"total", b.Total}, {"window_ms", b.WindowMS}, {"life_s", b.LifeS}} {
		if v.value < 0 || v.value > 1e9 || math.IsNaN(v.value) {
			return fault(v.key, "%g is not from 0 to 1e9", v.value)
		}
	}
	threads, giveUp := 1, monotime.Micros(0)
	for _, c := range s.Classes {
		if b.Class == "" || b.Class == c.Name {
			threads, giveUp = max(threads, c.Threads), max(giveUp, c.ClientTimeout)
		}
	}
	kinds := 0
	if b.Rate > 0 {
		kinds++
		p.Kind, p.Total = account.Rate, budget.Amount{Capacity: milli(b.Burst), Rate: milli(b.Rate)}
	}
	if b.Places > 0 {
		kinds++
		p.Kind, p.Total, p.MaxAttemptDuration = account.Concurrency, budget.Amount{Capacity: milli(float64(b.Places))}, monotime.Micros(b.LifeS*1e6)
		if p.MaxAttemptDuration == 0 {
			p.MaxAttemptDuration = giveUp
		}
	}
	if b.Total > 0 {
		kinds++
		p.Kind, p.Total, p.Window = account.Window, budget.Amount{Capacity: milli(b.Total)}, monotime.Micros(b.WindowMS*1000)
	}
	switch b.Unit {
	case "threads":
		p.MinPart = int64(threads) * account.Unit
	case "work": // one query's, as far as it is told
		p.MinPart = 1
	}
	if b.OnExceeded == "" {
		b.OnExceeded = "wait"
		if p.Kind == account.Rate && !b.Retries && !b.HealthChecks {
			b.OnExceeded = "refuse"
		}
	}
	p.Scope = b.Scope.Encode()
	if b.Without == "none" {
		p.Reserve = 0
	}
	for name, w := range b.Weights {
		p.Weights = append(p.Weights, budget.Weight{Name: name, Parts: milli(w)})
		if !slices.ContainsFunc(members, func(m FleetMember) bool { return m.Name == name }) {
			return fault("weights", "%q is no member", name)
		}
		if w < 0.001 || w > 1000 {
			return fault("weights", "%g is not from 0.001 to 1000", w)
		}
	}
	slices.SortFunc(p.Weights, func(a, b budget.Weight) int { return strings.Compare(a.Name, b.Name) })
	divided := p.Total.Capacity * (1000 - p.Reserve - p.NewcomerReserve) / 1000
	switch {
	case b.Name == "" || len(b.Name) > 64:
		return fault("name", "missing, or above 64 bytes")
	case kinds != 1:
		return fault("rate", "one of rate, places and total is to be set, and %d are", kinds)
	case p.Kind == account.Window && (b.WindowMS < 100 || b.WindowMS > 3_600_000):
		return fault("window_ms", "%g is not from 100 to 3600000", b.WindowMS)
	case p.Kind != account.Window && b.WindowMS != 0:
		return fault("window_ms", "stands without total")
	case p.Kind == account.Concurrency && p.MaxAttemptDuration < giveUp:
		return fault("life_s", "%g s are below the longest give_up, %g s", float64(p.MaxAttemptDuration)/1e6, float64(giveUp)/1e6)
	case p.Kind == account.Rate && divided < int64(most)*p.MinPart:
		return fault("burst", "%g: the part of it that is divided, %g, leaves less than one query's for each of %d front ends", b.Burst,
			float64(divided)/account.Unit, most)
	case b.OnExceeded == "last" && p.Kind != account.Rate:
		return fault("over", "\"last\" stands without rate")
	case b.Without != "" && b.Without != "none" && b.Without != "reserve":
		return fault("without", "%q is neither \"reserve\" nor \"none\"", b.Without)
	case p.Reserve < 0 || p.NewcomerReserve < 0 || p.Floor < 0 || p.Reserve+p.NewcomerReserve+p.Floor*int64(most) > 1000:
		return fault("reserve", "reserve, newcomers and floor for each of %d front ends are more than the whole, or less than nothing", most)
	}
	if _, err := b.Scope.Rule(&p, s); err != nil {
		key, text, _ := strings.Cut(err.Error(), ": ")
		return fault(key, "%s", text)
	}
	return "", p, nil
}
