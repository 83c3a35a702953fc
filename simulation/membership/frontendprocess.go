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
	links    []*link // open links and links being dialed
	redials  map[string]*redial
	nextWake monotime.Micros // when the next tick is scheduled; 0 if none is
}

// redial holds the backoff of dials to one control member.
type redial struct {
	failures  int
	notBefore monotime.Micros
}

func newFrontEndProcess(p *process) *frontEndProcess {
	return &frontEndProcess{
		process: p,
		client:  membership.NewClient(p.membershipConfig()),
		redials: map[string]*redial{},
	}
}

func (f *frontEndProcess) start() { f.process.execute(f.tick) }

// tick ticks the client if that is due, updates the links, sends pending messages, and schedules the next tick.
func (f *frontEndProcess) tick() {
	now := f.process.localTime()
	if now >= f.client.Next() {
		f.client.Tick(now)
	}
	f.updateLinks()
	f.sendPending()
	f.scheduleWake()
}

func (f *frontEndProcess) view() *membership.View { return f.client.View() }

func (f *frontEndProcess) side() side { return frontEndSide }

func (f *frontEndProcess) allLinks() []*link { return f.links }

// scheduleWake schedules the next tick, unless an earlier one is scheduled.
func (f *frontEndProcess) scheduleWake() {
	sim := f.process.sim
	when := max(f.process.simulationTime(f.client.Next()), sim.now+monotime.Millisecond)
	if f.nextWake > sim.now && f.nextWake <= when {
		return
	}
	f.nextWake = when
	sim.scheduleAt(when, func() {
		if f.nextWake == when {
			f.nextWake = 0
			f.process.execute(f.tick)
		}
	})
}

// updateLinks closes the links to control members that are no longer targets of the client, and dials missing targets.
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

// closeLink closes a link, or abandons its dial if it is not open.
func (f *frontEndProcess) closeLink(l *link) {
	if l.open[frontEndSide] {
		l.close(frontEndSide)
	} else {
		l.abandonDial()
	}
}

// dial dials a control member, unless the backoff of earlier failures has not passed.
func (f *frontEndProcess) dial(name string) {
	sim := f.process.sim
	if r := f.redials[name]; r != nil && r.notBefore > sim.now {
		return
	}
	l := &link{sim: sim, frontEnd: f.process, target: sim.memberByName[name]}
	f.links = append(f.links, l)
	l.dial()
}

func (f *frontEndProcess) linkOpened(l *link) {
	delete(f.redials, l.target.name)
	f.client.LinkOpened(f.process.localTime(), l.target.name, l.control.incarnation)
	f.tick()
}

// linkClosed handles the closing of a link, or a failed dial.
func (f *frontEndProcess) linkClosed(l *link) {
	index := slices.Index(f.links, l)
	if index < 0 {
		return
	}
	f.links = slices.Delete(f.links, index, index+1)
	f.delayRedial(l.target.name)
	f.client.LinkClosed(f.process.localTime(), l.target.name)
	f.tick()
}

// delayRedial delays the next dial of a control member, by a random duration that grows with each failure.
func (f *frontEndProcess) delayRedial(name string) {
	const maxDoublings = 5
	sim := f.process.sim
	r := f.redials[name]
	if r == nil {
		r = &redial{}
		f.redials[name] = r
	}
	r.failures++
	delay := min(maxRedialDelay, minRedialDelay<<min(r.failures, maxDoublings))
	r.notBefore = sim.now + sim.randomBetween(delay*3/4, delay*5/4)
	sim.scheduleAt(r.notBefore, func() { f.process.execute(f.tick) })
}

// sendPending sends the client's pending messages. A message to a control member without an open link is lost.
func (f *frontEndProcess) sendPending() {
	for _, message := range f.client.TakeMessages() {
		l := f.openLink(message.To)
		if l == nil {
			continue
		}
		deliver := func() { l.control.control.receiveFromAttached(l, message) }
		l.send(frontEndSide, kindOf(message.Kind), len(message.Body), deliver)
	}
}

// openLink returns the open link to a control member, or nil if there is none.
func (f *frontEndProcess) openLink(name string) *link {
	for _, l := range f.links {
		if l.target.name == name && l.open[frontEndSide] {
			return l
		}
	}
	return nil
}

// receive handles a message from a control member.
func (f *frontEndProcess) receive(l *link, message membership.Message) {
	now := f.process.localTime()
	err := f.client.Receive(now, l.target.name, l.control.incarnation, message.Kind, message.Body)
	if err != nil {
		f.process.sim.countRejected(err)
		l.close(frontEndSide)
	}
	f.tick()
}

func (f *frontEndProcess) crashed(scope crashScope) {
	for _, l := range f.links {
		if !l.open[frontEndSide] {
			l.dialFailed = true
			if !l.open[controlSide] {
				continue
			}
		}
		l.open[frontEndSide] = false
		l.notifyCrashed(frontEndSide, scope)
	}
}
