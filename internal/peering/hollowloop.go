package peering

import (
	"golang.org/x/sys/unix"

	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
)

const nanosecondsPerMicro = 1000

// Run runs the loop until the given time of its clock, or until Stop is called. It returns an error if waiting for
// readiness events fails.
func (h *Hollow) Run(until monotime.Micros) error {
	for !h.stopped && h.TurnTime < until {
		if err := h.runTurn(until); err != nil {
			return err
		}
	}
	return nil
}

// runTurn waits for readiness events or the next tick, dispatches the events, and does for each front end what a server
// does in one turn.
func (h *Hollow) runTurn(until monotime.Micros) error {
	h.awaitMinTurnInterval()
	ready, err := h.Loop.Wait(h.nextTurnAt(until) - h.Clock.Now())
	if err != nil {
		return err
	}
	h.TurnTime = h.Clock.Now()
	h.tasks.Run()
	for _, f := range h.frontEnds {
		f.SetNow(h.TurnTime)
	}
	h.Loop.Dispatch(ready)
	for _, f := range h.frontEnds {
		h.stepFrontEnd(f)
	}
	h.Counters.LongestTurn = max(h.Counters.LongestTurn, int(h.Clock.Now()-h.TurnTime))
	return nil
}

// awaitMinTurnInterval sleeps until eventloop.MinTurnInterval has passed since the start of the last turn.
func (h *Hollow) awaitMinTurnInterval() {
	if rest := h.TurnTime + eventloop.MinTurnInterval - h.Clock.Now(); rest > 0 {
		sleep := unix.NsecToTimespec(rest * nanosecondsPerMicro)
		_ = unix.Nanosleep(&sleep, nil) // a signal may interrupt it, which is harmless
	}
}

// nextTurnAt returns the time at which the next turn is due without readiness events.
func (h *Hollow) nextTurnAt(until monotime.Micros) monotime.Micros {
	next := min(until, h.TurnTime+eventloop.TickInterval)
	for _, f := range h.frontEnds {
		next = min(next, max(f.nextTick, f.pausedUntil))
	}
	return next
}

// stepFrontEnd ticks a front end if that is due, and executes the actions that result from received messages.
func (h *Hollow) stepFrontEnd(f *hollowFrontEnd) {
	if f.pausedUntil > h.TurnTime {
		return
	}
	if f.pausedUntil > 0 {
		h.resume(f)
	}
	if h.TurnTime >= f.nextTick {
		f.nextTick = h.TurnTime + eventloop.TickInterval
		f.Tick()
		h.recordSeen(f)
	}
	if f.handledBytesIn != f.traffic.BytesIn {
		f.handledBytesIn = f.traffic.BytesIn
		f.CarryOut()
	}
}

// LongestTurn returns the duration of the loop's longest turn since the previous call. If it comes close to the links'
// timeouts, the front ends that share the loop delay one another as separate processes would not.
func (h *Hollow) LongestTurn() monotime.Micros {
	longest := h.Counters.LongestTurn
	h.Counters.LongestTurn = 0
	return monotime.Micros(longest)
}
