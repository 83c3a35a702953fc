package peering

import (
	"errors"
	"fmt"
	"slices"

	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
)

// Hollow runs several front ends over one loop, without clients, engines and scheduling: each has the membership,
// the links and the replica that a server has. It measures the cost of a large fleet's control traffic. All its
// methods but Do and Stop belong to one goroutine.
type Hollow struct {
	Host
	tasks          eventloop.Tasks
	frontEnds      []*hollowFrontEnd // in the order of their starts
	pendingChanges []*pendingChange
	stopped        bool
}

// hollowFrontEnd is one front end of a Hollow.
type hollowFrontEnd struct {
	*Peering
	nextTick       monotime.Micros
	handledBytesIn int             // Traffic.BytesIn when actions were carried out last
	pausedUntil    monotime.Micros // 0 while it runs
}

// Errors of a Hollow.
var (
	ErrUnknownHollow   = errors.New("peering: no hollow front end of that name runs here")
	ErrDuplicateHollow = errors.New("peering: a hollow front end of that name runs already")
)

// NewHollow returns a Hollow without front ends, or the error of creating its loop.
func NewHollow() (*Hollow, error) {
	loop, err := eventloop.NewLoop()
	if err != nil {
		return nil, err
	}
	return &Hollow{Host: NewHost(loop)}, nil
}

// Post runs a function on the loop, within a tick. It may be called from any goroutine.
func (h *Hollow) Post(work func()) { h.tasks.Post(work) }

// Stop ends Run within a tick. It may be called from any goroutine.
func (h *Hollow) Stop() { h.Post(func() { h.stopped = true }) }

// Now returns the time of this turn of the loop, in microseconds of Unix time that never goes back.
func (h *Hollow) Now() monotime.Micros { return h.TurnTime }

// Start starts a front end under its configured name and addresses, and returns its incarnation. It returns
// ErrDuplicateHollow where one of that name runs here, or the error of building it or of listening.
func (h *Hollow) Start(cfg *config.Peers, seed uint64) (incarnation uint64, err error) {
	if h.frontEnd(cfg.Name) != nil {
		return 0, fmt.Errorf("%w: %q", ErrDuplicateHollow, cfg.Name)
	}
	firstTickDelay := monotime.Micros(seed % uint64(eventloop.TickInterval)) // processes do not tick in step
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

// Kill ends a front end as a crash does: its connections are closed as the system closes those of a dead process. It
// returns ErrUnknownHollow where none of that name runs here.
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

// Pause pauses a front end until a time, as a stopped process is: it reads, sends and notices nothing. It
// returns ErrUnknownHollow where none of that name runs here.
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

// resume ends a front end's pause.
func (h *Hollow) resume(f *hollowFrontEnd) {
	f.pausedUntil = 0
	f.eachDescriptor(func(fd int, interest uint32, handler eventloop.Handler) {
		if err := h.Loop.Add(fd, interest, handler); err != nil {
			h.Loop.CloseDescriptor(fd) // the next write fails, and the link is replaced
		}
	})
}

// frontEnd returns the front end of a name; nil where none runs here.
func (h *Hollow) frontEnd(name string) *hollowFrontEnd {
	for _, f := range h.frontEnds {
		if f.cfg.Name == name {
			return f
		}
	}
	return nil
}

// Close ends all front ends here, and closes the loop.
func (h *Hollow) Close() {
	for _, f := range h.frontEnds {
		f.closeAll()
	}
	h.frontEnds, h.pendingChanges = nil, nil
	h.Loop.Close()
}
