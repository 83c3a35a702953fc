package peering

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Change is a change of one front end that all others are to see: that a process is alive, or that it is dead or
// has left.
type Change struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Removed     bool   `json:"gone"` // dead or left
}

// pendingChange is a change that not all front ends here have seen yet.
type pendingChange struct {
	change   Change
	unseenBy map[*hollowFrontEnd]struct{}
	lastSeen monotime.Micros // when a front end here last saw it; 0: none has
	onSeen   func(lastSeen monotime.Micros)
}

// AwaitChange calls done, on the loop, once every front end that runs here now has seen a change, or has ended or been
// paused. The front end that the change is about does not count. Seen is the time of the tick in which the last of
// them saw it; 0 where none has.
func (h *Hollow) AwaitChange(change Change, done func(seen monotime.Micros)) {
	pending := &pendingChange{change: change, unseenBy: map[*hollowFrontEnd]struct{}{}, onSeen: done}
	for _, f := range h.frontEnds {
		switch {
		case f.cfg.Name == change.Name || f.pausedUntil > 0:
		case f.sees(change):
			pending.lastSeen = h.TurnTime
		default:
			pending.unseenBy[f] = struct{}{}
		}
	}
	if len(pending.unseenBy) == 0 {
		done(pending.lastSeen)
		return
	}
	h.pendingChanges = append(h.pendingChanges, pending)
}

// PendingChanges returns, for each change that is awaited, the names of the front ends here that have not seen it yet.
func (h *Hollow) PendingChanges() map[Change][]string {
	waiting := map[Change][]string{}
	for _, pending := range h.pendingChanges {
		for _, f := range h.frontEnds {
			if _, unseen := pending.unseenBy[f]; unseen {
				waiting[pending.change] = append(waiting[pending.change], f.cfg.Name)
			}
		}
	}
	return waiting
}

// recordSeen records which pending changes a front end sees by now.
func (h *Hollow) recordSeen(f *hollowFrontEnd) {
	for _, pending := range h.pendingChanges {
		if _, unseen := pending.unseenBy[f]; unseen && f.sees(pending.change) {
			delete(pending.unseenBy, f)
			pending.lastSeen = h.TurnTime
		}
	}
	h.finishAwaits()
}

// stopAwaiting stops waiting for a front end that has ended or is paused.
func (h *Hollow) stopAwaiting(f *hollowFrontEnd) {
	for _, pending := range h.pendingChanges {
		delete(pending.unseenBy, f)
	}
	h.finishAwaits()
}

// finishAwaits reports the changes that nobody is waited for any more. The list is updated first, as a callback may
// await other changes.
func (h *Hollow) finishAwaits() {
	remaining := h.pendingChanges[:0]
	var finished []*pendingChange
	for _, pending := range h.pendingChanges {
		if len(pending.unseenBy) > 0 {
			remaining = append(remaining, pending)
		} else {
			finished = append(finished, pending)
		}
	}
	h.pendingChanges = remaining
	for _, pending := range finished {
		pending.onSeen(pending.lastSeen)
	}
}

// sees reports whether a front end's view shows a change. A process that it has never seen counts as dead.
func (p *Peering) sees(change Change) bool {
	if view := p.fleetNode.View(); view != nil {
		return viewShows(view, change)
	}
	peer := p.controlNode.Monitor().Lookup(change.Name)
	if peer == nil || peer.Incarnation != change.Incarnation {
		return change.Removed
	}
	if change.Removed {
		return peer.State == heartbeat.Dead || peer.State == heartbeat.Left
	}
	return peer.State == heartbeat.Alive
}

func viewShows(view *membership.View, change Change) bool {
	if !change.Removed {
		return view.Alive(change.Incarnation)
	}
	e, known := view.Lookup(change.Name)
	return !known || e.Incarnation != change.Incarnation || e.State == membership.Dead || e.State == membership.Left
}
