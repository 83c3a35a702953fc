// Package eventloop has a single-threaded event loop over epoll, and what is needed to run non-blocking connections on
// it: sockets, buffered streams with optional TLS, a clock, and tasks that other goroutines hand to the loop. It knows
// no protocol.
//
// All types but Tasks belong to the loop's goroutine.
package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
)

// Intervals of the programs that run a loop.
const (
	// TickInterval is the interval at which a program checks its timeouts and other time-driven state.
	TickInterval = 25 * monotime.Millisecond
	// MinTurnInterval is the minimum interval between two turns of a loop. Each turn costs the scheduler a pass over
	// all queued requests, so a loop that takes a turn for every packet runs out of processor time under load.
	MinTurnInterval = 1 * monotime.Millisecond
)

// maxEventsPerTurn is the number of readiness events that one turn of a loop handles.
const maxEventsPerTurn = 256

// Handler is notified when its registered descriptor is ready.
type Handler interface {
	// Ready handles readiness events: a set of unix.EPOLLIN, EPOLLOUT, EPOLLHUP and so on.
	Ready(events uint32)
}

// Loop waits for readiness of registered descriptors and dispatches it to their handlers. A descriptor's number may be
// reused within one batch of events, so each registration has a generation of its own, by which stale events are
// recognized.
type Loop struct {
	fd            int
	registrations map[int32]registration
	generation    int32 // of the latest registration
	events        [maxEventsPerTurn]unix.EpollEvent
}

// registration is a registered descriptor's handler.
type registration struct {
	generation int32
	handler    Handler
}

// NewLoop returns a loop without registrations, or the error of creating its epoll instance.
func NewLoop() (*Loop, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventloop: create: %w", err)
	}
	return &Loop{fd: fd, registrations: map[int32]registration{}}, nil
}

// Add registers a descriptor with its handler and its interest, a set of epoll events.
func (l *Loop) Add(fd int, interest uint32, handler Handler) error {
	l.generation++
	l.registrations[int32(fd)] = registration{l.generation, handler}
	event := &unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: l.generation}
	return unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, event)
}

// Modify changes the interest of a registered descriptor.
func (l *Loop) Modify(fd int, interest uint32) {
	event := &unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	// It fails only for a descriptor that is not registered, and every owner closes through CloseDescriptor.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_MOD, fd, event)
}

// Detach removes a descriptor's registration without closing the descriptor; Add registers it again.
func (l *Loop) Detach(fd int) {
	delete(l.registrations, int32(fd))
	// It fails only for a descriptor that is not registered.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

// CloseDescriptor closes a descriptor, which ends its registration too.
func (l *Loop) CloseDescriptor(fd int) {
	delete(l.registrations, int32(fd))
	unix.Close(fd)
}

// Wait waits until descriptors are ready, or for at most the timeout, and returns how many are ready. The timeout is
// rounded up to whole milliseconds, so that the loop never spins. A signal ends the wait early, without an error.
func (l *Loop) Wait(timeout monotime.Micros) (ready int, err error) {
	timeoutMillis := int((max(0, timeout) + monotime.Millisecond - 1) / monotime.Millisecond)
	ready, err = unix.EpollWait(l.fd, l.events[:], timeoutMillis)
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("eventloop: wait: %w", err)
	}
	return ready, nil
}

// Dispatch calls the handlers of the descriptors that the last Wait found ready. Events of registrations that a handler
// has ended in the meantime are skipped.
func (l *Loop) Dispatch(ready int) {
	for _, event := range l.events[:ready] {
		if r, ok := l.registrations[event.Fd]; ok && r.generation == event.Pad {
			r.handler.Ready(event.Events)
		}
	}
}

// Close closes the loop's own descriptor; registered descriptors stay open.
func (l *Loop) Close() { unix.Close(l.fd) }
