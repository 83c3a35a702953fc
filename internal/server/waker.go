package server

import (
	"encoding/binary"
	"fmt"

	"golang.org/x/sys/unix"
)

// Signals that wake the loop. Values written to an eventfd are added up until it is read, so each signal uses its own
// range of bits.
const (
	signalPrint = 1
	signalDrain = 1 << 40
	signalTasks = 1 << 52
)

// eventfdSize is the size of an eventfd's value in bytes.
const eventfdSize = 8

// waker lets other goroutines wake the loop through an eventfd.
type waker struct {
	server *Server
	fd     int
}

// newWaker registers a new waker with the server's loop.
func newWaker(s *Server) (*waker, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("server: eventfd: %w", err)
	}
	w := &waker{server: s, fd: fd}
	return w, s.host.Loop.Add(fd, unix.EPOLLIN, w)
}

// send sends a signal. It may be called from any goroutine.
func (w *waker) send(signal uint64) {
	// The write fails only if the eventfd's value would overflow, which takes at least 4096 unread signals.
	_, _ = unix.Write(w.fd, binary.NativeEndian.AppendUint64(nil, signal))
}

// Ready handles the received signals.
func (w *waker) Ready(uint32) {
	var buffer [eventfdSize]byte
	if n, err := unix.Read(w.fd, buffer[:]); n != eventfdSize || err != nil {
		return
	}
	signals := binary.NativeEndian.Uint64(buffer[:])
	if signals%signalDrain != 0 {
		w.server.printCounters()
	}
	if signals >= signalTasks {
		w.server.tasks.Run()
	}
	if signals%signalTasks >= signalDrain {
		w.server.lifecycle.Drain(w.server.host.TurnTime)
	}
}

// post runs a task on the event loop. It may be called from any goroutine.
func (s *Server) post(task func()) {
	s.tasks.Post(task)
	s.waker.send(signalTasks)
}

// Drain begins a graceful shutdown. It may be called from any goroutine.
func (s *Server) Drain() { s.waker.send(signalDrain) }

// PrintCounters prints the counters. It may be called from any goroutine.
func (s *Server) PrintCounters() { s.waker.send(signalPrint) }
