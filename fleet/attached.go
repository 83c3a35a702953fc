package fleet

import (
	"fmt"

	"chutechute/fleet/membership"
	"chutechute/fleet/replication"
	"chutechute/fleet/transport"
)

// AttachedConfig is what an attached front end is told of its fleet.
type AttachedConfig struct {
	Attach membership.Config
	Retry  Micros // until a question is asked again
}

// Attached is a front end that the settings do not name. It keeps no record and listens to none: its links to two control members
// carry messages both ways. It is a stepped module as Node is.
type Attached struct {
	cfg      AttachedConfig
	client   *membership.Client
	requests requests
	actions  []Action
	now      Micros
	leaving  bool
	note     func(about string)
}

// NewAttached builds an attached front end. Note is told that something this front end waits for may have changed.
func NewAttached(cfg AttachedConfig, note func(about string)) *Attached {
	a := &Attached{cfg: cfg, client: membership.NewClient(cfg.Attach), note: note}
	a.requests = newRequests(a, cfg.Attach.Incarnation, cfg.Retry)
	return a
}

// Client is this front end's part of package attach.
func (a *Attached) Client() *membership.Client { return a.client }

// View is all front ends of both roles, as the home has told.
func (a *Attached) View() *membership.View { return a.client.View() }

// Home is the control member that the view comes from and questions go to; empty without one.
func (a *Attached) Home() string { return a.client.Home() }

// Targets is the control members to keep links with now. Links to others are to be closed.
func (a *Attached) Targets(now Micros) []string {
	a.now = now
	return a.client.Targets(now)
}

// Linked tells that a link to that process of a control member is open.
func (a *Attached) Linked(now Micros, control string, incarnation uint64) {
	a.now = now
	a.client.Linked(now, control, incarnation)
}

// Unlinked tells that the link to a control member is closed, or could not be opened.
func (a *Attached) Unlinked(now Micros, control string) {
	a.now = now
	a.client.Unlinked(now, control)
}

// Receive takes a message of a control member; after an error the link is to be closed.
func (a *Attached) Receive(now Micros, l Link, kind transport.Kind, body []byte) error {
	a.now = now
	switch kind {
	case transport.View:
		return a.client.Receive(now, l.From, l.Incarnation, membership.ViewPart, body)
	case transport.Answer:
		answer, err := replication.DecodeAnswer(body)
		if err != nil {
			return err
		}
		a.requests.answered(now, answer)
	case transport.Note:
		a.note(string(body))
	default:
		return fmt.Errorf("%w: %s to an attached front end", transport.ErrKind, kind)
	}
	return nil
}

// Tick lets time pass.
func (a *Attached) Tick(now Micros) {
	a.now = now
	if a.leaving {
		a.client.Leave()
	}
	a.client.Tick(now)
	a.requests.tick(now)
}

// Next is when Tick should be called at the latest.
func (a *Attached) Next() Micros {
	if len(a.requests.ids) > 0 {
		return min(a.client.Next(), a.now+a.cfg.Retry/4)
	}
	return a.client.Next()
}

// Leave says to the others that this front end will soon be gone.
func (a *Attached) Leave() { a.leaving = true }

// Actions gives what is to be done and forgets it.
func (a *Attached) Actions() []Action {
	for _, m := range a.client.Actions() {
		a.tell(m.To, frameKind(m.Kind), m.Bulk, m.Body)
	}
	list := a.actions
	a.actions = nil
	return list
}

func (a *Attached) tell(to string, kind transport.Kind, bulk bool, body []byte) {
	a.actions = append(a.actions, Tell{To: to, Kind: kind, Bulk: bulk, Body: body})
}

// Ask puts a question to the record, by way of the home. Done is called once with what was committed, from Receive; it is not
// called any more after Cancel. A question that is taken back may still be committed.
func (a *Attached) Ask(now Micros, kind, version uint32, body []byte, done func(replication.Answer)) (id uint64) {
	a.now = now
	return a.requests.add(now, kind, version, body, done)
}

// Cancel takes a question back.
func (a *Attached) Cancel(id uint64) { a.requests.forget(id) }

// Asked is how many questions were put so far.
func (a *Attached) Asked() int { return int(a.requests.seq) }

// Gone says whether a process of the fleet is held for no more, as far as the view tells.
func (a *Attached) Gone(incarnation uint64) bool { return a.client.View().Gone(incarnation) }

// target is the control member that questions go by.
func (a *Attached) target() string { return a.client.Home() }

func (a *Attached) ask(to string, c replication.Command) {
	a.tell(to, transport.Ask, false, c.Encode())
}

// redirected is always true: the home has taken the word of the copy that refused, and will pass the question on elsewhere.
func (a *Attached) redirected(uint64, string) bool { return true }
