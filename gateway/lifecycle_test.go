package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/monotime"
)

const millisecond = monotime.Millisecond

// shutDown runs a graceful shutdown that never becomes quiet. It returns when each phase began and when MustExpireAll
// was first true (-1: never), counted from the signal.
func shutDown(l *Lifecycle, signal monotime.Micros) (began map[Phase]monotime.Micros, expired monotime.Micros) {
	began, expired = map[Phase]monotime.Micros{}, -1
	l.Drain(signal)
	for now := signal; l.Phase() != Stopped && now < signal+10*monotime.Second; now += millisecond {
		if l.MustExpireAll(now) && expired < 0 {
			expired = now - signal
		}
		if before := l.Phase(); l.Advance(now, false) != before {
			began[l.Phase()] = now - signal
		}
	}
	return began, expired
}

// For any longest client timeout, all requests are answered and all connections are closed before the process may be
// killed, which is 0.7 s plus that timeout (at most 3 s) after the signal. Requests that arrive until 0.6 s after the
// signal are accepted, none after 0.7 s.
func TestGracefulShutdownEndsBeforeTheKill(t *testing.T) {
	for _, longest := range []monotime.Micros{0, 500 * millisecond, 1200 * millisecond, 3 * monotime.Second,
		25 * monotime.Second} {
		l := &Lifecycle{MaxClientTimeout: longest}
		l.Serve()
		killTime := 700*millisecond + min(3*monotime.Second, longest)
		if longest == 0 {
			killTime = 3700 * millisecond
		}
		began, expired := shutDown(l, 7*monotime.Second)
		assert.Equal(t, Stopped, l.Phase())
		assert.GreaterOrEqual(t, began[Closing], 400*millisecond, "clients may connect until then")
		assert.Greater(t, began[Answering], 600*millisecond, "clients may send requests until then")
		assert.Less(t, began[Answering], 700*millisecond, "a request accepted later would have to be answered")
		assert.Less(t, expired, killTime-100*millisecond, "%d: time to write the responses", longest)
		assert.Greater(t, began[Stopped], expired, "%d", longest)
		assert.Less(t, began[Stopped], killTime-100*millisecond, "%d", longest)
	}
}

// Once a shutdown has begun, in whichever phase, another signal or a reload has no effect on it.
func TestShutdownIsNotRestartedInAnyPhase(t *testing.T) {
	for name, enterPhase := range map[string]func(*Lifecycle){
		"starting":  func(*Lifecycle) {},
		"serving":   func(l *Lifecycle) { l.Serve() },
		"reloading": func(l *Lifecycle) { l.Serve(); l.Reload() },
	} {
		var undisturbed, disturbed Lifecycle
		for _, l := range []*Lifecycle{&undisturbed, &disturbed} {
			enterPhase(l)
		}
		began, _ := shutDown(&undisturbed, monotime.Second)
		disturbed.Drain(monotime.Second)
		for now := monotime.Second; now < 9*monotime.Second; now += millisecond {
			if before := disturbed.Phase(); disturbed.Advance(now, false) != before {
				assert.Equal(t, began[disturbed.Phase()], now-monotime.Second, name)
			}
			disturbed.Drain(now)
			disturbed.Reload()
			disturbed.Reloaded()
			disturbed.Serve()
			assert.False(t, disturbed.Healthy(), name)
		}
		assert.Equal(t, Stopped, disturbed.Phase(), name)
	}
}
