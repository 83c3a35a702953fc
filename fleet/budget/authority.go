package budget

import (
	"cmp"
	"maps"
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// Options are the limits of an Authority. All replicas of one group have the same.
type Options struct {
	MaxSubjects int // how many subjects' budgets may have allocations at a time
}

// MaxSubjects is the limit for Options.Instances that the program uses.
const MaxSubjects = 1 << 16

// NotificationTopic is the topic of notifications to lease holders whose share may have changed.
const NotificationTopic = "\x00budget"

// Authority is the replicated state machine that records who has been granted what, and divides budgets anew with each
// report. It implements replication.StateMachine.
type Authority struct {
	options    Options
	set        *Set   // in force; nil before the first report
	encodedSet []byte // as it was received
	budgets    map[string]*budgetState
	holders    []*holderRecord // by incarnation
	subjects   map[subjectKey]*subjectBudget
	notify     map[replication.Incarnation]bool // whom to notify after the current command
	now        monotime.Micros                  // by this machine's clock; no part of the replicated state
	index      uint64                           // the log index of the current command
}

// subjectKey names one subject's budget. The subject is empty where the budget has only one.
type subjectKey struct{ budget, subject string }

func (k subjectKey) compare(other subjectKey) int {
	return cmp.Or(cmp.Compare(k.budget, other.budget), cmp.Compare(k.subject, other.subject))
}

// subjectKeys returns the keys of all subjects' budgets, in order.
func (a *Authority) subjectKeys() []subjectKey {
	return slices.SortedFunc(maps.Keys(a.subjects), subjectKey.compare)
}

// sortedKeys returns the keys of a map in order, so that nothing depends on the map's.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// budgetState is the state of a budget that its subjects have in common.
type budgetState struct {
	name string
	// open is whether the budget is granted at all; see Authority.openAfter.
	open bool
	// addedInService is whether the budget came with a later set than the authority's first one. Nobody enforces such
	// a budget before it is open.
	addedInService bool
	changedAt      uint64 // the log index at which its total or its static allocations last changed

	knownSince        monotime.Micros // by this machine's clock; no part of the replicated state
	inForceSince      monotime.Micros // by the leader's clock: since when the total is kept to; 0 while it is not
	staticReserved    Amount          // for static allocations, whether they are assigned or not
	staticOutstanding Amount          // the static allocations that may be in force
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

// ID returns the state machine's number in commands and snapshots.
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

// Apply applies a committed command. It returns the response to a report, and nil for other commands and for malformed
// ones, which have no effect.
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

// notifyAll has all lease holders notified after the current command.
func (a *Authority) notifyAll() {
	for _, h := range a.holders {
		a.notify[h.incarnation] = true
	}
}

// sendNotifications notifies the lease holders whose share may have changed.
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
