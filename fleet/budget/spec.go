// Package budget divides what the whole fleet may spend among its front ends, and divides it anew as their demand moves and as
// they come and go. Authority is the record of who holds what, a kind of the ledger; Holder is one front end's side of it, which
// spends from memory (package account). Both are stepped: no I/O, no clock, no goroutines, no map order.
//
// What holds, at all times, for every budget, in terms of what engines see in true time (w is any span, and a spending counts
// when the decision module makes it, at most a quarter of a second and the bytes' way before the engine has it):
//
//   - a rate of r a second with a burst of b: all front ends together spend at most r·w + b;
//   - n places: at every instant at most n are held, those of lost front ends among them, until what holds them is over or can
//     run no more;
//   - a total within a window: at most that, within any window.
//
// It holds through lost, stopped, cut off and new front ends, lost disks, late, doubled and reordered messages, changes of
// leader, two leaders that each believe, and a whole that is lowered in service. What it rests on:
//
//  1. The sum of what front ends may hold is kept in the record, and only a committed command adds to it. A part that was granted
//     counts until its holder has said, in a report that was committed, that it holds another one now; or until its time is
//     over for certain.
//  2. Spans, each on one machine's clock. A holder counts a lease from before it asked for it; who lets it lapse counts from
//     after the command was carried out, and adds the drift and a slack. So clocks may differ by anything and drift by one part in
//     account.ClockDriftDivisor. Beyond that (a machine whose monotonic clock runs slower than that) a holder may spend for as long as
//     its clock is behind; it stops with the first answer, which says that its lease is over.
//  3. What moves from one front end to another moves empty: tokens are gone on one side before the other's first comes, a
//     place is free when what held it is over, and what was spent within a window is free a window later.
//  4. A lost holder's places are free only once its lease is over and all it may have begun has ended: the longest that a holder
//     asks after what holds a place (Life), and the span after which engines end what nobody asks for. Where its name has come
//     back with another process, of which links' challenges tell for certain, that span alone.
//  5. No two processes of one name live at once.
//
// It does not rest on silence, on wall clocks, on an order of messages or on who believes to lead.
package budget

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

// Amount is a part of a budget; see package account.
type Amount = account.Amount

const (
	second = 1_000_000
	// slack is added to each span that has to be over for certain.
	slack = second / 4
)

// certainly is a span by a clock that may run fast, with the slack: after it another machine's span is over.
func certainly(span monotime.Micros) monotime.Micros {
	return span + span/account.ClockDriftDivisor + slack
}

// surely is the longest span that is certainly over when this one has passed.
func surely(span monotime.Micros) monotime.Micros {
	return max(0, span-slack) * account.ClockDriftDivisor / (account.ClockDriftDivisor + 1)
}

// Spec is one budget, as all front ends have it. Where its scope names many (every tenant, every engine), each of them has the
// whole for itself.
type Spec struct {
	Name               string
	Kind               account.Kind
	Total              Amount
	Window             monotime.Micros // of a window
	MaxAttemptDuration monotime.Micros // the longest that a holder asks after what holds a place
	Reserve            int64           // thousandths of the whole that are divided evenly, for good, among as many front ends as there may be
	NewcomerReserve    int64           // thousandths that are kept back for who holds nothing yet
	Floor              int64           // thousandths that each front end with any demand gets first
	MinPart            int64           // the least part that is of use, in thousandths of a unit
	Weights            []Weight
	Scope              []byte // what it applies to, in the words of the settings; no part of the division
}

// Weight is a front end that counts for more or less than others, in thousandths.
type Weight struct {
	Name  string
	Parts int64
}

// lingers is how long what was begun under a lease may go on when that is over.
func (s *Spec) lingers() monotime.Micros {
	switch s.Kind {
	case account.Concurrency:
		return s.MaxAttemptDuration + replication.AbandonTimeout
	case account.Window:
		return s.Window
	}
	return 0
}

// part is the static part of one front end of so many.
func (s *Spec) part(most int) Amount {
	n := int64(most)
	a := Amount{Capacity: s.Total.Capacity * s.Reserve / 1000 / n, Rate: s.Total.Rate * s.Reserve / 1000 / n}
	if a.Capacity < s.MinPart { // it would be of no use to anybody
		return Amount{}
	}
	if s.Kind == account.Concurrency {
		a.Capacity -= a.Capacity % s.MinPart
	}
	return a
}

func (s *Spec) weight(name string) int64 {
	for _, w := range s.Weights {
		if w.Name == name {
			return w.Parts
		}
	}
	return 1000
}

// Set is all budgets in force, of one version of the settings.
type Set struct {
	Version      uint64
	Lease        monotime.Micros
	MaxFrontEnds int    // front ends that there may be
	Specs        []Spec // by name
}

// Bounds of a set.
const (
	MaxSpecs  = 256
	mostName  = 64
	mostScope = 512
	mostWhole = 1_000_000_000_000 // a billion units
)

var errSet = errors.New("budget: not a set of budgets")

// Check says what of a set can't be used.
func (s *Set) Check() error {
	if s.Version == 0 || s.Lease < second/10 || s.Lease > 600*second || s.MaxFrontEnds < 1 || s.MaxFrontEnds > 10000 || len(s.Specs) > MaxSpecs {
		return fmt.Errorf("%w: version %d, lease %d, most %d, %d budgets", errSet, s.Version, s.Lease, s.MaxFrontEnds, len(s.Specs))
	}
	for i := range s.Specs {
		p := &s.Specs[i]
		bad := p.Name == "" || len(p.Name) > mostName || len(p.Scope) > mostScope || len(p.Weights) > s.MaxFrontEnds ||
			p.Kind < account.Rate || p.Kind > account.Window || p.Total.Capacity < 1 || p.Total.Capacity > mostWhole ||
			(p.Kind == account.Rate) != (p.Total.Rate > 0) || p.Total.Rate > mostWhole ||
			p.Reserve < 0 || p.NewcomerReserve < 0 || p.Floor < 0 || p.Reserve+p.NewcomerReserve+p.Floor*int64(s.MaxFrontEnds) > 1000 || p.MinPart < 1 ||
			(p.Kind == account.Window) != (p.Window > 0) || p.Window > 3600*second || p.MaxAttemptDuration < 0 || p.MaxAttemptDuration > 3600*second ||
			i > 0 && s.Specs[i-1].Name >= p.Name
		for _, w := range p.Weights {
			bad = bad || w.Parts < 1 || w.Parts > 1_000_000
		}
		if bad {
			return fmt.Errorf("%w: budget %q", errSet, p.Name)
		}
	}
	return nil
}

// Lookup is the budget of that name; nil without one.
func (s *Set) Lookup(name string) *Spec {
	i, ok := slices.BinarySearchFunc(s.Specs, name, func(p Spec, name string) int {
		switch {
		case p.Name < name:
			return -1
		case p.Name > name:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return &s.Specs[i]
}

// Encode gives the set's bytes.
func (s *Set) Encode() []byte {
	var b []byte
	b = proto.Uint(b, 1, s.Version)
	b = proto.Uint(b, 2, uint64(s.Lease))
	b = proto.Uint(b, 3, uint64(s.MaxFrontEnds))
	for i := range s.Specs {
		p := &s.Specs[i]
		var m []byte
		m = proto.String(m, 1, p.Name)
		m = proto.Uint(m, 2, uint64(p.Kind))
		m = proto.Uint(m, 3, uint64(p.Total.Capacity))
		m = proto.Uint(m, 4, uint64(p.Total.Rate))
		m = proto.Uint(m, 5, uint64(p.Window))
		m = proto.Uint(m, 6, uint64(p.MaxAttemptDuration))
		m = proto.Uint(m, 7, uint64(p.Reserve))
		m = proto.Uint(m, 8, uint64(p.NewcomerReserve))
		m = proto.Uint(m, 9, uint64(p.Floor))
		m = proto.Uint(m, 10, uint64(p.MinPart))
		for _, w := range p.Weights {
			m = proto.Message(m, 11, proto.Uint(proto.String(nil, 1, w.Name), 2, uint64(w.Parts)))
		}
		m = proto.Bytes(m, 12, p.Scope)
		b = proto.Message(b, 4, m)
	}
	return b
}

// DecodeSet reads one, and checks it.
func DecodeSet(b []byte) (*Set, error) {
	s := &Set{}
	err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			s.Version = f.Uint
		case 2:
			s.Lease = bounded(f.Uint)
		case 3:
			s.MaxFrontEnds = int(bounded(f.Uint))
		case 4:
			p := Spec{}
			err := proto.Each(f.Data, p.decode)
			s.Specs = append(s.Specs, p)
			return err
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return s, s.Check()
}

// bounded is a number from a message that is to be no larger than a calculation bears.
func bounded(n uint64) int64 { return int64(min(n, 1<<56)) }

func (p *Spec) decode(f proto.Field) error {
	switch f.Number {
	case 1:
		p.Name = f.Text()
	case 2:
		p.Kind = account.Kind(bounded(f.Uint))
	case 3:
		p.Total.Capacity = bounded(f.Uint)
	case 4:
		p.Total.Rate = bounded(f.Uint)
	case 5:
		p.Window = bounded(f.Uint)
	case 6:
		p.MaxAttemptDuration = bounded(f.Uint)
	case 7:
		p.Reserve = bounded(f.Uint)
	case 8:
		p.NewcomerReserve = bounded(f.Uint)
	case 9:
		p.Floor = bounded(f.Uint)
	case 10:
		p.MinPart = bounded(f.Uint)
	case 11:
		var w Weight
		err := proto.Each(f.Data, func(f proto.Field) error {
			switch f.Number {
			case 1:
				w.Name = f.Text()
			case 2:
				w.Parts = bounded(f.Uint)
			}
			return nil
		})
		p.Weights = append(p.Weights, w)
		return err
	case 12:
		p.Scope = f.Copy()
	}
	return nil
}
