package budget

import (
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
	"chutechute/scheduler"
)

// Proposer proposes commands for a replicated state machine; see fleet.Node.
type Proposer interface {
	// Propose proposes a command and calls done with the response, if there is one. The returned id is never 0.
	Propose(
		now monotime.Micros, stateMachineID, version uint32, body []byte, done func(replication.Response),
	) (id uint64)
	// Cancel abandons a proposal, so that done is not called for it. The command may still be committed.
	Cancel(id uint64)
}

// Consumer spends budgets. In a front end, it is the gateway, behind an enforce.Enforcer.
type Consumer interface {
	// BudgetDemands returns the demand for all subjects' budgets and what is in use of them.
	BudgetDemands(now monotime.Micros) []scheduler.BudgetDemand
	// GrantBudgets sets what may be spent. The consumer must enforce the grant before it starts any more work.
	GrantBudgets(now monotime.Micros, g Grant)
}

// Grant is what a front end may spend from now on.
type Grant struct {
	Set            *Set                     // the budgets, if they or NotInForce have changed; nil otherwise
	NotInForce     []string                 // budgets of the set that are not in force yet
	LeaseExpiresAt monotime.Micros          // when the lease expires
	Leased         []scheduler.BudgetAmount // leased amounts, sorted by budget and subject
	Static         []scheduler.BudgetAmount // static allocations; nil: unchanged
}

// LeaseHolderConfig configures a LeaseHolder.
type LeaseHolderConfig struct {
	Name              string          // of the front end
	Set               *Set            // of this front end's settings
	MinReportInterval monotime.Micros // the shortest time between two reports
}

// leaseHolderPhase is the phase of a LeaseHolder's life.
type leaseHolderPhase int

const (
	phaseActive    leaseHolderPhase = iota
	phaseReleasing                  // it has stopped spending, and the authority has not confirmed that yet
	phaseReleased
)

// LeaseHolder is one front end's part in the division of budgets. It reports demand to the authority, and has the
// consumer enforce what is granted. A lease counts from before it was requested and ends when it expires by this
// machine's clock. Responses to reports from before it ended are ignored.
type LeaseHolder struct {
	config   LeaseHolderConfig
	proposer Proposer
	consumer Consumer
	now      monotime.Micros
	phase    leaseHolderPhase

	set              *Set // in force: the authority's, once known
	encodedSet       []byte
	notInForce       []string // budgets of the set that are not in force yet
	settingsAccepted bool     // the authority has accepted this front end's settings

	grant             uint64 // the grant in force; 0 without a lease
	leaseExpiresAt    monotime.Micros
	leased            map[subjectKey]Amount
	staticGrant       uint64
	statics           []scheduler.BudgetAmount
	reportNumber      uint64 // of the last report
	oldestValidReport uint64 // responses to earlier reports are ignored
	baseReport        uint64 // the last report if its response has arrived, otherwise 0
	reported          map[subjectKey]subjectDemand
	reportedNothing   bool // the last report had no demand, and nothing was leased
	reportedAt        monotime.Micros
	reportDue         bool
	pendingProposal   uint64 // the proposal of a report without a response; 0 if there is none
	demandCheckedAt   monotime.Micros

	Reports          int  // reports sent
	ChangedGrants    int  // responses that changed a grant or extended the lease
	ExpiredLeases    int  // leases that expired before they were renewed
	LateResponses    int  // responses whose lease had expired when they arrived
	SettingsConflict bool // the authority has rejected this front end's settings, see reportResponse
	SettingsOutdated bool // the authority's settings have a newer version than this front end's
}

// NewLeaseHolder returns a lease holder to which nothing has been granted yet.
func NewLeaseHolder(config LeaseHolderConfig, proposer Proposer, consumer Consumer) *LeaseHolder {
	h := &LeaseHolder{
		config:   config,
		proposer: proposer,
		consumer: consumer,
		reported: map[subjectKey]subjectDemand{},
		leased:   map[subjectKey]Amount{},
	}
	h.setSettings(config.Set)
	return h
}

// Start has the consumer enforce the budgets, without any amounts to spend yet.
func (h *LeaseHolder) Start(now monotime.Micros) {
	h.now = now
	h.enforce(h.set)
}

// SetNow sets the current time, for methods that do not take it and for responses that arrive before the next Tick.
func (h *LeaseHolder) SetNow(now monotime.Micros) { h.now = now }

// Reload replaces this front end's own settings. They come into force once the authority has accepted them.
func (h *LeaseHolder) Reload(now monotime.Micros, set *Set) {
	h.now, h.config.Set, h.reportDue = now, set, true
	h.SettingsConflict, h.settingsAccepted = false, false
}

// Notify makes a report due, because the lease holder's share may have changed.
func (h *LeaseHolder) Notify(now monotime.Micros) { h.now, h.reportDue = now, true }

// Release gives back all allocations, so that nothing more may be spent. Released reports whether the authority has
// confirmed it.
func (h *LeaseHolder) Release(now monotime.Micros) {
	h.now = now
	if h.phase != phaseActive {
		return
	}
	h.phase = phaseReleasing
	h.reportDue, h.reportedAt = true, 0
	h.cancelProposal()
	h.statics, h.staticGrant = []scheduler.BudgetAmount{}, 0
	h.dropLease()
}

// Released reports whether the authority has confirmed the release, or no report was ever sent.
func (h *LeaseHolder) Released() bool { return h.phase == phaseReleased || h.reportNumber == 0 }

// Tick advances the time. It ends an expired lease and sends a report if one is due.
func (h *LeaseHolder) Tick(now monotime.Micros) {
	h.now = now
	if h.grant != 0 && now >= h.leaseExpiresAt {
		h.ExpiredLeases++
		h.reportDue = true
		h.dropLease()
	}
	if h.phase == phaseReleased {
		return
	}
	if h.pendingProposal != 0 {
		if now-h.reportedAt < h.set.Lease/2 {
			return
		}
		h.cancelProposal() // the next report contains everything that this one did
		h.reportDue = true
	}
	if now-h.reportedAt < h.minReportInterval() {
		return
	}
	if !h.reportDue {
		h.checkReportDue()
	}
	if h.reportDue {
		h.report()
	}
}

func (h *LeaseHolder) cancelProposal() {
	if h.pendingProposal != 0 {
		h.proposer.Cancel(h.pendingProposal)
		h.pendingProposal = 0
	}
}

// dropLease ends the lease. Responses to the reports sent so far will be ignored.
func (h *LeaseHolder) dropLease() {
	h.grant, h.leaseExpiresAt, h.oldestValidReport = 0, h.now, h.reportNumber+1
	clear(h.leased)
	h.consumer.GrantBudgets(h.now, Grant{LeaseExpiresAt: h.now, Static: h.statics})
}

// leasedAmounts returns all leased amounts, sorted by budget and subject.
func (h *LeaseHolder) leasedAmounts() (list []scheduler.BudgetAmount) {
	for key, amount := range h.leased {
		list = append(list, scheduler.BudgetAmount{Budget: key.budget, Subject: key.subject, Amount: amount})
	}
	slices.SortFunc(list, func(a, b scheduler.BudgetAmount) int {
		return subjectKey{a.Budget, a.Subject}.compare(subjectKey{b.Budget, b.Subject})
	})
	return list
}

func (h *LeaseHolder) setSettings(set *Set) { h.set, h.encodedSet = set, set.Encode() }

// enforce has the consumer enforce another set. Leased amounts and static allocations stay in force as granted.
func (h *LeaseHolder) enforce(set *Set) {
	h.setSettings(set)
	h.consumer.GrantBudgets(h.now, Grant{
		Set:            set,
		NotInForce:     h.notInForce,
		LeaseExpiresAt: h.leaseExpiresAt,
		Leased:         h.leasedAmounts(),
		Static:         h.statics,
	})
}

// LeaseStatus is the state of a front end's lease, for operators.
type LeaseStatus struct {
	Version             uint64          `json:"version"`       // the version of the settings in force
	ConfiguredVersion   uint64          `json:"own_version"`   // the version of this front end's settings
	SettingsConflict    bool            `json:"differs"`       // see LeaseHolder.SettingsConflict
	Grant               uint64          `json:"grant"`         // the log index of the grant in force; 0 without a lease
	LeaseRemainingUS    monotime.Micros `json:"lease_left_us"` // the time until the lease expires
	Reports             int             `json:"reports"`       // see the fields of LeaseHolder, also for the next three
	ChangedGrants       int             `json:"moved"`
	ExpiredLeases       int             `json:"lapsed"`
	LateResponses       int             `json:"too_late"`
	HasStaticAllocation bool            `json:"static_part"`
}

// Status returns the state of the lease.
func (h *LeaseHolder) Status(now monotime.Micros) LeaseStatus {
	return LeaseStatus{
		Version:             h.set.Version,
		ConfiguredVersion:   h.config.Set.Version,
		SettingsConflict:    h.SettingsConflict,
		Grant:               h.grant,
		LeaseRemainingUS:    max(0, h.leaseExpiresAt-now),
		Reports:             h.Reports,
		ChangedGrants:       h.ChangedGrants,
		ExpiredLeases:       h.ExpiredLeases,
		LateResponses:       h.LateResponses,
		HasStaticAllocation: h.staticGrant != 0,
	}
}
