package config

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/budget/enforce"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
)

// Budget is one element of "fleet.budgets.list". It is of one of three kinds: a rate with a burst, a concurrency limit
// ("places"), or a total within a sliding window. Amounts are from 0 to 1e9, in units of Scope.Unit.
type Budget struct {
	Name                string  `json:"name"`      // at most 64 bytes
	Rate                float64 `json:"rate"`      // per second
	Burst               float64 `json:"burst"`     // with a rate: the amount that may be spent at once
	Concurrency         int     `json:"places"`    // maximum in flight
	Total               float64 `json:"total"`     // within any period of WindowMS
	WindowMS            float64 `json:"window_ms"` // with a total only; from 100 to 3,600,000
	MaxAttemptDurationS float64 `json:"life_s"`    // with places: longest attempt; default and minimum: longest give_up
	//lint:ignore SA5008 the tag is read by mapstructure, which knows squash, and not by encoding/json
	enforce.Scope   `json:",squash"`
	StaticShare     *float64           `json:"reserve"`   // share for static allocations, divided evenly; default 0.02
	NewcomerReserve *float64           `json:"newcomers"` // share for front ends without an allocation; default 0.005
	Floor           float64            `json:"floor"`     // share that each front end with demand gets first
	Weights         map[string]float64 `json:"weights"`   // of members by name; from 0.001 to 1000, default 1
	WithoutLease    string             `json:"without"`   // what front ends have without a lease: "reserve" or "none"
}

// Defaults and limits of a budget.
const (
	maxBudgetNameBytes = 64
	maxBudgetAmount    = 1e9

	defaultStaticShare     = 0.02
	defaultNewcomerReserve = 0.005
	minWeight              = 0.001
	maxWeight              = 1000
	minWindowMS            = 100
	maxWindowMS            = 3_600_000

	// permille is the whole of a budget, in the thousandths that budget.Spec uses for shares.
	permille = 1000
	// minWorkAllocation is the smallest useful allocation of work, in thousandths of a millisecond. The estimated work
	// of a query can be that small.
	minWorkAllocation = 1
)

// The values of "without".
const (
	withoutReserve = "reserve"
	withoutNone    = "none"
)

// The values of "over" and "unit" that this package distinguishes. The complete lists are in package enforce.
const (
	overflowRefuse = "refuse"
	overflowWait   = "wait"
	overflowLast   = "last"
	unitThreads    = "threads"
	unitWork       = "work"
)

// thousandths converts an amount or a share to the thousandths that budget.Spec uses.
func thousandths(value float64) int64 { return int64(math.Round(value * account.Unit)) }

// spec checks the budget and converts it to the type of package budget. The element creates the errors for its keys.
// The default of "over" is stored in the budget, so that commands show it.
func (b *Budget) spec(element section, site *budgetSite) (budget.Spec, error) {
	if err := b.checkAmounts(element); err != nil {
		return budget.Spec{}, err
	}
	classes := classLimitsOf(site.settings, b.Class)
	spec := budget.Spec{
		Name:            b.Name,
		MinAllocation:   b.minAllocation(classes.threads),
		StaticShare:     b.staticShare(),
		NewcomerReserve: shareOrDefault(b.NewcomerReserve, defaultNewcomerReserve),
		Floor:           thousandths(b.Floor),
	}
	b.setKind(&spec, classes.clientTimeout)
	b.OnExceeded = cmp.Or(b.OnExceeded, b.defaultOverflow(spec.Kind))
	spec.Scope = b.Scope.Encode()
	var err error
	if spec.Weights, err = b.weights(element, site.members); err != nil {
		return spec, err
	}
	if err := b.checkKind(element, &spec, classes.clientTimeout); err != nil {
		return spec, err
	}
	if err := b.checkDivision(element, &spec, site.maxFrontEnds); err != nil {
		return spec, err
	}
	if _, err := b.Scope.Rule(&spec, site.settings); err != nil {
		return spec, element.addKey(err)
	}
	return spec, nil
}

// checkAmounts returns an error if a number is not in the range that is common to all of them.
func (b *Budget) checkAmounts(element section) error {
	for _, amount := range []struct {
		key   string
		value float64
	}{
		{"rate", b.Rate},
		{"burst", b.Burst},
		{"places", float64(b.Concurrency)},
		{"total", b.Total},
		{"window_ms", b.WindowMS},
		{"life_s", b.MaxAttemptDurationS},
	} {
		if amount.value < 0 || amount.value > maxBudgetAmount || math.IsNaN(amount.value) {
			return element.keyError(amount.key, "%g is not from 0 to 1e9", amount.value)
		}
	}
	return nil
}

// classLimits has the maximum values over the classes that a budget applies to.
type classLimits struct {
	threads       int             // of a query; at least 1
	clientTimeout monotime.Micros // of a query
}

// classLimitsOf returns the limits of the named class, or of all classes if the name is empty.
func classLimitsOf(site *settings.Settings, className string) classLimits {
	limits := classLimits{threads: 1}
	for i := range site.Classes {
		class := &site.Classes[i]
		if className != "" && className != class.Name {
			continue
		}
		limits.threads = max(limits.threads, class.Threads)
		limits.clientTimeout = max(limits.clientTimeout, class.ClientTimeout)
	}
	return limits
}

// minAllocation returns the smallest useful allocation: the amount that one query needs.
func (b *Budget) minAllocation(maxThreads int) int64 {
	switch b.Unit {
	case unitThreads:
		return int64(maxThreads) * account.Unit
	case unitWork:
		return minWorkAllocation
	}
	return account.Unit
}

// shareOrDefault returns the share, or the default if it is nil, in thousandths.
func shareOrDefault(share *float64, defaultShare float64) int64 {
	if share == nil {
		return thousandths(defaultShare)
	}
	return thousandths(*share)
}

// staticShare returns the share, in thousandths, that is divided into static allocations: what front ends have without
// a lease.
func (b *Budget) staticShare() int64 {
	if b.WithoutLease == withoutNone {
		return 0
	}
	return shareOrDefault(b.StaticShare, defaultStaticShare)
}

// countKinds returns how many of the keys that select a kind are set. Exactly one must be.
func (b *Budget) countKinds() (count int) {
	for _, amount := range []float64{b.Rate, float64(b.Concurrency), b.Total} {
		if amount > 0 {
			count++
		}
	}
	return count
}

// setKind sets the kind, the total, and the window or the maximum duration of an attempt.
func (b *Budget) setKind(spec *budget.Spec, clientTimeout monotime.Micros) {
	switch {
	case b.Total > 0:
		spec.Kind = account.Window
		spec.Total = budget.Amount{Capacity: thousandths(b.Total)}
		spec.Window = fromMilliseconds(b.WindowMS)
	case b.Concurrency > 0:
		spec.Kind = account.Concurrency
		spec.Total = budget.Amount{Capacity: thousandths(float64(b.Concurrency))}
		spec.MaxAttemptDuration = cmp.Or(fromSeconds(b.MaxAttemptDurationS), clientTimeout)
	case b.Rate > 0:
		spec.Kind = account.Rate
		spec.Total = budget.Amount{Capacity: thousandths(b.Burst), Rate: thousandths(b.Rate)}
	}
}

// defaultOverflow returns the default of "over": queries of clients that exceed a rate are rejected, all else waits.
func (b *Budget) defaultOverflow(kind account.Kind) string {
	if kind == account.Rate && !b.Retries && !b.HealthChecks {
		return overflowRefuse
	}
	return overflowWait
}

// weights checks the weights of members and returns them, sorted by name.
func (b *Budget) weights(element section, members []FleetMember) (weights []budget.Weight, err error) {
	for name, weight := range b.Weights {
		if !slices.ContainsFunc(members, func(member FleetMember) bool { return member.Name == name }) {
			return nil, element.keyError("weights", "%q is no member", name)
		}
		if weight < minWeight || weight > maxWeight {
			return nil, element.keyError("weights", "%g is not from %g to %d", weight, minWeight, maxWeight)
		}
		weights = append(weights, budget.Weight{FrontEnd: name, Thousandths: thousandths(weight)})
	}
	slices.SortFunc(weights, func(a, b budget.Weight) int { return strings.Compare(a.FrontEnd, b.FrontEnd) })
	return weights, nil
}

// checkKind returns an error if the name is invalid, if the budget does not have exactly one kind, or if keys do not
// fit that kind.
func (b *Budget) checkKind(element section, spec *budget.Spec, clientTimeout monotime.Micros) error {
	kinds := b.countKinds()
	switch {
	case b.Name == "" || len(b.Name) > maxBudgetNameBytes:
		return element.keyError("name", "missing, or above %d bytes", maxBudgetNameBytes)
	case kinds != 1:
		return element.keyError("rate", "one of rate, places and total is to be set, and %d are", kinds)
	case spec.Kind == account.Window && (b.WindowMS < minWindowMS || b.WindowMS > maxWindowMS):
		return element.keyError("window_ms", "%g is not from %d to %d", b.WindowMS, minWindowMS, maxWindowMS)
	case spec.Kind != account.Window && b.WindowMS != 0:
		return element.keyError("window_ms", "stands without total")
	case spec.Kind == account.Concurrency && spec.MaxAttemptDuration < clientTimeout:
		return element.keyError("life_s", "%g s are below the longest give_up, %g s",
			inSeconds(spec.MaxAttemptDuration), inSeconds(clientTimeout))
	}
	return nil
}

// checkDivision returns an error if the budget cannot be divided among maxFrontEnds front ends, or if keys that control
// the division are invalid.
func (b *Budget) checkDivision(element section, spec *budget.Spec, maxFrontEnds int) error {
	reserved := spec.StaticShare + spec.NewcomerReserve
	floors := spec.Floor * int64(maxFrontEnds)
	divided := spec.Total.Capacity * (permille - reserved) / permille
	switch {
	case spec.Kind == account.Rate && divided < int64(maxFrontEnds)*spec.MinAllocation:
		return element.keyError("burst",
			"%g: the part of it that is divided, %g, leaves less than one query's for each of %d front ends",
			b.Burst, float64(divided)/account.Unit, maxFrontEnds)
	case b.OnExceeded == overflowLast && spec.Kind != account.Rate:
		return element.keyError("over", "\"last\" stands without rate")
	case b.WithoutLease != "" && b.WithoutLease != withoutNone && b.WithoutLease != withoutReserve:
		return element.keyError("without", "%q is neither \"reserve\" nor \"none\"", b.WithoutLease)
	case spec.StaticShare < 0 || spec.NewcomerReserve < 0 || spec.Floor < 0 || reserved+floors > permille:
		return element.keyError("reserve",
			"reserve, newcomers and floor for each of %d front ends are more than the whole, or less than nothing",
			maxFrontEnds)
	}
	return nil
}
