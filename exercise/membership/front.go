package membership

import (
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// frontEndProcess is the process of an attached front end.
type frontEndProcess struct {
	process  *process
	client   *membership.Client
	links    []*link
	redials  map[string]*redial
	nextWake monotime.Micros // when the next step is set; 0: none is
}

// redial is when a control member may be dialled again.
type redial struct {
	failures  int
	notBefore monotime.Micros
}

func newFrontEndProcess(q *process) *frontEndProcess {
	return &frontEndProcess{process: q, redials: map[string]*redial{}, client: membership.NewClient(q.membershipConfig())}
}

// membershipConfig is what a member of either role is told.
func (q *process) membershipConfig() membership.Config {
	cfg := membership.Config{Name: q.member.name, Zone: q.member.zoneName(), Incarnation: q.incarnation, Seed: q.sim.rng.Uint64()}
	for _, c := range q.sim.controlMembers {
		cfg.ControlMembers = append(cfg.ControlMembers, membership.ControlMember{Name: c.name, Zone: c.zoneName()})
	}
	return cfg
}

// step lets time pass where that is due, and does what follows.
func (f *frontEndProcess) step() {
	now := f.process.localTime()
	if now >= f.client.Next() {
		f.client.Tick(now)
	}
	f.updateLinks()
	f.sendPending()
	f.scheduleWake()
}

// scheduleWake sets the next step.
func (f *frontEndProcess) scheduleWake() {
	s := f.process.sim
	when := max(f.process.simulationTime(f.client.Next()), s.now+monotime.Millisecond)
	if f.nextWake > s.now && f.nextWake <= when {
		return
	}
	f.nextWake = when
	s.scheduleAt(when, func() {
		if f.nextWake == when {
			f.nextWake = 0
			f.process.execute(f.step)
		}
	})
}

// updateLinks closes and opens links.
func (f *frontEndProcess) updateLinks() {
	targets := f.client.Targets(f.process.localTime())
	for _, l := range slices.Clone(f.links) {
		if !slices.Contains(targets, l.target.name) {
			f.closeLink(l)
		}
	}
	for _, name := range targets {
		if !slices.ContainsFunc(f.links, func(l *link) bool { return l.target.name == name }) {
			f.dial(name)
		}
	}
}

// closeLink closes a link, or gives its dial up.
func (f *frontEndProcess) closeLink(l *link) {
	if l.open[frontEndSide] {
		l.close(frontEndSide)
	} else {
		l.abandonDial()
	}
}

func (f *frontEndProcess) dial(name string) {
	s := f.process.sim
	if r := f.redials[name]; r != nil && r.notBefore > s.now {
		return
	}
	l := &link{sim: s, frontEnd: f.process, target: s.memberByName[name]}
	f.links = append(f.links, l)
	l.dial()
}

// linkOpened follows a link's opening.
func (f *frontEndProcess) linkOpened(l *link) {
	delete(f.redials, l.target.name)
	f.client.LinkOpened(f.process.localTime(), l.target.name, l.control.incarnation)
	f.step()
}

// linkClosed follows a link's end, or a dial that failed.
func (f *frontEndProcess) linkClosed(l *link) {
	place := slices.Index(f.links, l)
	if place < 0 {
		return
	}
	f.links = slices.Delete(f.links, place, place+1)
	f.delayRedial(l.target.name)
	f.client.LinkClosed(f.process.localTime(), l.target.name)
	f.step()
}

// delayRedial has the next dial of a control member wait.
func (f *frontEndProcess) delayRedial(name string) {
	s := f.process.sim
	r := f.redials[name]
	if r == nil {
		r = &redial{}
		f.redials[name] = r
	}
	r.failures++
	span := min(maxRedialDelay, minRedialDelay<<min(r.failures, 5))
	r.notBefore = s.now + s.randomBetween(span*3/4, span*5/4)
	s.scheduleAt(r.notBefore, func() { f.process.execute(f.step) })
}

// sendPending sends what the client has to send.
func (f *frontEndProcess) sendPending() {
	for _, m := range f.client.Actions() {
		place := slices.IndexFunc(f.links, func(l *link) bool { return l.target.name == m.To && l.open[frontEndSide] })
		if place < 0 {
			continue
		}
		l, body := f.links[place], m
		l.send(frontEndSide, kindOf(m.Kind), len(m.Body), func() { l.control.control.receiveFromAttached(l, body) })
	}
}

// receive takes a message of a control member.
func (f *frontEndProcess) receive(l *link, m membership.Message) {
	err := f.client.Receive(f.process.localTime(), l.target.name, l.control.incarnation, m.Kind, m.Body)
	if err != nil {
		f.process.sim.traffic.countRejected(err)
		l.close(frontEndSide)
	}
	f.step()
}

// processEnded follows the process's end.
func (f *frontEndProcess) processEnded(machine bool) {
	for _, l := range f.links {
		if !l.open[frontEndSide] {
			l.dialFailed = true
			if !l.open[controlSide] {
				continue
			}
		}
		l.open[frontEndSide] = false
		l.processEnded(frontEndSide, machine)
	}
}

// processEnded has the other side learn that this one's process has ended.
func (l *link) processEnded(at side, machine bool) {
	if machine {
		l.scheduleSilenceTimeout(at.other())
		return
	}
	l.notifyClosed(at)
}
