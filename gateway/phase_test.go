package gateway

import (
	"testing"

	"chutechute/internal/monotime"

	"github.com/stretchr/testify/assert"
)

const milli = monotime.Second / 1000

// ending plays a planned end with something open to the last, and gives when each phase began and when all was to be answered.
func ending(l *Lifecycle, from monotime.Micros) (began map[Phase]monotime.Micros, expired monotime.Micros) {
	began, expired = map[Phase]monotime.Micros{}, -1
	l.Drain(from)
	for now := from; l.Phase() != Stopped && now < from+10*monotime.Second; now += milli {
		if l.Expired(now) && expired < 0 {
			expired = now - from
		}
		if p := l.Phase(); l.Advance(now, false) != p {
			began[l.Phase()] = now - from
		}
	}
	return began, expired
}

// Whatever the longest deadline, all is answered and the connections are closed before the process may be killed: 0.7 s after it,
// where it counts for 3 s at most. What may come until 0.6 s after the signal is taken, nothing after 0.7 s.
func TestPlannedEndIsOverBeforeTheKill(t *testing.T) {
	for _, longest := range []monotime.Micros{0, 500 * milli, 1200 * milli, 3 * monotime.Second, 25 * monotime.Second} {
		l := &Lifecycle{LongestDeadline: longest}
		l.Serve()
		killed := 700*milli + min(3*monotime.Second, longest)
		if longest == 0 {
			killed = 3700 * milli
		}
		began, expired := ending(l, 7*monotime.Second)
		assert.Equal(t, Stopped, l.Phase())
		assert.GreaterOrEqual(t, began[Closing], 400*milli, "clients connect until then")
		assert.Greater(t, began[Answering], 600*milli, "and send until then")
		assert.Less(t, began[Answering], 700*milli, "what comes later counts in full")
		assert.Less(t, expired, killed-100*milli, "%d: time to write the answers", longest)
		assert.Greater(t, began[Stopped], expired, "%d", longest)
		assert.Less(t, began[Stopped], killed-100*milli, "%d", longest)
	}
}

// A second signal, and a reload, change nothing once the end has begun, in whichever phase it began.
func TestEndBeginsOnceInEachPhase(t *testing.T) {
	for name, before := range map[string]func(*Lifecycle){
		"starting":  func(*Lifecycle) {},
		"serving":   func(l *Lifecycle) { l.Serve() },
		"reloading": func(l *Lifecycle) { l.Serve(); l.Reload() },
	} {
		var once, twice Lifecycle
		for _, l := range []*Lifecycle{&once, &twice} {
			before(l)
		}
		first, _ := ending(&once, monotime.Second)
		twice.Drain(monotime.Second)
		for now := monotime.Second; now < 9*monotime.Second; now += milli {
			if p := twice.Phase(); twice.Advance(now, false) != p {
				assert.Equal(t, first[twice.Phase()], now-monotime.Second, name)
			}
			twice.Drain(now)
			twice.Reload()
			twice.Reloaded()
			twice.Serve()
			assert.False(t, twice.Healthy(), name)
		}
		assert.Equal(t, Stopped, twice.Phase(), name)
	}
}
