package budget

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Options are the limits of an Authority. All replicas of the log must have the same options.
type Options struct {
	MaxSubjects int // how many subjects may have allocations at a time, over all budgets
}

// MaxSubjects is the value of Options.MaxSubjects that the program uses.
const MaxSubjects = 1 << 16

// NotificationTopic is the topic under which lease holders are notified that their share may have changed.
const NotificationTopic = "\x00budget"

// Authority is the replicated state machine that records the grants of all lease holders. With each report it
// recomputes the allocations of the lease holder that sent it. It implements replication.StateMachine.
type Authority struct {
	options    Options
	set        *Set   // in force; nil before the first report
	encodedSet []byte // the set as it was received
	budgets    map[string]*budgetState
	holders    []*holderRecord // sorted by incarnation
	subjects   map[subjectKey]*subjectBudget
	notify     map[replication.Incarnation]bool // lease holders to notify after the command
	now        monotime.Micros                  // by this machine's clock; not part of the replicated state
	index      uint64                           // the log index of the current command
}

// subjectKey identifies one subject's budget. The subject is empty if the budget is not divided by subject.
type subjectKey struct{ budget, subject string }

func (k subjectKey) compare(other subjectKey) int {
	return cmp.Or(cmp.Compare(k.budget, other.budget), cmp.Compare(k.subject, other.subject))
}

// subjectKeys returns the sorted keys of all subjects' budgets.
func (a *Authority) subjectKeys() []subjectKey {
	return slices.SortedFunc(maps.Keys(a.subjects), subjectKey.compare)
}

// sortedKeys returns the sorted keys of a map, so that nothing depends on its iteration order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// budgetState is the state of a budget that all its subjects share.
type budgetState struct {
	name string
	// open is whether parts of the budget may be granted; see Authority.openAfter.
	open bool
	// addedInService is whether the budget was added by a later set than the authority's first one. Front ends do not
	// enforce such a budget until it is open.
	addedInService bool
	changedAt      uint64 // the log index at which its total or its static allocations last changed

	knownSince        monotime.Micros // by this machine's clock; not part of the replicated state
	inForceSince      monotime.Micros // by the leader's clock: since when the total is not exceeded; 0 while it is
	staticReserved    Amount          // reserved for static allocations, assigned or not
	staticOutstanding Amount          // the sum of static allocations that may be in force
}

// NewAuthority returns an authority with no settings and no lease holders.
func NewAuthority(options Options) *Authority {
	return &Authority{
		options:  options,
		budgets:  map[string]*budgetState{},
		subjects: map[subjectKey]*subjectBudget{},
		notify:   map[replication.Incarnation]bool{},
	}
}

// ID returns the number that identifies the state machine in commands and snapshots.
func (a *Authority) ID() uint32 { return stateMachineID }

// Name returns the state machine's name.
func (a *Authority) Name() string { return "budgets" }

// Version returns the version of the commands that it applies.
func (a *Authority) Version() uint32 { return commandVersion }

// SetVersion returns the version of the settings in force, or 0 without any.
func (a *Authority) SetVersion() uint64 {
	if a.set == nil {
		return 0
	}
	return a.set.Version
}

// Apply applies a committed command. It returns the response to a report, and nil for other commands. A malformed
// command has no effect.
func (a *Authority) Apply(at replication.ApplyContext, proposer replication.Incarnation, body []byte) []byte {
	c, err := decodeCommand(body)
	if err != nil {
		return nil
	}
	a.now, a.index = at.Now, at.Index
	defer a.sendNotifications(at)
	switch c.Operation {
	case opReport:
		response := a.applyReport(proposer, &c)
		return response.encode()
	case opExpire:
		if h := a.holder(c.Holder); h != nil && h.lastReport == c.Report && !h.expired {
			a.expire(h)
		}
	case opRelease:
		if h := a.holder(c.Holder); h != nil && h.lastReport == c.Report && h.expired {
			a.release(h, c.DrainTime, c.Superseded)
		}
	case opOpen:
		if b := a.budgets[c.Budget]; b != nil && a.set.Version == c.Version {
			b.open, b.changedAt = true, a.index
			a.notifyAll()
		}
	}
	return nil
}

// notifyAll marks all lease holders for notification after the current command.
func (a *Authority) notifyAll() {
	for _, h := range a.holders {
		a.notify[h.incarnation] = true
	}
}

// sendNotifications notifies the lease holders that the current command has marked.
func (a *Authority) sendNotifications(at replication.ApplyContext) {
	if len(a.notify) == 0 {
		return
	}
	for _, h := range a.holders {
		if a.notify[h.incarnation] {
			at.Notify(h.incarnation, NotificationTopic)
		}
	}
	clear(a.notify)
}
