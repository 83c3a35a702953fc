package peering

import (
	"errors"
	"fmt"

	"golang.org/x/sys/unix"

	"chutechute/fleet/heartbeat"
	"chutechute/fleet/membership"
	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
)

// Hollow is several front ends over one loop, without clients, engines and decisions: each has the membership, the links and
// the copy of the record that a Server has. It is there to measure what a large fleet's control costs. Run and all methods but Do
// and Stop belong to one goroutine.
type Hollow struct {
	Host
	posts   eventloop.Tasks
	members []*hollowMember // in the order of their starts
	awaited []*awaited
	stopped bool
}

// hollowMember is one front end of a Hollow.
type hollowMember struct {
	*Peering
	nextTick monotime.Micros
	pumped   int             // bytes that had come at the last pump
	paused   monotime.Micros // until when it stands still; 0: it runs
}

// Errors of a Hollow.
var (
	ErrUnknownHollow   = errors.New("peering: no hollow front end of that name runs here")
	ErrDuplicateHollow = errors.New("peering: a hollow front end of that name runs already")
)

// NewHollow builds a loop without front ends.
func NewHollow() (*Hollow, error) {
	l, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	return &Hollow{Host: NewHost(l)}, nil
}

// Do hands work to the loop, which runs it within a tick. It may be called from any goroutine.
func (h *Hollow) Do(work func()) { h.posts.Add(work) }

// Stop ends Run within a tick. It may be called from any goroutine.
func (h *Hollow) Stop() { h.Do(func() { h.stopped = true }) }

// CurrentTime is the time of this turn of the loop, in microseconds of Unix time that never goes back.
func (h *Hollow) CurrentTime() monotime.Micros { return h.TurnTime }

// Start starts a front end under its configured name and addresses, and gives its process's number. Its record is kept in memory.
func (h *Hollow) Start(cfg *config.Peers, seed uint64) (incarnation uint64, err error) {
	if h.member(cfg.Name) != nil {
		return 0, fmt.Errorf("%w: %q", ErrDuplicateHollow, cfg.Name)
	}
	m := &hollowMember{nextTick: h.TurnTime + monotime.Micros(seed%uint64(eventloop.TickInterval))} // processes don't tick together
	of := Program{Host: &h.Host, Seed: seed, Post: h.Do, Draining: func() bool { return false }}
	if m.Peering, err = NewPeering(of, cfg); err != nil {
		return 0, err
	}
	if err := m.Listen(); err != nil {
		return 0, err
	}
	h.members = append(h.members, m)
	return m.self.Incarnation, nil
}

// Kill ends a front end without a word: its connections are closed as the system closes those of a dead process.
func (h *Hollow) Kill(name string) error {
	m := h.member(name)
	if m == nil {
		return fmt.Errorf("%w: %q", ErrUnknownHollow, name)
	}
	m.halt()
	for i := range h.members {
		if h.members[i] == m {
			h.members = append(h.members[:i], h.members[i+1:]...)
			break
		}
	}
	h.forget(m)
	return nil
}

// Pause has a front end stand still until a time, as a stopped process does: nothing is read, sent or noticed.
func (h *Hollow) Pause(name string, until monotime.Micros) error {
	m := h.member(name)
	if m == nil {
		return fmt.Errorf("%w: %q", ErrUnknownHollow, name)
	}
	if m.paused == 0 {
		m.each(func(fd int, _ uint32, _ eventloop.Handler) { h.Loop.Detach(fd) })
	}
	m.paused = until
	h.forget(m)
	return nil
}

// resume lets a front end go on that stood still.
func (h *Hollow) resume(m *hollowMember) {
	m.paused = 0
	m.each(func(fd int, want uint32, owner eventloop.Handler) {
		if err := h.Loop.Add(fd, want, owner); err != nil {
			h.Loop.CloseDescriptor(fd) // its next write fails, and the link is made anew
		}
	})
}

func (h *Hollow) member(name string) *hollowMember {
	for _, m := range h.members {
		if m.cfg.Name == name {
			return m
		}
	}
	return nil
}

// Run carries the loop until a time of its clock, or until Stop.
func (h *Hollow) Run(until monotime.Micros) error {
	for !h.stopped && h.TurnTime < until {
		if err := h.turn(until); err != nil {
			return err
		}
	}
	return nil
}

// turn waits, reads all that is ready, and lets each front end do what a Server's turn does.
func (h *Hollow) turn(until monotime.Micros) error {
	if rest := h.TurnTime + eventloop.MinTurnInterval - h.Clock.Now(); rest > 0 {
		t := unix.NsecToTimespec(rest * 1000)
		_ = unix.Nanosleep(&t, nil) // a signal may cut it short, to no harm
	}
	next := min(until, h.TurnTime+eventloop.TickInterval)
	for _, m := range h.members {
		next = min(next, max(m.nextTick, m.paused))
	}
	n, err := h.Loop.Wait(next - h.Clock.Now())
	if err != nil {
		return err
	}
	h.TurnTime = h.Clock.Now()
	h.posts.Run()
	for _, m := range h.members {
		m.SetNow(h.TurnTime)
	}
	h.Loop.Dispatch(n)
	for _, m := range h.members {
		h.step(m)
	}
	h.Counters.LongestTurn = max(h.Counters.LongestTurn, int(h.Clock.Now()-h.TurnTime))
	return nil
}

// LongestTurn is the longest turn of the loop since this was asked last, in microseconds. Where it comes near the links' own spans,
// front ends that share the loop disturb one another as processes of their own would not.
func (h *Hollow) LongestTurn() monotime.Micros {
	longest := h.Counters.LongestTurn
	h.Counters.LongestTurn = 0
	return monotime.Micros(longest)
}

// step lets time pass for a front end whose tick is due, and carries out what messages have made it want.
func (h *Hollow) step(m *hollowMember) {
	if m.paused > h.TurnTime {
		return
	}
	if m.paused > 0 {
		h.resume(m)
	}
	if h.TurnTime >= m.nextTick {
		m.nextTick = h.TurnTime + eventloop.TickInterval
		m.Tick()
		h.look(m)
	}
	if m.pumped != m.traffic.BytesIn {
		m.pumped = m.traffic.BytesIn
		m.CarryOut()
	}
}

// Traffic is what a front end has read and written since its start; false where none of that name runs here.
func (h *Hollow) Traffic(name string) (Traffic, bool) {
	m := h.member(name)
	if m == nil {
		return Traffic{}, false
	}
	return m.traffic, true
}

// Connections is how many connections a front end has, those that it accepted and those that it dialled.
func (h *Hollow) Connections(name string) int {
	m := h.member(name)
	if m == nil {
		return 0
	}
	return m.connections()
}

// Complete is how many front ends here see so many as alive, themselves too, and the least that any sees.
func (h *Hollow) Complete(total int) (complete, least int) {
	least = total
	counted := map[uint64]int{} // views by their digest: most are the same
	for _, m := range h.members {
		alive := m.alive(total, counted)
		if alive == total {
			complete++
		}
		least = min(least, alive)
	}
	return complete, least
}

// Close ends all front ends here.
func (h *Hollow) Close() {
	for _, m := range h.members {
		m.halt()
	}
	h.members, h.awaited = nil, nil
	h.Loop.Close()
}

// halt closes all that a front end has open.
func (p *Peering) halt() {
	for _, l := range p.out {
		l.Close()
	}
	for l := range p.in {
		l.end()
	}
	if p.listener != nil {
		p.Host.Loop.CloseDescriptor(p.listener.fd)
	}
	p.Close()
}

// each gives all of a front end's open descriptors with what is awaited of them and their owners.
func (p *Peering) each(do func(fd int, want uint32, owner eventloop.Handler)) {
	if p.listener != nil {
		do(p.listener.fd, unix.EPOLLIN, p.listener)
	}
	for _, l := range p.out {
		if !l.Closed {
			do(l.FD, l.Interest, l)
		}
	}
	for l := range p.in {
		do(l.FD, l.Interest, l)
	}
}

func (p *Peering) connections() int {
	open := len(p.in)
	for _, l := range p.out {
		if !l.Closed {
			open++
		}
	}
	return open
}

// alive is how many front ends this one sees as alive, itself too; of a view with fewer than total entries, these. What counting a
// view comes to is kept in counted.
func (p *Peering) alive(total int, counted map[uint64]int) int {
	view := p.part.View()
	switch {
	case view == nil:
		return p.aliveMembers()
	case view.Len() < total:
		return view.Len()
	}
	alive, known := counted[view.Digest()]
	if known {
		return alive
	}
	for _, e := range view.Entries() {
		if e.State == membership.Alive {
			alive++
		}
	}
	counted[view.Digest()] = alive
	return alive
}

func (p *Peering) aliveMembers() int {
	alive := 1
	for _, m := range p.node.Members().Peers() {
		if m.State == heartbeat.Alive {
			alive++
		}
	}
	return alive
}
