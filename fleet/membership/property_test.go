package membership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever is lost, late, duplicated, cut, stopped and restarted: after the faults have ended all views are the same
// and right, and at no time does a view show an incarnation again that a later process of its name has superseded.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		servers, clients := rapid.IntRange(3, 5).Draw(t, "servers"), rapid.IntRange(5, 30).Draw(t, "clients")
		history(t, seed, servers, clients, func(i int) int {
			return rapid.IntRange(int(changeLoss), int(fillQueues)).Draw(t, fmt.Sprint("fault", i))
		})
	})
}

// tb is a testing.TB that reports to a rapid.T, with the methods that the rig uses.
type tb struct {
	testing.TB
	rapid *rapid.T
}

func (t tb) Errorf(format string, args ...any) { t.rapid.Errorf(format, args...) }
func (t tb) FailNow()                          { t.rapid.FailNow() }
func (t tb) Name() string                      { return "history" }
func (t tb) Helper()                           { t.rapid.Helper() }

// steps is how many faults a history has.
const steps = 12

func history(t *rapid.T, seed uint64, servers, clients int, fault func(int) int) {
	zones := []string{"za", "zb", "za", "zc", "zb"}
	r := newRig(tb{rapid: t}, seed, zones[:servers]...)
	for i := range clients {
		r.attach(fmt.Sprintf("f%02d", i), zones[i%servers])
	}
	observers := map[any]*observer{}
	r.check = func() { r.checkNoReturn(t, observers) }
	for i := range steps {
		r.fault(faultKind(fault(i)))
		r.run(r.random.between(100*ms, 6*second))
	}
	r.endFaults()
	r.run(120 * second)
	r.requireAgreement()
}

// observer is what was seen in one view.
type observer struct {
	digest     uint64
	last       map[string]uint64 // by name
	superseded map[uint64]bool
}

// checkNoReturn checks that no server's or client's view shows a superseded incarnation again. At a client one that is
// Dead does not count: a home on the other side of a cut may know of nothing later, and its front ends then show the
// earlier one as Dead.
func (r *rig) checkNoReturn(t *rapid.T, observers map[any]*observer) {
	observe := func(who string, key any, v *View, strict bool) {
		o := observers[key]
		if o == nil {
			o = &observer{last: map[string]uint64{}, superseded: map[uint64]bool{}}
			observers[key] = o
		}
		if o.digest == v.Digest() {
			return
		}
		o.digest = v.Digest()
		for _, e := range v.Entries() {
			before := o.last[e.Name]
			if before == e.Incarnation || !strict && v.PresumedDead(e.Incarnation) {
				continue
			}
			o.superseded[before] = true
			o.last[e.Name] = e.Incarnation
			if o.superseded[e.Incarnation] {
				t.Fatalf("%s shows %d of %s again after %d, at %d ms", who, e.Incarnation, e.Name, before, r.now/ms)
			}
		}
	}
	for _, s := range r.servers {
		if s.up {
			observe(s.cfg.Name, s.Server, s.View(), true)
		}
	}
	for _, c := range r.clients {
		if c.up {
			observe(c.cfg.Name, c.Client, c.View(), false)
		}
	}
}

// faultKind is a kind of fault in a history.
type faultKind int

// The kinds of faults.
const (
	changeLoss faultKind = iota
	changeDelays
	restartClient
	restartManyClients
	restartServer
	stopOrStartServer
	cutOff
	cutOneWay
	pauseOrResumeClient
	pauseOrResumeServer
	fillQueues
)

// fault causes one of the faults, at a server or client that the seed chooses.
func (r *rig) fault(kind faultKind) {
	s := r.servers[r.random.next()%uint64(len(r.servers))]
	c := r.clients[r.random.next()%uint64(len(r.clients))]
	draw := r.random.next()
	switch kind {
	case changeLoss:
		r.lostPerThousand = int(r.random.next() % 300)
	case changeDelays:
		r.duplicatedPerThousand, r.maxDelay = int(r.random.next()%300), r.random.between(5*ms, second)
	case restartClient:
		r.restart(c)
	case restartManyClients:
		for i := range r.clients {
			if (draw>>(i%64))&3 == 0 {
				r.restart(r.clients[i])
			}
		}
	case restartServer:
		if s.up && !s.paused {
			r.stop(s)
			r.start(s)
		}
	case stopOrStartServer:
		if s.up && !s.paused && r.upServers() > 1 {
			r.stop(s)
		} else if !s.up {
			r.start(s)
		}
	case cutOff:
		r.cut = func(from, to string) bool { return side(draw, from) != side(draw, to) }
	case cutOneWay:
		r.cut = func(from, to string) bool { return from == s.cfg.Name && side(draw, to) == 0 }
	case pauseOrResumeClient:
		if c.paused {
			r.resumeClient(c)
		} else {
			c.paused = true
		}
	case pauseOrResumeServer:
		if s.paused {
			r.resumeServer(s)
		} else if s.up && r.upServers() > 1 {
			s.paused = true
		}
	case fillQueues:
		r.queueFull = func(c *rigClient) bool { return side(draw, c.cfg.Name) == 0 && r.random.next()%3 == 0 } // slow readers
	}
}

func side(seed uint64, name string) uint64 { return rendezvousWeight(name, "", seed) % 2 }

func (r *rig) upServers() (n int) {
	for _, s := range r.servers {
		if s.up && !s.paused {
			n++
		}
	}
	return n
}

// endFaults ends all faults.
func (r *rig) endFaults() {
	r.lostPerThousand, r.duplicatedPerThousand, r.maxDelay = 0, 0, 5*ms
	r.cut = func(_, _ string) bool { return false }
	r.queueFull = func(*rigClient) bool { return false }
	for _, s := range r.servers {
		switch {
		case !s.up:
			r.start(s)
		case s.paused:
			r.resumeServer(s)
		}
	}
	for _, c := range r.clients {
		if c.paused {
			r.resumeClient(c)
		}
	}
}

// The same seed gives the same run, message by message.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		r := fleet(t, 11, 20)
		for i := range 10 {
			r.fault(faultKind(i))
			r.run(3 * second)
		}
		text := ""
		for _, s := range r.servers {
			text += fmt.Sprintf("%+v %d %d\n", s.Counters, s.bytesOut, s.View().Digest())
		}
		for _, c := range r.clients {
			text += fmt.Sprintf("%+v %d %d %d\n", c.Counters, c.bytesIn, c.bytesOut, c.View().Digest())
		}
		return text
	}
	first := run()
	for range 3 {
		require.Equal(t, first, run())
	}
}
