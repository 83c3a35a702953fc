package peering

import (
	"log/slog"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

const (
	// viewLogInterval is the interval at which changes of the view are logged.
	viewLogInterval = 1000 * monotime.Millisecond
	// maxViewLogLines is how many changes of one interval get a line each; more get one line together.
	maxViewLogLines = 8
)

// viewChangeLog finds what has changed in the view of all front ends since it was logged last.
type viewChangeLog struct {
	nextAt     monotime.Micros
	lastDigest uint64                 // of the view at the last call of changes
	lastLogged map[string]loggedState // by front end
}

// loggedState is the state in which a front end was logged last.
type loggedState struct {
	incarnation uint64
	state       membership.State
}

// logViewChanges logs what has changed in the view, at most once in an interval. Changes of control members are
// logged by the heartbeats among these, so that here a control member logs those of attached front ends only.
func (p *Peering) logViewChanges() {
	view := p.fleetNode.View()
	if view == nil || p.Host.TurnTime < p.viewChangeLog.nextAt {
		return
	}
	p.viewChangeLog.nextAt = p.Host.TurnTime + viewLogInterval
	changes := p.viewChangeLog.changes(view, p.controlNode != nil)
	if len(changes) > maxViewLogLines {
		logChangeCounts(changes)
		return
	}
	for _, e := range changes {
		logStateChange(e.Name, e.Role, e.State.String(), e.Incarnation, e.Home)
	}
}

func logChangeCounts(changes []membership.Entry) {
	counts := map[membership.State]int{}
	for _, e := range changes {
		counts[e.State]++
	}
	slog.Info("states of several front ends changed",
		slog.Int("changes", len(changes)),
		slog.Int("alive", counts[membership.Alive]),
		slog.Int("suspect", counts[membership.Suspect]),
		slog.Int("dead", counts[membership.Dead]),
		slog.Int("left", counts[membership.Left]),
		slog.String("first", changes[0].Name))
}

// changes returns the entries, in the order of their names, whose process or state has changed since the last call.
func (v *viewChangeLog) changes(view *membership.View, attachedOnly bool) (changes []membership.Entry) {
	if view.Digest() == v.lastDigest {
		return nil
	}
	v.lastDigest = view.Digest()
	entries := view.Entries()
	if v.lastLogged == nil || len(v.lastLogged) > 2*len(entries) { // names that left the view must not pile up
		v.dropRemoved(entries)
	}
	for _, e := range entries {
		current := loggedState{e.Incarnation, e.State}
		if v.lastLogged[e.Name] == current {
			continue
		}
		v.lastLogged[e.Name] = current
		if !attachedOnly || e.Role == membership.Attached {
			changes = append(changes, e)
		}
	}
	return changes
}

// dropRemoved drops the names that are not among the entries of a view.
func (v *viewChangeLog) dropRemoved(entries []membership.Entry) {
	present := make(map[string]loggedState, len(entries))
	for _, e := range entries {
		if last, ok := v.lastLogged[e.Name]; ok {
			present[e.Name] = last
		}
	}
	v.lastLogged = present
}
