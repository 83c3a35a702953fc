package fleet

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
	"chutechute/internal/monotime"
)

// AttachedConfig is what an attached front end is told of its fleet.
type AttachedConfig struct {
	Membership    membership.Config
	RetryInterval monotime.Micros // until a question is asked again
}

// AttachedNode is a front end that the settings do not name. It keeps no record and listens to none: its links to two control members
// carry messages both ways. It is a stepped module as Node is.
type AttachedNode struct {
	cfg      AttachedConfig
	client   *membership.Client
	requests requests
	actions  []Action
	now      monotime.Micros
	leaving  bool
	note     func(about string)
}

// NewAttachedNode builds an attached front end. Note is told that something this front end waits for may have changed.
func NewAttachedNode(cfg AttachedConfig, note func(about string)) *AttachedNode {
	a := &AttachedNode{cfg: cfg, client: membership.NewClient(cfg.Membership), note: note}
	a.requests = newRequests(a, cfg.Membership.Incarnation, cfg.RetryInterval)
	return a
}

// MembershipClient is this front end's part of package attach.
func (a *AttachedNode) MembershipClient() *membership.Client { return a.client }

// View is all front ends of both roles, as the home has told.
func (a *AttachedNode) View() *membership.View { return a.client.View() }

// Home is the control member that the view comes from and questions go to; empty without one.
func (a *AttachedNode) Home() string { return a.client.Home() }

// Targets is the control members to keep links with now. Links to others are to be closed.
func (a *AttachedNode) Targets(now monotime.Micros) []string {
	a.now = now
	return a.client.Targets(now)
}

// LinkOpened tells that a link to that process of a control member is open.
func (a *AttachedNode) LinkOpened(now monotime.Micros, control string, incarnation uint64) {
	a.now = now
	a.client.LinkOpened(now, control, incarnation)
}

// LinkClosed tells that the link to a control member is closed, or could not be opened.
func (a *AttachedNode) LinkClosed(now monotime.Micros, control string) {
	a.now = now
	a.client.LinkClosed(now, control)
}

// Receive takes a message of a control member; after an error the link is to be closed.
func (a *AttachedNode) Receive(now monotime.Micros, l Link, kind transport.Kind, body []byte) error {
	a.now = now
	switch kind {
	case transport.ViewUpdate:
		return a.client.Receive(now, l.From, l.Incarnation, membership.ViewUpdate, body)
	case transport.Response:
		answer, err := replication.DecodeResponse(body)
		if err != nil {
			return err
		}
		a.requests.answered(now, answer)
	case transport.Notification:
		a.note(string(body))
	default:
		return fmt.Errorf("%w: %s to an attached front end", transport.ErrUnknownKind, kind)
	}
	return nil
}

// Tick lets time pass.
func (a *AttachedNode) Tick(now monotime.Micros) {
	a.now = now
	if a.leaving {
		a.client.Leave()
	}
	a.client.Tick(now)
	a.requests.tick(now)
}

// Next is when Tick should be called at the latest.
func (a *AttachedNode) Next() monotime.Micros {
	if len(a.requests.ids) > 0 {
		return min(a.client.Next(), a.now+a.cfg.RetryInterval/4)
	}
	return a.client.Next()
}

// Leave says to the others that this front end will soon be gone.
func (a *AttachedNode) Leave() { a.leaving = true }

// Actions gives what is to be done and forgets it.
func (a *AttachedNode) Actions() []Action {
	for _, m := range a.client.Actions() {
		a.tell(m.To, frameKind(m.Kind), m.Bulk, m.Body)
	}
	list := a.actions
	a.actions = nil
	return list
}

func (a *AttachedNode) tell(to string, kind transport.Kind, bulk bool, body []byte) {
	a.actions = append(a.actions, Send{To: to, Kind: kind, Bulk: bulk, Body: body})
}

// Propose puts a question to the record, by way of the home. Done is called once with what was committed, from Receive; it is not
// called any more after Cancel. A question that is taken back may still be committed.
func (a *AttachedNode) Propose(now monotime.Micros, kind, version uint32, body []byte, done func(replication.Response)) (id uint64) {
	a.now = now
	return a.requests.add(now, kind, version, body, done)
}

// Cancel takes a question back.
func (a *AttachedNode) Cancel(id uint64) { a.requests.forget(id) }

// Proposals is how many questions were put so far.
func (a *AttachedNode) Proposals() int { return int(a.requests.seq) }

// PresumedDead says whether a process of the fleet is held for no more, as far as the view tells.
func (a *AttachedNode) PresumedDead(incarnation uint64) bool {
	return a.client.View().PresumedDead(incarnation)
}

// target is the control member that questions go by.
func (a *AttachedNode) target() string { return a.client.Home() }

func (a *AttachedNode) ask(to string, c replication.Command) {
	a.tell(to, transport.Proposal, false, c.Encode())
}

// redirected is always true: the home has taken the word of the copy that refused, and will pass the question on elsewhere.
func (a *AttachedNode) redirected(uint64, string) bool { return true }
