package peering

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Change is something about one front end that all others are to learn: that a process is there, or that it is gone.
type Change struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Gone        bool   `json:"gone"`
}

// awaited is a change that front ends here have not all seen yet.
type awaited struct {
	change  Change
	pending map[*hollowMember]struct{}
	seen    monotime.Micros // by the last so far
	done    func(seen monotime.Micros)
}

// Await has done called, on the loop, once every front end that runs here now and that is not the change's own has seen a change, or
// has ended. Seen is when the last of them did, as of its tick; 0 where none has seen it, since there is none.
func (h *Hollow) Await(change Change, done func(seen monotime.Micros)) {
	a := &awaited{change: change, pending: map[*hollowMember]struct{}{}, done: done}
	for _, m := range h.members {
		switch {
		case m.cfg.Name == change.Name || m.paused > 0:
		case m.sees(change):
			a.seen = h.TurnTime
		default:
			a.pending[m] = struct{}{}
		}
	}
	if len(a.pending) == 0 {
		done(a.seen)
		return
	}
	h.awaited = append(h.awaited, a)
}

// Waiting is the names of the front ends here that have not seen a change that is awaited, by that change.
func (h *Hollow) Waiting() map[Change][]string {
	waiting := map[Change][]string{}
	for _, a := range h.awaited {
		for _, m := range h.members {
			if _, waits := a.pending[m]; waits {
				waiting[a.change] = append(waiting[a.change], m.cfg.Name)
			}
		}
	}
	return waiting
}

// look notes which changes a front end has seen.
func (h *Hollow) look(m *hollowMember) {
	for _, a := range h.awaited {
		if _, waits := a.pending[m]; waits && m.sees(a.change) {
			delete(a.pending, m)
			a.seen = h.TurnTime
		}
	}
	h.settle()
}

// forget waits no more for a front end that has ended or stands still.
func (h *Hollow) forget(m *hollowMember) {
	for _, a := range h.awaited {
		delete(a.pending, m)
	}
	h.settle()
}

// settle ends the waits for what all have seen.
func (h *Hollow) settle() {
	kept := h.awaited[:0]
	var over []*awaited
	for _, a := range h.awaited {
		if len(a.pending) > 0 {
			kept = append(kept, a)
		} else {
			over = append(over, a)
		}
	}
	h.awaited = kept
	for _, a := range over {
		a.done(a.seen)
	}
}

// sees says whether a front end's view shows a change. A process that it never heard of is gone for it.
func (p *Peering) sees(change Change) bool {
	if view := p.part.View(); view != nil {
		if change.Gone {
			e, known := view.Lookup(change.Name)
			return !known || e.Incarnation != change.Incarnation || e.State == membership.Dead || e.State == membership.Left
		}
		return view.Alive(change.Incarnation)
	}
	m := p.node.Members().Lookup(change.Name)
	if m == nil || m.Incarnation != change.Incarnation {
		return change.Gone
	}
	if change.Gone {
		return m.State == heartbeat.Dead || m.State == heartbeat.Left
	}
	return m.State == heartbeat.Alive
}
