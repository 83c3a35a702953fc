package budget

import (
	"log/slog"
	"slices"

	"chutechute/decide"
	"chutechute/ledger"
)

// Asker puts questions to the record; see fleet.Node.
type Asker interface {
	Ask(now Micros, kind, version uint32, body []byte, done func(ledger.Answer)) (id uint64)
	Cancel(id uint64)
}

// Spender is who spends: it tells what it wants and has in use, and takes what it may. What it is allowed has to be in force
// before it begins anything more.
type Spender interface {
	Demands(now Micros) []decide.Demand
	Allow(now Micros, g Grant)
}

// Grant is what a front end may spend from now on.
type Grant struct {
	Set    *Set     // where it, or Waits, has changed; nil otherwise
	Waits  []string // budgets of the set that are not in force yet
	Until  Micros
	Leased []decide.Part // by budget and subject
	Static []decide.Part
}

// HolderConfig sets a holder up.
type HolderConfig struct {
	Name string
	Set  *Set   // of this front end's settings
	Gap  Micros // the least span between two reports
}

// Holder is one front end's side of the division. It counts a lease from before it asked for it, lets go of it when its time is
// over by its own clock, and takes no answer to a question from before that.
type Holder struct {
	cfg     HolderConfig
	ask     Asker
	spender Spender
	now     Micros
	set     *Set // in force: the record's, once it is known
	text    []byte
	waits   []string // of the set, not in force yet
	agreed  bool     // the record has this front end's settings

	n       uint64 // reports so far
	floor   uint64 // answers to earlier reports count for nothing
	adopted uint64 // the grant in force; 0 without one
	until   Micros
	leased  []decide.Part
	static  uint64
	statics []decide.Part
	pending uint64 // the question that is out; 0 without one
	asked   Micros // of the last report
	soon    bool   // something calls for a report
	looked  Micros // when demand was last looked at
	told    map[key]decide.Demand
	idle    bool // the last report wanted and held nothing
	leaving bool
	left    bool

	// Moved counts grants that changed something, Lapsed leases that ended without another, Late answers that came too late.
	Reports, Moved, Lapsed, Late int
	Differs                      bool // this front end's settings have the record's version and say something else
	Behind                       bool // the record has a newer version
	InForce                      Micros
}

// NewHolder is a front end that may spend nothing yet.
func NewHolder(cfg HolderConfig, ask Asker, spender Spender) *Holder {
	h := &Holder{cfg: cfg, ask: ask, spender: spender, told: map[key]decide.Demand{}}
	h.use(cfg.Set)
	return h
}

func (h *Holder) use(set *Set) { h.set, h.text = set, set.Encode() }

// Reload puts this front end's own settings into another form; they count once the record has taken them.
func (h *Holder) Reload(now Micros, set *Set) {
	h.now, h.cfg.Set, h.soon, h.Differs, h.agreed = now, set, true, false, false
}

// put has the spender go by another set. What is leased stays in force: it is the record's word.
func (h *Holder) put(set *Set) {
	h.use(set)
	h.InForce = h.now
	h.spender.Allow(h.now, Grant{Set: set, Waits: h.waits, Until: h.until, Leased: h.leased, Static: h.statics})
}

// Begin tells the spender of the budgets, of which it has nothing yet.
func (h *Holder) Begin(now Micros) {
	h.now = now
	h.put(h.set)
}

// At sets the time for what comes before the next Tick.
func (h *Holder) At(now Micros) { h.now = now }

// Note tells that the division may change.
func (h *Holder) Note(now Micros) { h.now, h.soon = now, true }

// Leave gives all back: nothing is spent any more. Left says whether the record knows it.
func (h *Holder) Leave(now Micros) {
	h.now = now
	if !h.leaving {
		h.leaving, h.soon, h.asked = true, true, 0
		h.cancel()
		h.statics, h.static = []decide.Part{}, 0
		h.drop()
	}
}

// Left says whether all was given back, or never had.
func (h *Holder) Left() bool { return h.left || h.n == 0 }

func (h *Holder) cancel() {
	if h.pending != 0 {
		h.ask.Cancel(h.pending)
		h.pending = 0
	}
}

// drop lets go of the lease; what was asked before is not taken any more.
func (h *Holder) drop() {
	h.adopted, h.until, h.leased, h.floor = 0, h.now, nil, h.n+1
	h.spender.Allow(h.now, Grant{Until: h.now, Static: h.statics})
}

// Tick lets time pass.
func (h *Holder) Tick(now Micros) {
	h.now = now
	if h.adopted != 0 && now >= h.until {
		h.Lapsed++
		h.soon = true
		h.drop()
	}
	if h.left {
		return
	}
	if h.pending != 0 {
		if now-h.asked < h.set.Lease/2 {
			return
		}
		h.cancel() // the next says anew what is to be known
		h.soon = true
	}
	if now-h.asked < h.cfg.Gap {
		return
	}
	if !h.soon {
		h.look()
	}
	if h.soon {
		h.report()
	}
}

const lookEvery = second / 10

// look sees whether a report is due: in time for the lease, and sooner where demand has moved.
func (h *Holder) look() {
	every := h.set.Lease / 4
	if h.idle {
		every = h.set.Lease
	}
	if h.now-h.asked >= every {
		h.soon = true
		return
	}
	if h.now-h.looked < lookEvery {
		return
	}
	h.looked = h.now
	list := h.spender.Demands(h.now)
	for _, d := range list {
		told, ok := h.told[key{d.Budget, d.Subject}]
		if !ok || d.Want > told.Want+told.Want/4 || d.Want < told.Want/2 {
			h.soon = true
			return
		}
	}
	h.soon = h.idle && len(list) > 0
}

func (h *Holder) report() {
	h.n++
	h.Reports++
	h.soon, h.asked = false, h.now
	clear(h.told)
	if h.adopted == 0 {
		h.floor = h.n
	}
	c := command{Op: opReport, Name: h.cfg.Name, N: h.n, Adopted: h.adopted, Static: h.static, Leaving: h.leaving,
		Version: h.cfg.Set.Version}
	if !h.agreed && !h.Behind {
		c.Set = h.cfg.Set.Encode()
	}
	for _, d := range h.spender.Demands(h.now) {
		if h.leaving {
			d.Want = 0
		}
		c.Wants = append(c.Wants, want{d.Budget, d.Subject, d.Want, d.InUse})
		h.told[key{d.Budget, d.Subject}] = d
	}
	h.idle = len(c.Wants) == 0 && len(h.leased) == 0
	n, asked := h.n, h.now
	h.pending = h.ask.Ask(h.now, 2, 1, c.encode(), func(a ledger.Answer) {
		h.pending = 0
		ans, err := decodeAnswer(a.Body)
		if err != nil || a.Result != ledger.Committed || ans.N != n {
			h.soon = true
			return
		}
		h.take(n, asked, &ans)
	})
}

// take goes by an answer.
func (h *Holder) take(n uint64, asked Micros, ans *answer) {
	if h.leaving {
		h.left = h.left || n >= h.floor && !ans.Late
		return
	}
	h.settings(ans)
	switch {
	case ans.Late:
		h.soon = true
		return
	case ans.Over:
		if h.adopted != 0 {
			h.Lapsed++
		}
		if ans.Unknown {
			h.static, h.statics = 0, []decide.Part{}
		}
		h.soon = true
		h.drop()
		return
	case n < h.floor || ans.Index == 0 && ans.Static == 0:
		return
	}
	until := asked + ans.Lease
	if h.now >= until {
		h.Late++
		h.soon = true
		return
	}
	g := Grant{Until: h.until, Leased: h.leased}
	changed := false
	switch {
	case ans.Index > h.adopted:
		g.Leased = nil
		for _, p := range ans.Parts {
			if !p.Static {
				g.Leased = append(g.Leased, decide.Part{Budget: p.Budget, Subject: p.Subject, Amount: p.Amount})
			}
		}
		h.adopted, h.until, h.leased = ans.Index, until, g.Leased
		h.soon, changed = true, true // the record has to know, above all of what was taken away
	case ans.Index == h.adopted && ans.Index != 0:
		changed = until > h.until
		h.until = max(h.until, until)
	}
	if ans.Static > h.static {
		h.static, h.statics, changed = ans.Static, []decide.Part{}, true
		for _, p := range ans.Parts {
			if p.Static {
				h.statics = append(h.statics, decide.Part{Budget: p.Budget, Amount: p.Amount})
			}
		}
		h.soon = true
	}
	if changed {
		h.Moved++
		g.Until, g.Static = h.until, h.statics
		h.spender.Allow(h.now, g)
	}
}

// settings goes by the record's set, where it is not this front end's.
func (h *Holder) settings(ans *answer) {
	if ans.Differs && !h.Differs {
		slog.Error("budgets: this front end's settings have the version that is in force and say something else, or change what a budget "+
			"bounds: the record's are in force", "version", ans.Version)
	}
	h.Differs = ans.Differs
	if behind := h.cfg.Set.Version < ans.Version; behind != h.Behind {
		h.Behind = behind
		if behind {
			slog.Warn("budgets: a newer version than this front end's settings is in force", "own", h.cfg.Set.Version, "record", ans.Version)
		}
	}
	h.agreed = ans.Version == h.cfg.Set.Version && !ans.Differs
	set := h.cfg.Set
	if len(ans.Set) > 0 {
		var err error
		if set, err = DecodeSet(ans.Set); err != nil {
			slog.Error("budgets: the record's settings can't be read", "error", err)
			return
		}
	} else if !h.agreed {
		return
	}
	if !slices.Equal(h.waits, ans.Waits) || set.Version != h.set.Version || len(ans.Set) > 0 && string(ans.Set) != string(h.text) {
		h.waits = ans.Waits
		h.put(set)
	}
}

// Shown is how a front end stands with the division, for operators.
type Shown struct {
	Version  uint64 `json:"version"`
	Own      uint64 `json:"own_version"`
	Differs  bool   `json:"differs"`
	Adopted  uint64 `json:"grant"`
	LeftUS   Micros `json:"lease_left_us"`
	Reports  int    `json:"reports"`
	Moved    int    `json:"moved"`
	Lapsed   int    `json:"lapsed"`
	TooLate  int    `json:"too_late"`
	Enrolled bool   `json:"static_part"`
}

// Show is how this front end stands.
func (h *Holder) Show(now Micros) Shown {
	return Shown{h.set.Version, h.cfg.Set.Version, h.Differs, h.adopted, max(0, h.until-now), h.Reports, h.Moved, h.Lapsed, h.Late, h.static != 0}
}

// Set is the budgets in force as far as this front end knows.
func (h *Holder) Set() *Set { return h.set }
