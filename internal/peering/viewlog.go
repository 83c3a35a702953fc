package peering

import (
	"log/slog"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

const (
	viewLogEvery = 1000 * monotime.Millisecond
	mostViewLog  = 8 // changes in that span that get a line each; more get one line together
)

// viewLog tells the log how the view of all front ends changes.
type viewLog struct {
	next   monotime.Micros
	digest uint64            // of the view that was told last
	seen   map[string]logged // what that held, by name
}

// logged is what the log was told of a front end.
type logged struct {
	incarnation uint64
	state       membership.State
}

// logView logs what has changed in the view since a second ago. Of control members the others tell one another themselves.
func (p *Peering) logView() {
	view := p.part.View()
	if view == nil || p.Host.TurnTime < p.viewLog.next {
		return
	}
	p.viewLog.next = p.Host.TurnTime + viewLogEvery
	changes := p.viewLog.changes(view, p.node != nil)
	if len(changes) > mostViewLog {
		counts := map[membership.State]int{}
		for _, e := range changes {
			counts[e.State]++
		}
		slog.Info("front ends", "changed", len(changes), "alive", counts[membership.Alive], "suspect", counts[membership.Suspect],
			"dead", counts[membership.Dead], "left", counts[membership.Left], "first", changes[0].Name)
		return
	}
	for _, e := range changes {
		slog.Info("front end", "name", e.Name, "role", e.Role.String(), "state", e.State.String(), "incarnation", hex(e.Incarnation), "home", e.Home)
	}
}

// changes is the entries whose process or state is not what it was when this was called last, by name.
func (v *viewLog) changes(view *membership.View, attachedOnly bool) (changes []membership.Entry) {
	if view.Digest() == v.digest {
		return nil
	}
	v.digest = view.Digest()
	list := view.Entries()
	if v.seen == nil || len(v.seen) > 2*len(list) { // names that have gone from the view are forgotten now and then
		v.forget(list)
	}
	for _, e := range list {
		now := logged{e.Incarnation, e.State}
		if v.seen[e.Name] == now {
			continue
		}
		v.seen[e.Name] = now
		if !attachedOnly || e.Role == membership.Attached {
			changes = append(changes, e)
		}
	}
	return changes
}

// forget drops the names that are not in a view.
func (v *viewLog) forget(list []membership.Entry) {
	seen := make(map[string]logged, len(list))
	for _, e := range list {
		if old, ok := v.seen[e.Name]; ok {
			seen[e.Name] = old
		}
	}
	v.seen = seen
}
