package fleet

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// AttachedConfig configures an attached front end.
type AttachedConfig struct {
	Membership membership.Config
	// RetryInterval scales the delay after which a proposal without a response is sent again; see
	// Config.RetryInterval.
	RetryInterval monotime.Micros
}

// AttachedNode is the part that an attached front end, which the settings do not name, has in the fleet. It has no
// replica and accepts no links; its links to two control members carry messages in both directions. Like Node, it is a
// stepped module.
type AttachedNode struct {
	cfg       AttachedConfig
	client    *membership.Client
	proposals proposals
	actions   []Action
	now       monotime.Micros
	leaving   bool
	notify    func(topic string)
}

// NewAttachedNode returns the AttachedNode of an attached front end. It calls notify with the topic of each
// notification from the replicated log: the state that this front end waits for under that topic may have changed.
func NewAttachedNode(cfg AttachedConfig, notify func(topic string)) *AttachedNode {
	a := &AttachedNode{cfg: cfg, client: membership.NewClient(cfg.Membership), notify: notify}
	a.proposals = newProposals(a, cfg.Membership.Incarnation, cfg.RetryInterval)
	return a
}

// MembershipClient returns this front end's client of package membership.
func (a *AttachedNode) MembershipClient() *membership.Client { return a.client }

// View returns the view of the front ends of both roles, as received from the home.
func (a *AttachedNode) View() *membership.View { return a.client.View() }

// Home returns the name of the control member that sends the view and forwards proposals, empty if there is none.
func (a *AttachedNode) Home() string { return a.client.Home() }

// Targets returns the control members that this front end should have links to now. The caller closes links to others.
func (a *AttachedNode) Targets(now monotime.Micros) []string {
	a.now = now
	return a.client.Targets(now)
}

// LinkOpened records that a link to a process of a control member is established.
func (a *AttachedNode) LinkOpened(now monotime.Micros, control string, incarnation uint64) {
	a.now = now
	a.client.LinkOpened(now, control, incarnation)
}

// LinkClosed records that the link to a control member was closed, or could not be established.
func (a *AttachedNode) LinkClosed(now monotime.Micros, control string) {
	a.now = now
	a.client.LinkClosed(now, control)
}

// Receive handles a message from a control member. After an error the caller closes the link: the message is malformed,
// or of a kind that attached front ends do not receive.
func (a *AttachedNode) Receive(now monotime.Micros, l Link, kind transport.Kind, body []byte) error {
	a.now = now
	switch kind {
	case transport.ViewUpdate:
		return a.client.Receive(now, l.From, l.Incarnation, membership.ViewUpdate, body)
	case transport.Response:
		response, err := replication.DecodeResponse(body)
		if err != nil {
			return err
		}
		a.proposals.receive(now, response)
	case transport.Notification:
		a.notify(string(body))
	default:
		return fmt.Errorf("%w: %s to an attached front end", transport.ErrUnknownKind, kind)
	}
	return nil
}

// Tick advances the clock to now and does the work that is due.
func (a *AttachedNode) Tick(now monotime.Micros) {
	a.now = now
	if a.leaving {
		a.client.Leave()
	}
	a.client.Tick(now)
	a.proposals.tick(now)
}

// Next returns the time by which Tick must be called.
func (a *AttachedNode) Next() monotime.Micros {
	if len(a.proposals.ids) > 0 {
		return min(a.client.Next(), a.now+a.proposals.retargetDelay())
	}
	return a.client.Next()
}

// Leave makes all further heartbeats announce that this front end is leaving the fleet.
func (a *AttachedNode) Leave() { a.leaving = true }

// Actions returns the pending actions, which the caller carries out, and clears them.
func (a *AttachedNode) Actions() []Action {
	for _, m := range a.client.TakeMessages() {
		a.sendMessage(m.To, frameKind(m.Kind), m.Bulk, m.Body)
	}
	actions := a.actions
	a.actions = nil
	return actions
}

func (a *AttachedNode) sendMessage(to string, kind transport.Kind, bulk bool, body []byte) {
	a.actions = append(a.actions, Send{To: to, Kind: kind, Bulk: bulk, Body: body})
}

// Propose proposes a command to the replicated log through the home. The command is encoded in body, in the given
// version of the state machine's command format. Propose calls done once with the response, from Receive, but not after
// Cancel. A canceled proposal may still be committed.
func (a *AttachedNode) Propose(
	now monotime.Micros, stateMachineID, version uint32, body []byte, done func(replication.Response),
) (id uint64) {
	a.now = now
	return a.proposals.add(now, stateMachineID, version, body, done)
}

// Cancel stops waiting for the response to a proposal.
func (a *AttachedNode) Cancel(id uint64) { a.proposals.remove(id) }

// Proposals returns the number of proposals that this front end has made.
func (a *AttachedNode) Proposals() int { return int(a.proposals.lastID) }

// PresumedDead reports whether a process of the fleet is presumed dead according to the view.
func (a *AttachedNode) PresumedDead(incarnation uint64) bool {
	return a.client.View().PresumedDead(incarnation)
}

// target implements proposalRoute: proposals go to the home.
func (a *AttachedNode) target() string { return a.client.Home() }

// send implements proposalRoute.
func (a *AttachedNode) send(to string, command replication.Command) {
	a.sendMessage(to, transport.Proposal, false, command.Encode())
}

// redirect implements proposalRoute. It always returns true: the home learned the new leader from the response that it
// forwarded, and will forward the proposal to that leader.
func (a *AttachedNode) redirect(uint64, string) bool { return true }
