package budget

import (
	"log/slog"
	"math"
	"slices"

	"chutechute/fleet/budget/account"
	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Proposer puts questions to the record; see fleet.Node.
type Proposer interface {
	Propose(now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response)) (id uint64)
	Cancel(id uint64)
}

// Consumer is who spends: it tells what it wants and has in use, and takes what it may. What it is allowed has to be in force
// before it begins anything more.
type Consumer interface {
	BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand
	GrantBudgets(now monotime.Micros, g Grant)
}

// Grant is what a front end may spend from now on.
type Grant struct {
	Set        *Set     // where it, or Waits, has changed; nil otherwise
	NotInForce []string // budgets of the set that are not in force yet
	Until      monotime.Micros
	Leased     []scheduler.BudgetAmount // by budget and subject
	Static     []scheduler.BudgetAmount
}

// LeaseHolderConfig sets a holder up.
type LeaseHolderConfig struct {
	Name              string
	Set               *Set            // of this front end's settings
	MinReportInterval monotime.Micros // the least span between two reports
}

// LeaseHolder is one front end's side of the division. It counts a lease from before it asked for it, lets go of it when its time is
// over by its own clock, and takes no answer to a question from before that.
type LeaseHolder struct {
	cfg     LeaseHolderConfig
	ask     Proposer
	spender Consumer
	now     monotime.Micros
	set     *Set // in force: the record's, once it is known
	text    []byte
	waits   []string // of the set, not in force yet
	agreed  bool     // the record has this front end's settings

	n       uint64 // reports so far
	floor   uint64 // answers to earlier reports count for nothing
	adopted uint64 // the grant in force; 0 without one
	until   monotime.Micros
	leased  map[key]Amount
	static  uint64
	statics []scheduler.BudgetAmount
	pending uint64          // the question that is out; 0 without one
	asked   monotime.Micros // of the last report
	soon    bool            // something calls for a report
	looked  monotime.Micros // when demand was last looked at
	told    map[key]want    // what the record has of this front end, once the last report is answered
	base    uint64          // that report; 0 where it is not certain
	idle    bool            // the last report wanted and held nothing
	leaving bool
	left    bool

	// Moved counts grants that changed something, Lapsed leases that ended without another, Late answers that came too late.
	Reports, ChangedGrants, ExpiredLeases, LateResponses int
	SettingsConflict                                     bool // this front end's settings have the record's version and say something else
	SettingsOutdated                                     bool // the record has a newer version
}

// NewLeaseHolder is a front end that may spend nothing yet.
func NewLeaseHolder(cfg LeaseHolderConfig, ask Proposer, spender Consumer) *LeaseHolder {
	h := &LeaseHolder{cfg: cfg, ask: ask, spender: spender, told: map[key]want{}, leased: map[key]Amount{}}
	h.use(cfg.Set)
	return h
}

// list is all that is leased, by budget and subject.
func (h *LeaseHolder) list() (list []scheduler.BudgetAmount) {
	for k, m := range h.leased {
		list = append(list, scheduler.BudgetAmount{Budget: k.budget, Subject: k.subject, Amount: m})
	}
	slices.SortFunc(list, func(a, b scheduler.BudgetAmount) int {
		return key{a.Budget, a.Subject}.compare(key{b.Budget, b.Subject})
	})
	return list
}

func (h *LeaseHolder) use(set *Set) { h.set, h.text = set, set.Encode() }

// Reload puts this front end's own settings into another form; they count once the record has taken them.
func (h *LeaseHolder) Reload(now monotime.Micros, set *Set) {
	h.now, h.cfg.Set, h.soon, h.SettingsConflict, h.agreed = now, set, true, false, false
}

// put has the spender go by another set. What is leased stays in force: it is the record's word.
func (h *LeaseHolder) put(set *Set) {
	h.use(set)
	h.spender.GrantBudgets(h.now, Grant{Set: set, NotInForce: h.waits, Until: h.until, Leased: h.list(), Static: h.statics})
}

// Start tells the spender of the budgets, of which it has nothing yet.
func (h *LeaseHolder) Start(now monotime.Micros) {
	h.now = now
	h.put(h.set)
}

// SetNow sets the time for what comes before the next Tick.
func (h *LeaseHolder) SetNow(now monotime.Micros) { h.now = now }

// Notify tells that the division may change.
func (h *LeaseHolder) Notify(now monotime.Micros) { h.now, h.soon = now, true }

// Release gives all back: nothing is spent any more. Left says whether the record knows it.
func (h *LeaseHolder) Release(now monotime.Micros) {
	h.now = now
	if !h.leaving {
		h.leaving, h.soon, h.asked = true, true, 0
		h.cancel()
		h.statics, h.static = []scheduler.BudgetAmount{}, 0
		h.drop()
	}
}

// Released says whether all was given back, or never had.
func (h *LeaseHolder) Released() bool { return h.left || h.n == 0 }

func (h *LeaseHolder) cancel() {
	if h.pending != 0 {
		h.ask.Cancel(h.pending)
		h.pending = 0
	}
}

// drop lets go of the lease; what was asked before is not taken any more.
func (h *LeaseHolder) drop() {
	h.adopted, h.until, h.floor = 0, h.now, h.n+1
	clear(h.leased)
	h.spender.GrantBudgets(h.now, Grant{Until: h.now, Static: h.statics})
}

// Tick lets time pass.
func (h *LeaseHolder) Tick(now monotime.Micros) {
	h.now = now
	if h.adopted != 0 && now >= h.until {
		h.ExpiredLeases++
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
	if now-h.asked < h.cfg.MinReportInterval+monotime.Micros(len(h.told))*perLine {
		return
	}
	if !h.soon {
		h.look()
	}
	if h.soon {
		h.report()
	}
}

const (
	lookEvery = second / 20
	// perLine stretches the gap between reports by what they have to tell, so that thousands of budgets don't make a storm.
	perLine = 100
)

// look sees whether a report is due: in time for the lease, and sooner where demand has moved.
func (h *LeaseHolder) look() {
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
	for _, d := range h.spender.BudgetDemands(h.now) {
		if told, ok := h.told[key{d.Budget, d.Subject}]; !ok || moved(told.Want, d.Want) {
			h.soon = true
			return
		}
	}
}

// moved says whether what is wanted has changed by more than a quarter and the noise of its measure; see account.Demand.
func moved(told, want int64) bool {
	noise := told/4 + int64(math.Sqrt(float64(told)*account.Unit))
	return want > told+noise || want < told-noise || want == 0 && told != 0
}

// lines is what a report has to tell: all, or the changes to the last one that was answered. What is in use counts only
// where that is more than what is leased.
func (h *LeaseHolder) lines() (list []want) {
	all := h.base == 0
	if all {
		clear(h.told)
	}
	seen := make(map[key]bool, len(h.told))
	tell := func(k key, w want) {
		if old, ok := h.told[k]; !ok || moved(old.Want, w.Want) || old.InUse != w.InUse {
			list = append(list, w)
			h.told[k] = w
		}
	}
	for _, d := range h.spender.BudgetDemands(h.now) {
		k := key{d.Budget, d.Subject}
		w := want{d.Budget, d.Subject, d.Want, d.InUse}
		if h.leaving {
			w.Want = 0
		}
		if w.InUse <= h.leased[k].Capacity {
			w.InUse = 0
		}
		seen[k] = true
		tell(k, w)
	}
	for k := range h.told {
		if !seen[k] {
			list = append(list, want{Budget: k.budget, Subject: k.subject})
			delete(h.told, k)
		}
	}
	slices.SortFunc(list, func(a, b want) int {
		return key{a.Budget, a.Subject}.compare(key{b.Budget, b.Subject})
	})
	return list
}

func (h *LeaseHolder) report() {
	h.n++
	h.Reports++
	h.soon, h.asked = false, h.now
	if h.adopted == 0 {
		h.floor, h.base = h.n, 0
	}
	c := command{Op: opReport, Name: h.cfg.Name, N: h.n, Adopted: h.adopted, Static: h.static, Base: h.base, Leaving: h.leaving,
		Version: h.cfg.Set.Version}
	if !h.agreed && !h.SettingsOutdated {
		c.Set = h.cfg.Set.Encode()
	}
	c.Wants = h.lines()
	h.base = 0 // until it is answered
	h.idle = len(h.told) == 0 && len(h.leased) == 0
	n, asked := h.n, h.now
	h.pending = h.ask.Propose(h.now, 2, 1, c.encode(), func(a replication.Response) {
		h.pending = 0
		ans, err := decodeAnswer(a.Body)
		if err != nil || a.Result != replication.Committed || ans.N != n {
			h.soon = true
			return
		}
		h.take(n, asked, &ans)
	})
}

// take goes by an answer.
func (h *LeaseHolder) take(n uint64, asked monotime.Micros, ans *answer) {
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
			h.ExpiredLeases++
		}
		if ans.Unknown {
			h.static, h.statics = 0, []scheduler.BudgetAmount{}
		}
		h.soon = true
		h.drop()
		return
	case n < h.floor:
		return
	}
	h.base = n
	if ans.Index == 0 && ans.Static == 0 {
		return
	}
	until := asked + ans.Lease
	if h.now >= until {
		h.LateResponses++
		h.soon = true
		return
	}
	changed := false
	switch {
	case ans.Index > h.adopted:
		for _, p := range ans.Parts {
			if k := (key{p.Budget, p.Subject}); p.Static {
				continue
			} else if p.Amount == (Amount{}) {
				delete(h.leased, k)
			} else {
				h.leased[k] = p.Amount
			}
		}
		h.adopted, h.until = ans.Index, until
		h.soon, changed = true, true // the record has to know, above all of what was taken away
	case ans.Index == h.adopted && ans.Index != 0:
		changed = until > h.until
		h.until = max(h.until, until)
	}
	if ans.Static > h.static {
		h.static, h.statics, changed = ans.Static, []scheduler.BudgetAmount{}, true
		for _, p := range ans.Parts {
			if p.Static {
				h.statics = append(h.statics, scheduler.BudgetAmount{Budget: p.Budget, Amount: p.Amount})
			}
		}
		h.soon = true
	}
	if changed {
		h.ChangedGrants++
		h.spender.GrantBudgets(h.now, Grant{Until: h.until, Leased: h.list(), Static: h.statics})
	}
}

// settings goes by the record's set, where it is not this front end's.
func (h *LeaseHolder) settings(ans *answer) {
	if ans.Differs && !h.SettingsConflict {
		slog.Error("budgets: this front end's settings have the version that is in force and say something else, or change what a budget "+
			"bounds: the record's are in force", "version", ans.Version)
	}
	h.SettingsConflict = ans.Differs
	if behind := h.cfg.Set.Version < ans.Version; behind != h.SettingsOutdated {
		h.SettingsOutdated = behind
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

// LeaseStatus is how a front end stands with the division, for operators.
type LeaseStatus struct {
	Version          uint64          `json:"version"`
	OwnVersion       uint64          `json:"own_version"`
	Differs          bool            `json:"differs"`
	Grant            uint64          `json:"grant"`
	LeaseRemainingUS monotime.Micros `json:"lease_left_us"`
	Reports          int             `json:"reports"`
	ChangedGrants    int             `json:"moved"`
	ExpiredLeases    int             `json:"lapsed"`
	LateResponses    int             `json:"too_late"`
	HasStaticPart    bool            `json:"static_part"`
}

// Status is how this front end stands.
func (h *LeaseHolder) Status(now monotime.Micros) LeaseStatus {
	return LeaseStatus{h.set.Version, h.cfg.Set.Version, h.SettingsConflict, h.adopted, max(0, h.until-now), h.Reports, h.ChangedGrants, h.ExpiredLeases, h.LateResponses, h.static != 0}
}
