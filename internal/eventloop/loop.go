// Package epoll is the front end's driver: one loop over epoll that reads and writes the sockets of
// clients, engines and the journal, feeds the parsers, and runs the core. It decides nothing.
package eventloop

import (
	"fmt"

	"golang.org/x/sys/unix"

	"chutechute/internal/monotime"
)

// Intervals of the programs that run a loop.
const (
	// TickInterval is how often a program looks at all that time alone changes.
	TickInterval = 25 * monotime.Millisecond
	// MinTurnInterval is the least time between two turns. Each turn costs the scheduler a look at all queued requests, so a
	// loop that steps for every packet runs out of processor time under load.
	MinTurnInterval = 1 * monotime.Millisecond
)

// Handler is what owns a descriptor.
type Handler interface{ Ready(events uint32) }

// Loop waits for descriptors. A descriptor's number may be used again within one batch of events, so
// each registration has a generation of its own.
type Loop struct {
	fd            int
	registrations map[int32]registration
	generation    int32
	events        [256]unix.EpollEvent
}

type registration struct {
	generation int32
	handler    Handler
}

func NewLoop() (*Loop, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: create: %w", err)
	}
	return &Loop{fd: fd, registrations: map[int32]registration{}}, nil
}

func (l *Loop) Add(fd int, want uint32, h Handler) error {
	l.generation++
	l.registrations[int32(fd)] = registration{l.generation, h}
	return unix.EpollCtl(l.fd, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: want, Fd: int32(fd), Pad: l.generation})
}

func (l *Loop) Modify(fd int, want uint32) {
	// It can only fail for a descriptor that is not registered, and every owner closes through drop.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_MOD, fd, &unix.EpollEvent{Events: want, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation})
}

// Detach takes a descriptor out of the set without closing it; add puts it back.
func (l *Loop) Detach(fd int) {
	delete(l.registrations, int32(fd))
	// It can only fail for a descriptor that is not registered.
	_ = unix.EpollCtl(l.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

// CloseDescriptor closes a descriptor, which takes it out of the set too.
func (l *Loop) CloseDescriptor(fd int) {
	delete(l.registrations, int32(fd))
	unix.Close(fd)
}

// Wait waits for at most the span, which is rounded up so that the loop never spins; n descriptors are ready.
func (l *Loop) Wait(span monotime.Micros) (n int, err error) {
	timeout := int((max(0, span) + monotime.Millisecond - 1) / monotime.Millisecond)
	n, err = unix.EpollWait(l.fd, l.events[:], timeout)
	if err == unix.EINTR {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("epoll: wait: %w", err)
	}
	return n, nil
}

// Dispatch hands out the n descriptors that are ready.
func (l *Loop) Dispatch(n int) {
	for _, ev := range l.events[:n] {
		if s, ok := l.registrations[ev.Fd]; ok && s.generation == ev.Pad {
			s.handler.Ready(ev.Events)
		}
	}
}

// Close closes the loop's own descriptor; those that are registered stay open.
func (l *Loop) Close() { unix.Close(l.fd) }
