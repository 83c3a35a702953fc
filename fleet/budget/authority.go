package budget

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Options bound the record. All copies of one group have the same.
type Options struct {
	Instances int // budgets of single subjects that may be held at a time
}

// MaxInstances is the bound that the program uses.
const MaxInstances = 1 << 16

// NotificationTopic is what Note says to a holder whose division may change.
const NotificationTopic = "\x00budget"

// Authority is the record of who holds what, a kind of the ledger.
type Authority struct {
	o       Options
	set     *Set
	text    []byte // of the set
	specs   map[string]*state
	holders []*holder // by incarnation
	insts   map[key]*inst
	notes   map[replication.Incarnation]bool
	now     monotime.Micros
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
	added    bool            // in service: no earlier set of this record had it, so that nobody goes by it before it is open
	changed  uint64          // the place in the record at which its whole or its static parts changed
	since    monotime.Micros // by this machine's clock; no part of the record
	below    monotime.Micros // by this machine, where it leads: since when no more is held than the whole; 0 while more is
	reserved Amount          // for static parts, those that are not handed out among them
	real     Amount          // of static parts that may be in force
}

// holder is one process that holds something.
type holder struct {
	who      replication.Incarnation
	name     string
	n        uint64 // the last report that was carried out
	issue    uint64 // the grant that its answer told
	before   uint64 // the one that it replaces
	lapsed   bool
	enrolled bool            // it has a static part
	static   uint64          // the grant of the static parts that its answer told
	lease    monotime.Micros // the longest that it was told
	statics  map[string]*pair
	holds    []*hold // by budget and subject

	over     monotime.Micros // by this machine's clock: when its lease is over for certain
	lapsedAt monotime.Micros // by this machine: since when it surely is
	replaced monotime.Micros // by this machine: since when its process is no more
}

// pair is what a holder has said that it holds, and what it was told since.
type pair struct{ prev, cur Amount }

func (p *pair) counted() Amount { return p.prev.Max(p.cur) }

// inst is one subject's budget.
type inst struct {
	key
	kind    account.Kind
	lingers monotime.Micros
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
	c.Capacity = max(c.Capacity, o.inUse)
	return c
}

// NewAuthority is an empty record.
func NewAuthority(o Options) *Authority {
	return &Authority{o: o, specs: map[string]*state{}, insts: map[key]*inst{}, notes: map[replication.Incarnation]bool{}}
}

// ID is the kind's number in commands and snapshots.
func (a *Authority) ID() uint32 { return 2 }

// Name is the kind's name.
func (a *Authority) Name() string { return "budgets" }

// Version is the form of its commands.
func (a *Authority) Version() uint32 { return 1 }

// Apply carries out a committed command.
func (a *Authority) Apply(at replication.ApplyContext, asker replication.Incarnation, body []byte) []byte {
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
func (a *Authority) tell(at replication.ApplyContext) {
	if len(a.notes) == 0 {
		return
	}
	for _, h := range a.holders {
		if a.notes[h.who] {
			at.Notify(h.who, NotificationTopic)
		}
	}
	clear(a.notes)
}

// report carries out what a holder says, and gives its part anew.
func (a *Authority) report(at replication.ApplyContext, who replication.Incarnation, c *command) (ans answer) {
	ans.N = c.N
	a.adopt(at, c, &ans)
	if a.set == nil {
		return ans
	}
	h := a.of(who)
	if h == nil {
		if c.Adopted != 0 || c.Static != 0 || c.Leaving || len(a.holders) >= mostHolders*a.set.MaxFrontEnds {
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
func (a *Authority) adopt(at replication.ApplyContext, c *command, ans *answer) {
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
			if old := a.set.Lookup(p.Name); old != nil && (old.Kind != p.Kind || old.Window != p.Window || old.MinPart != p.MinPart) {
				return false
			}
		}
	}
	for _, i := range a.insts {
		if p := set.Lookup(i.budget); p != nil && (p.Kind != i.kind || i.kind == account.Window && p.Window != i.lingers) {
			return false
		}
	}
	return a.set == nil || set.MaxFrontEnds >= a.set.MaxFrontEnds // static parts are out for as many
}

// put puts a set into force. A budget that is new in it stays closed for a while, as an earlier record may have granted of it.
func (a *Authority) put(set *Set, text []byte, now monotime.Micros) {
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
