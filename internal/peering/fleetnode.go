package peering

import (
	"chutechute/fleet"
	"chutechute/fleet/idempotency/idempotencyclient"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// fleetNode is a fleet.Node or a fleet.AttachedNode, depending on the front end's role.
type fleetNode interface {
	idempotencyclient.Proposer
	// Receive handles a message. After an error its link must be closed.
	Receive(now monotime.Micros, l fleet.Link, kind transport.Kind, body []byte) error
	// Tick sends heartbeats and handles timeouts.
	Tick(now monotime.Micros)
	// Leave announces the graceful shutdown to the other front ends.
	Leave()
	// Actions returns the actions to execute, and clears them.
	Actions() []fleet.Action
	// Proposals returns the number of commands proposed to the replicated log.
	Proposals() int
	// View returns the view of all front ends of both roles; nil if none may attach.
	View() *membership.View
}

// acceptsAttached reports whether front ends may attach to this one.
func (p *Peering) acceptsAttached() bool {
	return p.controlNode != nil && p.controlNode.MembershipServer() != nil
}
