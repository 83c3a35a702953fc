package peering

import (
	"chutechute/fleet"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// fleetNode is a front end's node of the fleet in either role: a fleet.Node or a fleet.AttachedNode.
type fleetNode interface {
	idempotencyclient.Proposer
	// Receive handles a message; after an error its link has to be closed.
	Receive(now monotime.Micros, l fleet.Link, kind transport.Kind, body []byte) error
	// Tick handles timeouts.
	Tick(now monotime.Micros)
	// Leave announces a planned end to the others.
	Leave()
	// Actions returns the actions to be carried out since it was called last.
	Actions() []fleet.Action
	// Proposals returns how many commands were proposed to the replicated records.
	Proposals() int
	// View returns the view of all front ends of both roles; nil where none may attach.
	View() *membership.View
}

// acceptsAttached reports whether front ends may attach to this one.
func (p *Peering) acceptsAttached() bool {
	return p.controlNode != nil && p.controlNode.MembershipServer() != nil
}
