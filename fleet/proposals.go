package fleet

import (
	"slices"

	"chutechute/fleet/replication"
	"chutechute/internal/monotime"
)

// proposals sends this front end's proposals to the replicated log, and resends each of them until its response
// arrives. A proposal may therefore be committed more than once, which the commands of every state machine tolerate.
type proposals struct {
	route         proposalRoute
	proposer      replication.Incarnation
	retryInterval monotime.Micros
	lastID        uint64
	pending       map[uint64]*pendingProposal // by ID
	ids           []uint64                    // of the pending proposals, in ascending order
}

// proposalRoute determines how proposals reach the replicated log: directly, or through a control member.
type proposalRoute interface {
	// target returns the name of the front end that proposals go to now, empty if none is known.
	target() string
	// send sends a proposal to a front end.
	send(to string, command replication.Command)
	// redirect handles a response that names another leader, by its replica ID. It returns false if that is the front
	// end that the proposal was sent to.
	redirect(leader uint64, sentTo string) bool
}

// pendingProposal is a proposal without a response.
type pendingProposal struct {
	command   replication.Command
	done      func(replication.Response)
	sentAt    monotime.Micros
	sentTo    string // empty if no target was known
	redirects int    // followed since add or tick last sent the proposal
}

// maxRedirects bounds how often a proposal follows the redirects of replicas that are not the leader. Without the
// bound, two replicas that name each other as the leader, or duplicate responses, cause a storm of messages (package
// simulation, seed 3094).
const maxRedirects = 2

func newProposals(route proposalRoute, incarnation uint64, retryInterval monotime.Micros) proposals {
	return proposals{
		route:         route,
		proposer:      replication.Incarnation(incarnation),
		retryInterval: retryInterval,
		pending:       map[uint64]*pendingProposal{},
	}
}

// retargetDelay is how long a proposal waits for a response if the target has changed since the proposal was sent.
func (p *proposals) retargetDelay() monotime.Micros { return p.retryInterval / 4 }

// retryDelay is how long a proposal waits for a response if the target is still the same.
func (p *proposals) retryDelay() monotime.Micros { return 4 * p.retryInterval }

// add creates a proposal and sends it.
func (p *proposals) add(
	now monotime.Micros, stateMachineID, version uint32, body []byte, done func(replication.Response),
) (id uint64) {
	p.lastID++
	proposal := &pendingProposal{done: done, command: replication.Command{
		StateMachineID: stateMachineID,
		Version:        version,
		Proposer:       p.proposer,
		Sequence:       p.lastID,
		Body:           body,
	}}
	p.pending[p.lastID] = proposal
	p.ids = append(p.ids, p.lastID)
	p.send(now, proposal)
	return p.lastID
}

// remove removes a proposal, if it is pending.
func (p *proposals) remove(id uint64) {
	delete(p.pending, id)
	if i, ok := slices.BinarySearch(p.ids, id); ok {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}

// send sends a proposal, if a target is known.
func (p *proposals) send(now monotime.Micros, proposal *pendingProposal) {
	proposal.sentAt = now
	proposal.sentTo = p.route.target()
	if proposal.sentTo != "" {
		p.route.send(proposal.sentTo, proposal.command)
	}
}

// receive handles a response.
func (p *proposals) receive(now monotime.Micros, response replication.Response) {
	proposal := p.pending[response.Sequence]
	if proposal == nil {
		return
	}
	switch response.Result {
	case replication.Committed, replication.Unsupported:
		p.remove(response.Sequence)
		proposal.done(response)
	case replication.NotLeader:
		if response.Leader == 0 || proposal.redirects >= maxRedirects {
			return
		}
		if p.route.redirect(response.Leader, proposal.sentTo) {
			proposal.redirects++
			p.send(now, proposal)
		}
	}
}

// tick resends the proposals whose responses are overdue: after a short delay if the target has changed, and otherwise
// after a longer one, since the earlier copy of the proposal may still be committed.
func (p *proposals) tick(now monotime.Micros) {
	if len(p.ids) == 0 {
		return
	}
	target := p.route.target()
	if target == "" {
		return
	}
	for _, id := range slices.Clone(p.ids) {
		proposal := p.pending[id]
		if proposal == nil { // removed since the loop began
			continue
		}
		delay := p.retryDelay()
		if target != proposal.sentTo {
			delay = p.retargetDelay()
		}
		if now-proposal.sentAt >= delay {
			proposal.redirects = 0
			p.send(now, proposal)
		}
	}
}
