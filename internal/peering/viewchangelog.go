package peering

import (
	"log/slog"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

const (
	// viewLogInterval is the minimum interval between two logs of view changes.
	viewLogInterval = 1000 * monotime.Millisecond
	// maxViewLogLines is the number of changes up to which each gets its own log line. More are logged as one summary.
	maxViewLogLines = 8
)

// viewChangeLog finds the changes of the view since it was logged last.
type viewChangeLog struct {
	nextAt     monotime.Micros
	lastDigest uint64                 // of the view at the last call of changes
	lastLogged map[string]loggedState // by front end
}

// loggedState is the state of a front end when the view was last logged.
type loggedState struct {
	incarnation uint64
	state       membership.State
}

// logViewChanges logs the changes of the view, at most once per viewLogInterval. A control member only logs those of
// attached front ends here, as logPeerChange logs those of control members.
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

// changes returns the entries whose incarnation or state has changed since the last call, sorted by name.
func (v *viewChangeLog) changes(view *membership.View, attachedOnly bool) (changes []membership.Entry) {
	if view.Digest() == v.lastDigest {
		return nil
	}
	v.lastDigest = view.Digest()
	entries := view.Entries()
	if v.lastLogged == nil || len(v.lastLogged) > 2*len(entries) { // keeps removed names from accumulating
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

// dropRemoved drops the names that are not in a view's entries.
func (v *viewChangeLog) dropRemoved(entries []membership.Entry) {
	present := make(map[string]loggedState, len(entries))
	for _, e := range entries {
		if last, ok := v.lastLogged[e.Name]; ok {
			present[e.Name] = last
		}
	}
	v.lastLogged = present
}
