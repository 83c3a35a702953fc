package budget

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/budget/account"
	"chutechute/ledger"
)

// Options bound the record. All copies of one group have the same.
type Options struct {
	Instances int // budgets of single subjects that may be held at a time
}

// MostInstances is the bound that the program uses.
const MostInstances = 1 << 16

// About is what Note says to a holder whose division may change.
const About = "\x00budget"

// Authority is the record of who holds what, a kind of the ledger.
type Authority struct {
	o       Options
	set     *Set
	text    []byte // of the set
	specs   map[string]*state
	holders []*holder // by incarnation
	insts   map[key]*inst
	notes   map[ledger.Incarnation]bool
	now     Micros
	index   uint64
}

type key struct{ budget, subject string }

func (k key) compare(o key) int {
	return cmp.Or(cmp.Compare(k.budget, o.budget), cmp.Compare(k.subject, o.subject))
}

// keys are those of all insts, in order.
func (a *Authority) keys() []key { return slices.SortedFunc(maps.Keys(a.insts), key.compare) }

// state is a budget's, over all its subjects.
type state struct {
	open     bool
	added    bool   // in service: no earlier set of this record had it, so that nobody goes by it before it is open
	changed  uint64 // the place in the record at which its whole or its static parts changed
	since    Micros // by this machine's clock; no part of the record
	below    Micros // by this machine, where it leads: since when no more is held than the whole; 0 while more is
	reserved Amount // for static parts, those that are not handed out among them
	real     Amount // of static parts that may be in force
}

// holder is one process that holds something.
type holder struct {
	who      ledger.Incarnation
	name     string
	n        uint64 // the last report that was carried out
	issue    uint64 // the grant that its answer told
	before   uint64 // the one that it replaces
	lapsed   bool
	enrolled bool   // it has a static part
	static   uint64 // the grant of the static parts that its answer told
	lease    Micros // the longest that it was told
	statics  map[string]*pair
	holds    []*hold // by budget and subject

	over     Micros // by this machine's clock: when its lease is over for certain
	lapsedAt Micros // by this machine: since when it surely is
	replaced Micros // by this machine: since when its process is no more
}

// pair is what a holder has said that it holds, and what it was told since.
type pair struct{ prev, cur Amount }

func (p *pair) counted() Amount { return p.prev.Max(p.cur) }

// inst is one subject's budget.
type inst struct {
	key
	kind    account.Kind
	lingers Micros
	leased  Amount // what its holds count
	freed   int64  // of it, since others were last told
	holds   []*hold
	change  uint64 // the place in the record at which a division of it may last have come out otherwise
}

// hold is what one holder holds of one subject's budget.
type hold struct {
	h *holder
	i *inst
	pair
	inUse int64
	want  int64
	mark  uint64 // the report that named it
	seen  uint64 // the inst's change at its last division
	turn  uint64 // the same of what can't be divided evenly
}

func (o *hold) counted() Amount {
	c := o.pair.counted()
	c.Much = max(c.Much, o.inUse)
	return c
}

// NewAuthority is an empty record.
func NewAuthority(o Options) *Authority {
	return &Authority{o: o, specs: map[string]*state{}, insts: map[key]*inst{}, notes: map[ledger.Incarnation]bool{}}
}

// ID is the kind's number in commands and snapshots.
func (a *Authority) ID() uint32 { return 2 }

// Name is the kind's name.
func (a *Authority) Name() string { return "budgets" }

// Version is the form of its commands.
func (a *Authority) Version() uint32 { return 1 }

// Apply carries out a committed command.
func (a *Authority) Apply(at ledger.Applied, asker ledger.Incarnation, body []byte) []byte {
	c, err := decodeCommand(body)
	if err != nil {
		return nil
	}
	a.now, a.index = at.Now, at.Index
	defer a.tell(at)
	switch c.Op {
	case opReport:
		ans := a.report(at, asker, &c)
		return ans.encode()
	case opLapse:
		if h := a.of(c.Who); h != nil && h.n == c.N && !h.lapsed {
			a.lapse(h)
		}
	case opFree:
		if h := a.of(c.Who); h != nil && h.n == c.N && h.lapsed {
			a.free(h, c.Span, c.Certain)
		}
	case opOpen:
		if s := a.specs[c.Budget]; s != nil && a.set.Version == c.Version {
			s.open, s.changed = true, at.Index
			for _, h := range a.holders {
				a.notes[h.who] = true
			}
		}
	}
	return nil
}

// tell notes those whose division may change.
func (a *Authority) tell(at ledger.Applied) {
	if len(a.notes) == 0 {
		return
	}
	for _, h := range a.holders {
		if a.notes[h.who] {
			at.Note(h.who, About)
		}
	}
	clear(a.notes)
}

func (a *Authority) place(who ledger.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(a.holders, who, func(h *holder, who ledger.Incarnation) int { return cmp.Compare(h.who, who) })
}

func (a *Authority) of(who ledger.Incarnation) *holder {
	if i, ok := a.place(who); ok {
		return a.holders[i]
	}
	return nil
}

// mostHolders bounds the processes of a name, lost ones among them, that are remembered at a time.
const mostHolders = 4

// report carries out what a holder says, and gives its part anew.
func (a *Authority) report(at ledger.Applied, who ledger.Incarnation, c *command) (ans answer) {
	ans.N = c.N
	a.adopt(at, c, &ans)
	if a.set == nil {
		return ans
	}
	h := a.of(who)
	if h == nil {
		if c.Adopted != 0 || c.Static != 0 || c.Leaving || len(a.holders) >= mostHolders*a.set.Most {
			ans.Over, ans.Unknown = true, true
			return ans
		}
		h = &holder{who: who, name: c.Name, statics: map[string]*pair{}}
		i, _ := a.place(who)
		a.holders = slices.Insert(a.holders, i, h)
	}
	if c.N <= h.n || c.Base != 0 && c.Base != h.n {
		ans.Late = true
		return ans
	}
	h.n = c.N
	divides := true
	switch {
	case c.Adopted == 0: // nothing but what it says that it has in use; what it had is over
		h.lapsed, h.issue, h.before = false, 0, 0
		a.each(h, func(o *hold) { o.pair = pair{} })
	case c.Adopted == h.issue && !h.lapsed:
		a.each(h, func(o *hold) { o.prev = o.cur })
	case c.Adopted == h.before && !h.lapsed: // the answer has not come to it yet
		divides = false
	default:
		ans.Over = true
		return ans
	}
	h.lease = max(h.lease, a.set.Lease)
	h.over = max(h.over, at.Now+certainly(h.lease))
	a.noted(h, c)
	if c.Static == h.static {
		moved := false
		for _, p := range h.statics {
			moved = moved || p.prev != p.cur
			p.prev = p.cur
		}
		if moved {
			a.restatic()
		}
	}
	if c.Leaving {
		clear(h.statics)
		h.enrolled = false
		a.restatic()
		a.sweep(h)
		if len(h.holds) == 0 {
			a.remove(h)
		}
		return ans
	}
	if c.Static == h.static {
		a.enrol(at, h)
	}
	if divides {
		changed := h.issue == 0
		for _, o := range h.holds {
			if cur := a.part(at, o); cur != o.cur {
				changed = true
				a.change(o, func() { o.cur = cur })
			}
		}
		if changed {
			h.before, h.issue = h.issue, at.Index
		}
	}
	ans.Index, ans.Static, ans.Lease, ans.Version = h.issue, h.static, a.set.Lease, a.set.Version
	for _, o := range h.holds {
		if o.cur != o.prev {
			ans.Parts = append(ans.Parts, part{Budget: o.i.budget, Subject: o.i.subject, Amount: o.cur})
		}
	}
	for _, name := range sorted(h.statics) {
		ans.Parts = append(ans.Parts, part{Budget: name, Static: true, Amount: h.statics[name].cur})
	}
	a.sweep(h)
	return ans
}

// adopt takes newer settings over, and says where a holder's are not the record's.
func (a *Authority) adopt(at ledger.Applied, c *command, ans *answer) {
	if len(c.Set) > 0 && (a.set == nil || c.Version > a.set.Version) {
		set, err := DecodeSet(c.Set)
		if err != nil || set.Version != c.Version || !a.follows(set) {
			ans.Differs = true
		} else {
			a.put(set, append([]byte(nil), c.Set...), at.Now)
			for _, h := range a.holders {
				a.notes[h.who] = true
			}
		}
	}
	if a.set == nil {
		return
	}
	ans.Version = a.set.Version
	for _, name := range sorted(a.specs) {
		if s := a.specs[name]; s.added && !s.open {
			ans.Waits = append(ans.Waits, name)
		}
	}
	switch {
	case c.Version != a.set.Version:
		ans.Set = a.text
	case len(c.Set) > 0 && string(c.Set) != string(a.text):
		ans.Differs, ans.Set = true, a.text
	}
}

// follows says whether a set can take the place of the one in force: what a budget bounds stays as it is, as parts of it are
// out.
func (a *Authority) follows(set *Set) bool {
	for i := range set.Specs {
		p := &set.Specs[i]
		if a.set != nil {
			if old := a.set.Of(p.Name); old != nil && (old.Kind != p.Kind || old.Span != p.Span || old.Least != p.Least) {
				return false
			}
		}
	}
	for _, i := range a.insts {
		if p := set.Of(i.budget); p != nil && (p.Kind != i.kind || i.kind == account.Window && p.Span != i.lingers) {
			return false
		}
	}
	return a.set == nil || set.Most >= a.set.Most // static parts are out for as many
}

// put puts a set into force. A budget that is new in it stays closed for a while, as an earlier record may have granted of it.
func (a *Authority) put(set *Set, text []byte, now Micros) {
	specs := map[string]*state{}
	for i := range set.Specs {
		name := set.Specs[i].Name
		if specs[name] = a.specs[name]; specs[name] == nil {
			specs[name] = &state{since: now, added: a.set != nil}
		}
	}
	a.set, a.text, a.specs = set, text, specs
	a.restatic()
	for _, s := range specs {
		s.changed = a.index
	}
}

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

const (
	// worth is the part of a whole that has to be given back, as one in so many, before others are told of it.
	worth = 64
	// mostNotes bounds how many are told at a time; all others find out with their next report.
	mostNotes = 16
)

// room notes those who could have more of what was given back, once it is worth it.
func (a *Authority) room(from *hold) {
	i := from.i
	if p := a.set.Of(i.budget); p == nil || i.freed < max(1, i.of(p.Whole)/worth) {
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
	return m.Much
}

func byKey(o *hold, k key) int { return o.i.key.compare(k) }

// noted takes over what a report wants and has in use.
func (a *Authority) noted(h *holder, c *command) {
	for _, w := range c.Wants {
		k := key{w.Budget, w.Subject}
		j, ok := slices.BinarySearchFunc(h.holds, k, byKey)
		if !ok {
			o := a.hold(h, k)
			if o == nil {
				continue
			}
			h.holds = slices.Insert(h.holds, j, o)
		}
		o := h.holds[j]
		o.mark = c.N
		a.wants(o, w.Want)
		if o.i.kind != account.Rate {
			a.change(o, func() { o.inUse = w.InUse })
		}
	}
	if c.Base != 0 {
		return
	}
	for _, o := range h.holds {
		if o.mark != c.N {
			a.wants(o, 0)
			a.change(o, func() { o.inUse = 0 })
		}
	}
}

// wants takes over what a holder wants.
func (a *Authority) wants(o *hold, want int64) {
	if want != o.want {
		o.want, o.i.change = want, a.index
	}
}

// hold begins one; nil where there is no such budget, or no room for another.
func (a *Authority) hold(h *holder, k key) *hold {
	p := a.set.Of(k.budget)
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
	at, _ := slices.BinarySearchFunc(i.holds, h.who, func(o *hold, who ledger.Incarnation) int { return cmp.Compare(o.h.who, who) })
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

// kept is what of a budget is kept back for newcomers.
func (p *Spec) kept() Amount {
	return Amount{Much: p.Whole.Much * p.Newcomers / 1000, Rate: p.Whole.Rate * p.Newcomers / 1000}
}

// part is what a holder may have of one subject's budget from now on.
func (a *Authority) part(at ledger.Applied, o *hold) Amount {
	p, s := a.set.Of(o.i.budget), a.specs[o.i.budget]
	if p == nil || !s.open {
		return Amount{}
	}
	o.i.lingers = max(o.i.lingers, p.lingers())
	turn := uint64(0)
	if p.Kind != account.Rate && p.Whole.Much/p.Least < 4*int64(len(o.i.holds)) {
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
	free := p.Whole.Sub(o.i.leased).Sub(s.reserved)
	room := free
	if counted != (Amount{}) {
		room = free.Sub(p.kept()).Max(Amount{})
	}
	most := counted.Add(free.Min(room)).Max(Amount{})
	target := share
	now, then := o.i.of(o.cur), o.i.of(share)
	contested := free.Much < 0 || free.Rate < 0
	for j, other := range o.i.holds {
		contested = contested || other.want > other.i.of(other.cur) && other.i.of(other.cur) < other.i.of(shares[j])*15/16
	}
	if !contested && then < now && then >= now-now/8 || then > now && then-now < now/16 {
		target = o.cur // not worth the moving
	}
	cur := target.Min(most)
	if p.Kind != account.Rate {
		cur.Much -= cur.Much % p.Least
	} else if cur.Rate == 0 {
		cur.Much = 0
	}
	if cur.Much < p.Least {
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
	pool := p.Whole.Sub(a.specs[p.Name].reserved).Sub(p.kept())
	claims := make([]claim, len(i.holds))
	for j, o := range i.holds {
		if o.h.lapsed {
			pool = pool.Sub(o.counted())
			continue
		}
		claims[j] = claim{want: o.want, floor: i.of(p.Whole) / 1000 * p.Floor, weight: p.weight(o.h.name)}
	}
	pool = pool.Max(Amount{})
	list := divide(i.of(pool), claims)
	amounts := make([]Amount, len(list))
	if i.kind != account.Rate {
		round(pool.Much, p.Least, index/turns, claims, list)
		for j, n := range list {
			amounts[j].Much = n
		}
		return amounts
	}
	for j, n := range list {
		if n > 0 {
			amounts[j] = Amount{Much: max(p.Least, mulDiv(pool.Much, n, pool.Rate)), Rate: n}
		}
	}
	return amounts
}

// enrol gives a holder its static parts, as far as there is one for it and others have given back what they hold of it.
func (a *Authority) enrol(at ledger.Applied, h *holder) {
	if !h.enrolled {
		n := 0
		for _, o := range a.holders {
			if o.enrolled {
				n++
			}
		}
		if n >= a.set.Most {
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
		want := p.part(a.set.Most)
		if want == q.cur {
			continue
		}
		if most == nil {
			most = map[string]Amount{}
			for _, i := range a.insts {
				most[i.budget] = most[i.budget].Max(i.leased)
			}
		}
		room := p.Whole.Sub(most[p.Name]).Sub(s.real).Max(Amount{})
		if want = want.Min(q.prev.Add(room)); want.Much < p.Least {
			want = Amount{}
		}
		if want != q.cur {
			q.cur, changed = want, true
			a.restatic()
		}
	}
	for name, q := range h.statics {
		if a.set.Of(name) == nil && q.cur != (Amount{}) {
			q.cur, changed = Amount{}, true
		}
	}
	if changed {
		h.static = at.Index
		a.restatic()
	}
}

// restatic adds up the static parts anew.
func (a *Authority) restatic() {
	for i := range a.set.Specs {
		p := &a.set.Specs[i]
		s := a.specs[p.Name]
		each := p.part(a.set.Most)
		rest := int64(a.set.Most)
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
		s.reserved = s.reserved.Add(Amount{Much: each.Much * rest, Rate: each.Rate * rest})
		if s.real != real || s.reserved != reserved {
			s.changed = a.index
		}
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
func ends(lingers Micros, kind account.Kind, certain bool) Micros {
	if certain && kind == account.Places {
		return min(lingers, ledger.Unasked)
	}
	return lingers
}

// free frees what a lapsed holder had begun and that lingers no longer than a span.
func (a *Authority) free(h *holder, span Micros, certain bool) {
	a.each(h, func(o *hold) {
		if ends(o.i.lingers, o.i.kind, certain) <= span {
			o.pair, o.inUse = pair{}, 0
		}
	})
	a.sweep(h)
	if certain {
		for name := range h.statics {
			p := a.set.Of(name)
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
