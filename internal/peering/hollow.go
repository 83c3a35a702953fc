package peering

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
)

// Hollow runs several hollow front ends on one event loop: each has the membership, links and replica of a server, but
// no clients, engines or scheduler. It is used to measure the cost of a large fleet's control traffic. All methods
// except Post and Stop must be called from one goroutine.
type Hollow struct {
	Host
	tasks          eventloop.Tasks
	frontEnds      []*hollowFrontEnd // in the order in which they were started
	pendingChanges []*pendingChange
	stopped        bool
}

// hollowFrontEnd is one front end of a Hollow.
type hollowFrontEnd struct {
	*Peering
	nextTick       monotime.Micros
	handledBytesIn int             // Traffic.BytesIn when actions were last executed
	pausedUntil    monotime.Micros // 0 unless paused
}

// Errors of a Hollow.
var (
	ErrUnknownHollow   = errors.New("peering: no such hollow front end")
	ErrDuplicateHollow = errors.New("peering: hollow front end already running")
)

// NewHollow returns a Hollow without front ends. It returns an error if the event loop cannot be created.
func NewHollow() (*Hollow, error) {
	loop, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	return &Hollow{Host: NewHost(loop)}, nil
}

// Post runs a function on the loop within a tick interval. It may be called from any goroutine.
func (h *Hollow) Post(work func()) { h.tasks.Post(work) }

// Stop makes Run return within a tick interval. It may be called from any goroutine.
func (h *Hollow) Stop() { h.Post(func() { h.stopped = true }) }

// Now returns the start time of the current turn of the loop, in microseconds of Unix time. It never goes back.
func (h *Hollow) Now() monotime.Micros { return h.TurnTime }

// Start starts a front end with the given configuration and returns its incarnation. It returns ErrDuplicateHollow if a
// front end of that name is already running here, or an error if the front end cannot be created or cannot listen.
func (h *Hollow) Start(cfg *config.Peers, seed uint64) (incarnation uint64, err error) {
	if h.frontEnd(cfg.Name) != nil {
		return 0, fmt.Errorf("%w: %q", ErrDuplicateHollow, cfg.Name)
	}
	firstTickDelay := monotime.Micros(seed % uint64(eventloop.TickInterval)) // front ends tick at different times
	f := &hollowFrontEnd{nextTick: h.TurnTime + firstTickDelay}
	program := Program{Host: &h.Host, Seed: seed, Post: h.Post, Draining: func() bool { return false }}
	if f.Peering, err = NewPeering(program, cfg); err != nil {
		return 0, err
	}
	if err := f.Listen(); err != nil {
		return 0, err
	}
	h.frontEnds = append(h.frontEnds, f)
	return f.self.Incarnation, nil
}

// Kill ends a front end like a crash: its descriptors are closed without notice, as the kernel does for a dead process.
// It returns ErrUnknownHollow if no front end of that name is running here.
func (h *Hollow) Kill(name string) error {
	f := h.frontEnd(name)
	if f == nil {
		return fmt.Errorf("%w: %q", ErrUnknownHollow, name)
	}
	f.closeAll()
	i := slices.Index(h.frontEnds, f)
	h.frontEnds = append(h.frontEnds[:i], h.frontEnds[i+1:]...)
	h.stopAwaiting(f)
	return nil
}

// Pause suspends a front end until the given time, like a stopped process: it reads and sends nothing, and its timers
// do not run. It returns ErrUnknownHollow if no front end of that name is running here.
func (h *Hollow) Pause(name string, until monotime.Micros) error {
	f := h.frontEnd(name)
	if f == nil {
		return fmt.Errorf("%w: %q", ErrUnknownHollow, name)
	}
	if f.pausedUntil == 0 {
		f.eachDescriptor(func(fd int, _ uint32, _ eventloop.Handler) { h.Loop.Detach(fd) })
	}
	f.pausedUntil = until
	h.stopAwaiting(f)
	return nil
}

// resume ends a front end's pause and registers its descriptors with the loop again.
func (h *Hollow) resume(f *hollowFrontEnd) {
	f.pausedUntil = 0
	f.eachDescriptor(func(fd int, interest uint32, handler eventloop.Handler) {
		if err := h.Loop.Add(fd, interest, handler); err != nil {
			h.Loop.CloseDescriptor(fd) // the next write fails, and then the link is replaced
		}
	})
}

// frontEnd returns the front end with the given name; nil if none is running here.
func (h *Hollow) frontEnd(name string) *hollowFrontEnd {
	for _, f := range h.frontEnds {
		if f.cfg.Name == name {
			return f
		}
	}
	return nil
}

// Close ends all front ends and closes the loop.
func (h *Hollow) Close() {
	for _, f := range h.frontEnds {
		f.closeAll()
	}
	h.frontEnds, h.pendingChanges = nil, nil
	h.Loop.Close()
}
