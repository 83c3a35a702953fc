package budget

import (
	"cmp"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

func (a *Authority) place(who replication.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(a.holders, who, func(h *holder, who replication.Incarnation) int { return cmp.Compare(h.who, who) })
}

func (a *Authority) of(who replication.Incarnation) *holder {
	if i, ok := a.place(who); ok {
		return a.holders[i]
	}
	return nil
}

// mostHolders bounds the processes of a name, lost ones among them, that are remembered at a time.
const mostHolders = 4

// each changes all that a holder holds, and keeps the sums.
func (a *Authority) each(h *holder, do func(*hold)) {
	for _, o := range h.holds {
		a.change(o, func() { do(o) })
	}
}

func (a *Authority) change(o *hold, do func()) {
	before := o.counted()
	do()
	after := o.counted()
	if after == before {
		return
	}
	o.i.leased, o.i.change = o.i.leased.Add(after).Sub(before), a.index
	if less := o.i.of(before) - o.i.of(after); less > 0 {
		o.i.freed += less
		a.room(o)
	}
}

func byKey(o *hold, k key) int { return o.i.key.compare(k) }

// hold begins one; nil where there is no such budget, or no room for another.
func (a *Authority) hold(h *holder, k key) *hold {
	p := a.set.Lookup(k.budget)
	i := a.insts[k]
	if p == nil || len(k.subject) > mostName || i == nil && len(a.insts) >= a.o.Instances {
		return nil
	}
	if i == nil {
		i = &inst{key: k, kind: p.Kind}
		a.insts[k] = i
	}
	i.lingers = max(i.lingers, p.lingers())
	o := &hold{h: h, i: i}
	at, _ := slices.BinarySearchFunc(i.holds, h.who, func(o *hold, who replication.Incarnation) int { return cmp.Compare(o.h.who, who) })
	i.holds = slices.Insert(i.holds, at, o)
	return o
}

// sweep forgets what a holder neither holds nor wants.
func (a *Authority) sweep(h *holder) {
	h.holds = slices.DeleteFunc(h.holds, func(o *hold) bool {
		if o.counted() != (Amount{}) || o.want != 0 && !h.lapsed {
			return false
		}
		i := o.i
		i.holds = slices.DeleteFunc(i.holds, func(other *hold) bool { return other == o })
		if len(i.holds) == 0 {
			delete(a.insts, i.key)
		}
		return true
	})
}

func (a *Authority) remove(h *holder) {
	if i, ok := a.place(h.who); ok {
		a.holders = slices.Delete(a.holders, i, i+1)
	}
}

// enrol gives a holder its static parts, as far as there is one for it and others have given back what they hold of it.
func (a *Authority) enrol(at replication.ApplyContext, h *holder) {
	if !h.enrolled {
		n := 0
		for _, o := range a.holders {
			if o.enrolled {
				n++
			}
		}
		if n >= a.set.MaxFrontEnds {
			return
		}
		h.enrolled = true
	}
	changed := false
	var most map[string]Amount // that is leased of one subject
	for i := range a.set.Specs {
		p := &a.set.Specs[i]
		s := a.specs[p.Name]
		if !s.open {
			continue
		}
		q := h.statics[p.Name]
		if q == nil {
			q = &pair{}
			h.statics[p.Name] = q
		}
		want := p.part(a.set.MaxFrontEnds)
		if want == q.cur {
			continue
		}
		if most == nil {
			most = map[string]Amount{}
			for _, i := range a.insts {
				most[i.budget] = most[i.budget].Max(i.leased)
			}
		}
		room := p.Total.Sub(most[p.Name]).Sub(s.real).Max(Amount{})
		if want = want.Min(q.prev.Add(room)); want.Capacity < p.MinPart {
			want = Amount{}
		}
		if want != q.cur {
			q.cur, changed = want, true
			a.restatic()
		}
	}
	for name, q := range h.statics {
		if a.set.Lookup(name) == nil && q.cur != (Amount{}) {
			q.cur, changed = Amount{}, true
		}
	}
	if changed {
		h.static = at.Index
		a.restatic()
	}
}

// lapse ends a holder's lease: rates are free, and what it may have begun stays counted.
func (a *Authority) lapse(h *holder) {
	h.lapsed, h.issue, h.before = true, 0, 0
	h.lapsedAt = a.now
	a.each(h, func(o *hold) {
		c := o.counted()
		if o.i.kind == account.Rate {
			c = Amount{}
		}
		o.pair, o.inUse, o.want = pair{prev: c}, 0, 0
	})
	a.sweep(h)
	a.gone(h)
}

// ends is how long what lingers does so at most: that of places ends sooner where its process is certainly no more.
func ends(lingers monotime.Micros, kind account.Kind, certain bool) monotime.Micros {
	if certain && kind == account.Concurrency {
		return min(lingers, replication.AbandonTimeout)
	}
	return lingers
}

// free frees what a lapsed holder had begun and that lingers no longer than a span.
func (a *Authority) free(h *holder, span monotime.Micros, certain bool) {
	a.each(h, func(o *hold) {
		if ends(o.i.lingers, o.i.kind, certain) <= span {
			o.pair, o.inUse = pair{}, 0
		}
	})
	a.sweep(h)
	if certain {
		for name := range h.statics {
			p := a.set.Lookup(name)
			if p == nil || ends(p.lingers(), p.Kind, certain) <= span {
				delete(h.statics, name)
			}
		}
		if len(h.statics) == 0 {
			h.enrolled = false
		}
		a.restatic()
	}
	a.gone(h)
}

// gone forgets a lapsed holder of which nothing is left.
func (a *Authority) gone(h *holder) {
	if h.lapsed && len(h.holds) == 0 && !h.enrolled {
		a.remove(h)
	}
}
