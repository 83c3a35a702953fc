package peering

import (
	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Change is a change of a front end's state that the other front ends are expected to see: the incarnation is alive or,
// if Removed is set, dead or left.
type Change struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Removed     bool   `json:"gone"` // dead or left
}

// pendingChange is a change that some front ends here have not seen yet.
type pendingChange struct {
	change   Change
	unseenBy map[*hollowFrontEnd]struct{}
	lastSeen monotime.Micros // when the latest front end saw it; 0 if none has
	onSeen   func(lastSeen monotime.Micros)
}

// AwaitChange calls done, on the loop, once each front end that is running here now has seen a change or was killed or
// paused. The front end that the change is about is not waited for. The argument of done is the time of the tick in
// which the last of them saw the change, 0 if none has.
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

// PendingChanges returns the names of the front ends here that have not seen a change yet, for each awaited change.
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

// recordSeen records which pending changes a front end now sees.
func (h *Hollow) recordSeen(f *hollowFrontEnd) {
	for _, pending := range h.pendingChanges {
		if _, unseen := pending.unseenBy[f]; unseen && f.sees(pending.change) {
			delete(pending.unseenBy, f)
			pending.lastSeen = h.TurnTime
		}
	}
	h.finishAwaits()
}

// stopAwaiting stops waiting for a front end that was killed or paused.
func (h *Hollow) stopAwaiting(f *hollowFrontEnd) {
	for _, pending := range h.pendingChanges {
		delete(pending.unseenBy, f)
	}
	h.finishAwaits()
}

// finishAwaits calls the callbacks of the changes that no front end here is still to see. It updates the list first, as
// a callback may await further changes.
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

// sees reports whether a change is visible to a front end. An incarnation that it does not know counts as dead.
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
