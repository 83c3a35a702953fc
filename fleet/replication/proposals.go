package replication

import (
	"maps"

	"chutechute/internal/monotime"
)

// Timing of the commands that the leader proposes by itself, in ticks of Config.TickInterval.
const (
	// firstDueCommandsTicks is how long a new leader waits, so that work in progress can first complete by itself.
	firstDueCommandsTicks = 2 * electionTicks
	dueCommandsTicks      = 4 // between two calls of StateMachine.DueCommands
)

// proposalTimeout is the minimum time for which a proposal is tracked. If it is committed after it was pruned, this
// replica sends no Reply.
const proposalTimeout = 10 * monotime.Second

// proposalKey identifies a proposal.
type proposalKey struct {
	proposer Incarnation
	sequence uint64
}

// proposalTracker tracks the proposals that were made at this replica and have no response yet.
type proposalTracker struct {
	proposedAt map[proposalKey]monotime.Micros
	lastPrune  monotime.Micros
}

func newProposalTracker() proposalTracker {
	return proposalTracker{proposedAt: map[proposalKey]monotime.Micros{}}
}

func (t *proposalTracker) add(command Command, now monotime.Micros) {
	t.proposedAt[proposalKey{command.Proposer, command.Sequence}] = now
}

// take removes the proposal of a command and reports whether it was made here.
func (t *proposalTracker) take(command Command) bool {
	key := proposalKey{command.Proposer, command.Sequence}
	if t.proposedAt[key] == 0 {
		return false
	}
	delete(t.proposedAt, key)
	return true
}

// prune removes the proposals that are older than proposalTimeout. It does so once in each proposalTimeout.
func (t *proposalTracker) prune(now monotime.Micros) {
	if now < t.lastPrune+proposalTimeout {
		return
	}
	t.lastPrune = now
	maps.DeleteFunc(t.proposedAt, func(_ proposalKey, proposedAt monotime.Micros) bool {
		return now-proposedAt > proposalTimeout
	})
}

// Propose proposes a front end's command. A Reply follows once the command is applied, or at once if the proposal is
// rejected. There may be none if another replica becomes the leader, this one fails, or proposalTimeout passes before
// the command is applied.
func (r *Replica) Propose(now monotime.Micros, command Command) {
	defer r.recoverFromInvariantError()
	r.now = now
	switch {
	case !r.IsLeader():
		r.reject(command, NotLeader)
	case !r.state.supports(command):
		r.reject(command, Unsupported)
	case r.node.Propose(command.Encode()) != nil:
		r.reject(command, Busy)
	default:
		r.proposals.add(command, now)
		r.processReady()
	}
}

func (r *Replica) reject(command Command, result Result) {
	response := Response{Sequence: command.Sequence, Result: result, Leader: r.Leader()}
	r.actions = append(r.actions, Reply{To: command.Proposer, Response: response})
}

// proposeDueCommands proposes the commands that the state machines report as due, every dueCommandsTicks.
func (r *Replica) proposeDueCommands() {
	if r.nextDueCommands == 0 {
		r.nextDueCommands = r.now + firstDueCommandsTicks*r.config.TickInterval
	}
	if r.now < r.nextDueCommands {
		return
	}
	r.nextDueCommands = r.now + dueCommandsTicks*r.config.TickInterval
	for _, stateMachine := range r.state.inOrder {
		for _, body := range stateMachine.DueCommands(r.now, r.detector) {
			command := Command{StateMachineID: stateMachine.ID(), Version: stateMachine.Version(), Body: body}
			_ = r.node.Propose(command.Encode()) // a dropped command stays due and is proposed again
		}
	}
}
