// Package eventloop provides a single-threaded event loop over epoll, and what non-blocking connections on it need:
// sockets, buffered streams with optional TLS, a clock, and a queue of tasks from other goroutines. It implements no
// application protocol.
//
// All types except Tasks may be used by the loop's goroutine only.
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

// maxEventsPerTurn is the maximum number of readiness events that one turn of a loop handles.
const maxEventsPerTurn = 256

// Handler is notified when its registered descriptor is ready.
type Handler interface {
	// Ready handles readiness events: a set of unix.EPOLLIN, EPOLLOUT, EPOLLHUP and so on.
	Ready(events uint32)
}

// Loop waits until registered descriptors are ready and calls their handlers. A descriptor's number may be reused while
// one batch of events is handled, so each registration has its own generation number, which identifies stale events.
type Loop struct {
	fd            int
	registrations map[int32]registration
	generation    int32 // of the latest registration
	events        [maxEventsPerTurn]unix.EpollEvent
}

// registration holds the handler of a registered descriptor.
type registration struct {
	generation int32
	handler    Handler
}

// NewLoop returns a loop without registrations, or an error if its epoll instance could not be created.
func NewLoop() (*Loop, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventloop: create: %w", err)
	}
	return &Loop{fd: fd, registrations: map[int32]registration{}}, nil
}

// Add registers a descriptor with its handler and its interest, the set of epoll events to wait for.
func (l *Loop) Add(fd int, interest uint32, handler Handler) error {
	l.generation++
	l.registrations[int32(fd)] = registration{l.generation, handler}
	event := &unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: l.generation}
	return unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, event)
}

// Modify changes the interest of a registered descriptor.
func (l *Loop) Modify(fd int, interest uint32) {
	event := &unix.EpollEvent{Events: interest, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	// This fails only if the descriptor is not registered. Owners close their descriptors with CloseDescriptor, and do
	// not modify them afterwards.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_MOD, fd, event)
}

// Detach removes a descriptor's registration without closing the descriptor; Add registers it again.
func (l *Loop) Detach(fd int) {
	delete(l.registrations, int32(fd))
	// This fails only if the descriptor is not registered.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

// CloseDescriptor closes a descriptor, which also removes its registration.
func (l *Loop) CloseDescriptor(fd int) {
	delete(l.registrations, int32(fd))
	unix.Close(fd)
}

// Wait waits until descriptors are ready, or for at most the timeout, and returns how many are ready. The timeout is
// rounded up to whole milliseconds, so that a timeout below one millisecond does not make the loop spin. A signal ends
// the wait early, without an error.
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

// Dispatch calls the handlers of the descriptors that the last Wait found ready. It skips events of registrations that
// an earlier handler of the same batch has removed.
func (l *Loop) Dispatch(ready int) {
	for _, event := range l.events[:ready] {
		if r, ok := l.registrations[event.Fd]; ok && r.generation == event.Pad {
			r.handler.Ready(event.Events)
		}
	}
}

// Close closes the loop's own descriptor; registered descriptors stay open.
func (l *Loop) Close() { unix.Close(l.fd) }
