package membership

import (
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// front is the process of an attached front end.
type front struct {
	q      *process
	client *membership.Client
	links  []*link
	retry  map[string]*retry
	wake   monotime.Micros // when the next step is set; 0: none is
}

// retry is when a control member may be dialled again.
type retry struct {
	failures int
	at       monotime.Micros
}

func newFront(q *process) *front {
	return &front{q: q, retry: map[string]*retry{}, client: membership.NewClient(q.config())}
}

// config is what a member of either role is told.
func (q *process) config() membership.Config {
	cfg := membership.Config{Name: q.p.name, Zone: q.p.zoneName(), Incarnation: q.incarnation, Seed: q.s.rng.Uint64()}
	for _, c := range q.s.controls {
		cfg.ControlMembers = append(cfg.ControlMembers, membership.ControlMember{Name: c.name, Zone: c.zoneName()})
	}
	return cfg
}

// step lets time pass where that is due, and does what follows.
func (f *front) step() {
	now := f.q.local()
	if now >= f.client.Next() {
		f.client.Tick(now)
	}
	f.retarget()
	f.pump()
	f.sleep()
}

// sleep sets the next step.
func (f *front) sleep() {
	s := f.q.s
	when := max(f.q.trueTime(f.client.Next()), s.now+ms)
	if f.wake > s.now && f.wake <= when {
		return
	}
	f.wake = when
	s.at(when, func() {
		if f.wake == when {
			f.wake = 0
			f.q.does(f.step)
		}
	})
}

// retarget closes and opens links.
func (f *front) retarget() {
	targets := f.client.Targets(f.q.local())
	for _, l := range slices.Clone(f.links) {
		if !slices.Contains(targets, l.to.name) {
			f.drop(l)
		}
	}
	for _, name := range targets {
		if !slices.ContainsFunc(f.links, func(l *link) bool { return l.to.name == name }) {
			f.dial(name)
		}
	}
}

// drop closes a link, or gives its dial up.
func (f *front) drop(l *link) {
	if l.open[frontSide] {
		l.close(frontSide)
	} else {
		l.fail()
	}
}

func (f *front) dial(name string) {
	s := f.q.s
	if r := f.retry[name]; r != nil && r.at > s.now {
		return
	}
	l := &link{s: s, front: f.q, to: s.byName[name]}
	f.links = append(f.links, l)
	l.dial()
}

// linked follows a link's opening.
func (f *front) linked(l *link) {
	delete(f.retry, l.to.name)
	f.client.LinkOpened(f.q.local(), l.to.name, l.control.incarnation)
	f.step()
}

// lost follows a link's end, or a dial that failed.
func (f *front) lost(l *link) {
	place := slices.Index(f.links, l)
	if place < 0 {
		return
	}
	f.links = slices.Delete(f.links, place, place+1)
	f.later(l.to.name)
	f.client.LinkClosed(f.q.local(), l.to.name)
	f.step()
}

// later has the next dial of a control member wait.
func (f *front) later(name string) {
	s := f.q.s
	r := f.retry[name]
	if r == nil {
		r = &retry{}
		f.retry[name] = r
	}
	r.failures++
	span := min(linkRest, linkRetry<<min(r.failures, 5))
	r.at = s.now + s.between(span*3/4, span*5/4)
	s.at(r.at, func() { f.q.does(f.step) })
}

// pump sends what the client has to send.
func (f *front) pump() {
	for _, m := range f.client.Actions() {
		place := slices.IndexFunc(f.links, func(l *link) bool { return l.to.name == m.To && l.open[frontSide] })
		if place < 0 {
			continue
		}
		l, body := f.links[place], m
		l.send(frontSide, kindOf(m.Kind), len(m.Body), func() { l.control.control.receive(l, body) })
	}
}

// receive takes a message of a control member.
func (f *front) receive(l *link, m membership.Message) {
	err := f.client.Receive(f.q.local(), l.to.name, l.control.incarnation, m.Kind, m.Body)
	if err != nil {
		f.q.s.account.fault(err)
		l.close(frontSide)
	}
	f.step()
}

// ended follows the process's end.
func (f *front) ended(machine bool) {
	for _, l := range f.links {
		if !l.open[frontSide] {
			l.failed = true
			if !l.open[controlSide] {
				continue
			}
		}
		l.open[frontSide] = false
		l.gone(frontSide, machine)
	}
}

// gone has the other side learn that this one's process has ended.
func (l *link) gone(at side, machine bool) {
	if machine {
		l.silentSoon(at.other())
		return
	}
	l.ended(at)
}
