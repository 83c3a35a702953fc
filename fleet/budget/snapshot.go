package budget

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// DueCommands gives what has lapsed and what is over, by this machine's clock.
func (a *Authority) DueCommands(now monotime.Micros, seen replication.FailureDetector) (list [][]byte) {
	if a.set == nil {
		return nil
	}
	put := func(c command) { list = append(list, c.encode()) }
	for _, name := range sorted(a.specs) {
		s := a.specs[name]
		if !s.open && now-s.since >= a.quiet(name) {
			put(command{Op: opOpen, Budget: name, Version: a.set.Version})
		}
		switch above := a.above(a.set.Lookup(name)); {
		case above:
			s.below = 0
		case s.below == 0:
			s.below = now
			slog.Info("budgets: in force", "budget", name, "version", a.set.Version)
		}
	}
	for _, h := range a.holders {
		if h.replaced == 0 && seen.Superseded(h.who) {
			h.replaced = now
		}
		switch {
		case !h.lapsed && (now >= h.over || h.replaced != 0):
			put(command{Op: opLapse, Who: h.who, N: h.n})
		case h.lapsed && h.replaced != 0 && a.leaves(h, now-h.replaced, true):
			put(command{Op: opFree, Who: h.who, N: h.n, Span: surely(now - h.replaced), Certain: true})
		case h.lapsed && a.leaves(h, now-h.lapsedAt, false):
			put(command{Op: opFree, Who: h.who, N: h.n, Span: surely(now - h.lapsedAt)})
		}
	}
	return list
}

// quiet is how long a new record holds a budget back: what an earlier one granted of it may be in force until then.
func (a *Authority) quiet(name string) monotime.Micros {
	p := a.set.Lookup(name)
	return certainly(a.set.Lease) + certainly(p.lingers())
}

// leaves says whether a span frees something that a lapsed holder had begun.
func (a *Authority) leaves(h *holder, span monotime.Micros, certain bool) bool {
	over := func(lingers monotime.Micros, kind account.Kind) bool {
		return span >= certainly(ends(lingers, kind, certain))
	}
	for _, o := range h.holds {
		if over(o.i.lingers, o.i.kind) {
			return true
		}
	}
	if !certain {
		return false
	}
	for name := range h.statics {
		p := a.set.Lookup(name)
		if p == nil || over(p.lingers(), p.Kind) {
			return true
		}
	}
	return h.enrolled && len(h.statics) == 0
}

// AppendSnapshot adds the whole state.
func (a *Authority) AppendSnapshot(b []byte) []byte {
	if a.set == nil {
		return b
	}
	b = proto.Bytes(b, 1, a.text)
	for _, name := range sorted(a.specs) {
		s := a.specs[name]
		m := proto.String(nil, 1, name)
		m = proto.Bool(m, 2, s.open)
		m = proto.Uint(m, 3, s.changed)
		m = proto.Bool(m, 4, s.added)
		b = proto.Message(b, 2, m)
	}
	for _, k := range a.keys() {
		i := a.insts[k]
		m := proto.String(nil, 1, i.budget)
		m = proto.String(m, 2, i.subject)
		m = proto.Uint(m, 3, uint64(i.kind))
		m = proto.Uint(m, 4, uint64(i.lingers))
		m = proto.Uint(m, 5, i.change)
		m = proto.Uint(m, 6, uint64(i.freed))
		b = proto.Message(b, 3, m)
	}
	for _, h := range a.holders {
		b = proto.Message(b, 4, h.encode())
	}
	return b
}

func (h *holder) encode() []byte {
	var b []byte
	b = proto.Uint(b, 1, uint64(h.who))
	b = proto.String(b, 2, h.name)
	b = proto.Uint(b, 3, h.n)
	b = proto.Uint(b, 4, h.issue)
	b = proto.Uint(b, 5, h.before)
	b = proto.Bool(b, 6, h.lapsed)
	b = proto.Bool(b, 7, h.enrolled)
	b = proto.Uint(b, 8, h.static)
	b = proto.Uint(b, 9, uint64(h.lease))
	for _, name := range sorted(h.statics) {
		b = proto.Message(b, 11, h.statics[name].encode(proto.String(nil, 1, name)))
	}
	for _, o := range h.holds {
		m := proto.String(nil, 1, o.i.budget)
		m = proto.String(m, 2, o.i.subject)
		m = o.pair.encode(m)
		m = proto.Uint(m, 7, uint64(o.inUse))
		m = proto.Uint(m, 8, uint64(o.want))
		m = proto.Uint(m, 9, o.mark)
		m = proto.Uint(m, 10, o.seen)
		m = proto.Uint(m, 11, o.turn)
		b = proto.Message(b, 12, m)
	}
	return b
}

func (p *pair) encode(b []byte) []byte {
	b = proto.Uint(b, 3, uint64(p.prev.Capacity))
	b = proto.Uint(b, 4, uint64(p.prev.Rate))
	b = proto.Uint(b, 5, uint64(p.cur.Capacity))
	return proto.Uint(b, 6, uint64(p.cur.Rate))
}

func (p *pair) decode(f proto.Field) {
	switch f.Number {
	case 3:
		p.prev.Capacity = bounded(f.Uint)
	case 4:
		p.prev.Rate = bounded(f.Uint)
	case 5:
		p.cur.Capacity = bounded(f.Uint)
	case 6:
		p.cur.Rate = bounded(f.Uint)
	}
}

// Restore takes a snapshot over. Its spans begin now, which is later than they did: nothing lapses or opens early.
func (a *Authority) Restore(b []byte, now monotime.Micros) error {
	*a = *NewAuthority(a.o)
	a.now = now
	states := map[string]*state{}
	err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			a.text = f.Copy()
			set, err := DecodeSet(a.text)
			a.set = set
			return err
		case 2:
			s, name := &state{since: now}, ""
			err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					name = f.Text()
				case 2:
					s.open = f.Uint != 0
				case 3:
					s.changed = f.Uint
				case 4:
					s.added = f.Uint != 0
				}
				return nil
			})
			states[name] = s
			return err
		case 3:
			i := &inst{}
			err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					i.budget = f.Text()
				case 2:
					i.subject = f.Text()
				case 3:
					i.kind = account.Kind(bounded(f.Uint))
				case 4:
					i.lingers = bounded(f.Uint)
				case 5:
					i.change = f.Uint
				case 6:
					i.freed = bounded(f.Uint)
				}
				return nil
			})
			a.insts[i.key] = i
			return err
		case 4:
			return a.decodeHolder(f.Data, now)
		}
		return nil
	})
	if err != nil || a.set == nil {
		return err
	}
	for i := range a.set.Specs {
		name := a.set.Specs[i].Name
		if a.specs[name] = states[name]; states[name] == nil {
			a.specs[name] = &state{since: now}
		}
	}
	changed := map[string]uint64{}
	for name, s := range a.specs {
		changed[name] = s.changed
	}
	a.restatic()
	for name, s := range a.specs {
		s.changed = changed[name]
	}
	return nil
}

func (a *Authority) decodeHolder(b []byte, now monotime.Micros) error {
	h := &holder{statics: map[string]*pair{}, lapsedAt: now}
	err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			h.who = replication.Incarnation(f.Uint)
		case 2:
			h.name = f.Text()
		case 3:
			h.n = f.Uint
		case 4:
			h.issue = f.Uint
		case 5:
			h.before = f.Uint
		case 6:
			h.lapsed = f.Uint != 0
		case 7:
			h.enrolled = f.Uint != 0
		case 8:
			h.static = f.Uint
		case 9:
			h.lease = bounded(f.Uint)
		case 11:
			p, name := &pair{}, ""
			err := proto.Each(f.Data, func(f proto.Field) error {
				if f.Number == 1 {
					name = f.Text()
				}
				p.decode(f)
				return nil
			})
			h.statics[name] = p
			return err
		case 12:
			o, k := &hold{h: h}, key{}
			err := proto.Each(f.Data, func(f proto.Field) error {
				switch f.Number {
				case 1:
					k.budget = f.Text()
				case 2:
					k.subject = f.Text()
				case 7:
					o.inUse = bounded(f.Uint)
				case 8:
					o.want = bounded(f.Uint)
				case 9:
					o.mark = f.Uint
				case 10:
					o.seen = f.Uint
				case 11:
					o.turn = f.Uint
				}
				o.pair.decode(f)
				return nil
			})
			if o.i = a.insts[k]; err != nil || o.i == nil {
				return cmp.Or(err, proto.ErrForm)
			}
			o.i.holds = append(o.i.holds, o) // holders come in order, so these do
			o.i.leased = o.i.leased.Add(o.counted())
			h.holds = append(h.holds, o)
			return nil
		}
		return nil
	})
	h.over = now + certainly(h.lease)
	a.holders = append(a.holders, h)
	return err
}
