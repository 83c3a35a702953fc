package budget

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Amount is a part of a budget; see package account.
type Amount = account.Amount

// Spec is the configuration of one budget. If its scope covers many subjects (every tenant or every engine), the total
// applies to each of them separately.
type Spec struct {
	Name               string
	Kind               account.Kind
	Total              Amount          // of all front ends together
	Window             monotime.Micros // the length of the sliding window; of Window budgets only
	MaxAttemptDuration monotime.Micros // Concurrency: the longest time for which an attempt is polled
	StaticShare        int64           // thousandths of the total that are divided evenly as static allocations
	NewcomerReserve    int64           // thousandths of the total reserved for front ends without an allocation
	Floor              int64           // thousandths of the total that each front end with demand gets first
	MinAllocation      int64           // the smallest usable allocation, in thousandths of a unit
	Weights            []Weight
	Scope              []byte // what the budget applies to, as in the settings; the division ignores it
}

// Weight gives a front end a larger or a smaller share.
type Weight struct {
	FrontEnd    string // the front end's name
	Thousandths int64  // thousandths of the default weight
}

// drainTime returns for how long expenses under a lease still count after the lease has expired.
func (s *Spec) drainTime() monotime.Micros {
	switch s.Kind {
	case account.Concurrency:
		return s.MaxAttemptDuration + replication.AbandonTimeout
	case account.Window:
		return s.Window
	}
	return 0
}

// permille is a whole in thousandths, which is the unit of shares.
const permille = 1000

// thousandths returns n thousandths of an amount.
func thousandths(amount Amount, n int64) Amount {
	return Amount{Capacity: amount.Capacity * n / permille, Rate: amount.Rate * n / permille}
}

// newcomerReserve returns the part of the total that is reserved for front ends without an allocation.
func (s *Spec) newcomerReserve() Amount { return thousandths(s.Total, s.NewcomerReserve) }

// staticAllocation returns the static allocation of each front end if there are maxFrontEnds of them.
func (s *Spec) staticAllocation(maxFrontEnds int) Amount {
	n := int64(maxFrontEnds)
	amount := thousandths(s.Total, s.StaticShare)
	amount = Amount{Capacity: amount.Capacity / n, Rate: amount.Rate / n}
	if amount.Capacity < s.MinAllocation {
		return Amount{}
	}
	if s.Kind == account.Concurrency {
		amount.Capacity -= amount.Capacity % s.MinAllocation
	}
	return amount
}

// weight returns a front end's weight, in thousandths.
func (s *Spec) weight(frontEnd string) int64 {
	for _, w := range s.Weights {
		if w.FrontEnd == frontEnd {
			return w.Thousandths
		}
	}
	return permille
}

// Set is one version of the settings of all budgets.
type Set struct {
	Version      uint64
	Lease        monotime.Micros // the duration of leases
	MaxFrontEnds int             // the largest number of front ends at a time
	Specs        []Spec          // sorted by name
}

// MaxSpecs is the largest number of budgets in a Set.
const MaxSpecs = 256

// Limits of the settings.
const (
	minLease       = monotime.Second / 10
	maxLease       = 600 * monotime.Second
	maxFrontEnds   = 10_000
	maxNameLength  = 64                // bytes, of budgets and subjects
	maxScopeLength = 512               // bytes
	maxTotal       = 1_000_000_000_000 // thousandths of a unit, per second for rates
	maxWindow      = 3600 * monotime.Second
	maxAttempt     = 3600 * monotime.Second
	maxWeight      = 1_000_000 // thousandths
)

// ErrInvalidSet is returned for a Set that cannot be used.
var ErrInvalidSet = errors.New("budget: invalid set of budgets")

// Check returns nil for a valid set, and otherwise an error that wraps ErrInvalidSet and describes the problem.
func (s *Set) Check() error {
	valid := s.Version != 0 && s.Lease >= minLease && s.Lease <= maxLease &&
		s.MaxFrontEnds >= 1 && s.MaxFrontEnds <= maxFrontEnds && len(s.Specs) <= MaxSpecs
	if !valid {
		return fmt.Errorf("%w: version %d, lease %d us, %d front ends, %d budgets",
			ErrInvalidSet, s.Version, s.Lease, s.MaxFrontEnds, len(s.Specs))
	}
	for i := range s.Specs {
		spec := &s.Specs[i]
		ordered := i == 0 || s.Specs[i-1].Name < spec.Name
		if !ordered || !spec.valid(s.MaxFrontEnds) {
			return fmt.Errorf("%w: budget %q", ErrInvalidSet, spec.Name)
		}
	}
	return nil
}

// valid reports whether a budget can be divided among up to maxFrontEnds front ends.
func (s *Spec) valid(maxFrontEnds int) bool {
	return s.Name != "" && len(s.Name) <= maxNameLength && len(s.Scope) <= maxScopeLength &&
		s.validLimit() && s.validShares(maxFrontEnds) && s.validWeights(maxFrontEnds)
}

// validLimit reports whether the total and the time spans are within their limits and match the budget's kind.
func (s *Spec) validLimit() bool {
	return s.Kind >= account.Rate && s.Kind <= account.Window &&
		s.Total.Capacity >= 1 && s.Total.Capacity <= maxTotal &&
		(s.Kind == account.Rate) == (s.Total.Rate > 0) && s.Total.Rate <= maxTotal &&
		(s.Kind == account.Window) == (s.Window > 0) && s.Window <= maxWindow &&
		s.MaxAttemptDuration >= 0 && s.MaxAttemptDuration <= maxAttempt
}

// validShares reports whether static allocations, newcomer reserve and floors add up to no more than the total.
func (s *Spec) validShares(maxFrontEnds int) bool {
	return s.StaticShare >= 0 && s.NewcomerReserve >= 0 && s.Floor >= 0 && s.MinAllocation >= 1 &&
		s.StaticShare+s.NewcomerReserve+s.Floor*int64(maxFrontEnds) <= permille
}

func (s *Spec) validWeights(maxFrontEnds int) bool {
	return len(s.Weights) <= maxFrontEnds && !slices.ContainsFunc(s.Weights, func(w Weight) bool {
		return w.Thousandths < 1 || w.Thousandths > maxWeight
	})
}

// Lookup returns the named budget, or nil if there is none.
func (s *Set) Lookup(name string) *Spec {
	i, ok := slices.BinarySearchFunc(s.Specs, name, func(spec Spec, name string) int {
		return cmp.Compare(spec.Name, name)
	})
	if !ok {
		return nil
	}
	return &s.Specs[i]
}
