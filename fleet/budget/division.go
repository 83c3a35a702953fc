package budget

import (
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
)

const (
	// worth is the part of a whole that has to be given back, as one in so many, before others are told of it.
	worth = 64
	// mostNotes bounds how many are told at a time; all others find out with their next report.
	mostNotes = 16
)

// room notes those who could have more of what was given back, once it is worth it.
func (a *Authority) room(from *hold) {
	i := from.i
	if p := a.set.Lookup(i.budget); p == nil || i.freed < max(1, i.of(p.Total)/worth) {
		return
	}
	i.freed = 0
	n := 0
	for k := range i.holds { // from another one on each time
		o := i.holds[(uint64(k)+a.index)%uint64(len(i.holds))]
		if o != from && !o.h.lapsed && o.h.issue != 0 && o.want > i.of(o.cur)+i.of(o.cur)/8 && n < mostNotes {
			a.notes[o.h.who] = true
			n++
		}
	}
}

// of is what of an amount is divided.
func (i *inst) of(m Amount) int64 {
	if i.kind == account.Rate {
		return m.Rate
	}
	return m.Capacity
}

// wants takes over what a holder wants.
func (a *Authority) wants(o *hold, want int64) {
	if want != o.want {
		o.want, o.i.change = want, a.index
	}
}

// kept is what of a budget is kept back for newcomers.
func (p *Spec) kept() Amount {
	return Amount{Capacity: p.Total.Capacity * p.NewcomerReserve / 1000, Rate: p.Total.Rate * p.NewcomerReserve / 1000}
}

// part is what a holder may have of one subject's budget from now on.
func (a *Authority) part(at replication.ApplyContext, o *hold) Amount {
	p, s := a.set.Lookup(o.i.budget), a.specs[o.i.budget]
	if p == nil || !s.open {
		return Amount{}
	}
	o.i.lingers = max(o.i.lingers, p.lingers())
	turn := uint64(0)
	if p.Kind != account.Rate && p.Total.Capacity/p.MinPart < 4*int64(len(o.i.holds)) {
		turn = at.Index / turns
	}
	if o.seen > o.i.change && o.seen > s.changed && o.turn == turn {
		return o.cur
	}
	o.seen, o.turn = at.Index, turn
	shares := a.shares(p, o.i, at.Index)
	share := shares[slices.Index(o.i.holds, o)]
	counted := o.counted()
	// What is free may be less than nothing: the whole was lowered, or a holder that had lapsed has come back and still counts what
	// surely is over as in use. Then nobody may have what he holds, until it is not.
	free := p.Total.Sub(o.i.leased).Sub(s.reserved)
	room := free
	if counted != (Amount{}) {
		room = free.Sub(p.kept()).Max(Amount{})
	}
	most := counted.Add(free.Min(room)).Max(Amount{})
	target := share
	now, then := o.i.of(o.cur), o.i.of(share)
	contested := free.Capacity < 0 || free.Rate < 0
	for j, other := range o.i.holds {
		contested = contested || other.want > other.i.of(other.cur) && other.i.of(other.cur) < other.i.of(shares[j])*15/16
	}
	if !contested && then < now && then >= now-now/8 || then > now && then-now < now/16 {
		target = o.cur // not worth the moving
	}
	cur := target.Min(most)
	if p.Kind != account.Rate {
		cur.Capacity -= cur.Capacity % p.MinPart
	} else if cur.Rate == 0 {
		cur.Capacity = 0
	}
	if cur.Capacity < p.MinPart {
		cur = Amount{}
	}
	if o.i.of(cur) < o.i.of(target)*7/8 { // others have what is this one's
		n := 0
		for k := range o.i.holds {
			j := int((uint64(k) + at.Index) % uint64(len(o.i.holds)))
			other := o.i.holds[j]
			if other != o && !other.h.lapsed && o.i.of(other.counted()) > o.i.of(shares[j])*9/8 && n < mostNotes {
				a.notes[other.h.who] = true
				n++
			}
		}
	}
	return cur
}

// turns is how many places in the record a division stands before parts that can't be divided evenly go to others.
const turns = 256

// shares divides one subject's budget among all who hold or want some.
func (a *Authority) shares(p *Spec, i *inst, index uint64) []Amount {
	pool := p.Total.Sub(a.specs[p.Name].reserved).Sub(p.kept())
	claims := make([]claim, len(i.holds))
	for j, o := range i.holds {
		if o.h.lapsed {
			pool = pool.Sub(o.counted())
			continue
		}
		claims[j] = claim{want: o.want, floor: i.of(p.Total) / 1000 * p.Floor, weight: p.weight(o.h.name)}
	}
	pool = pool.Max(Amount{})
	list := divide(i.of(pool), claims)
	amounts := make([]Amount, len(list))
	if i.kind != account.Rate {
		round(pool.Capacity, p.MinPart, index/turns, claims, list)
		for j, n := range list {
			amounts[j].Capacity = n
		}
		return amounts
	}
	for j, n := range list {
		if n > 0 {
			amounts[j] = Amount{Capacity: max(p.MinPart, mulDiv(pool.Capacity, n, pool.Rate)), Rate: n}
		}
	}
	return amounts
}

// restatic adds up the static parts anew.
func (a *Authority) restatic() {
	for i := range a.set.Specs {
		p := &a.set.Specs[i]
		s := a.specs[p.Name]
		each := p.part(a.set.MaxFrontEnds)
		rest := int64(a.set.MaxFrontEnds)
		real, reserved := s.real, s.reserved
		s.real, s.reserved = Amount{}, Amount{}
		for _, h := range a.holders {
			c := Amount{}
			if q := h.statics[p.Name]; q != nil {
				c = q.counted()
			}
			s.real = s.real.Add(c)
			if h.enrolled {
				rest--
				c = c.Max(each)
			}
			s.reserved = s.reserved.Add(c)
		}
		s.reserved = s.reserved.Add(Amount{Capacity: each.Capacity * rest, Rate: each.Rate * rest})
		if s.real != real || s.reserved != reserved {
			s.changed = a.index
		}
	}
}
