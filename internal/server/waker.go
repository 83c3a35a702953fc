package server

import (
	"encoding/binary"
	"fmt"

	"golang.org/x/sys/unix"
)

// Signals that wake the loop. The values of an eventfd add up until it is read, so each signal counts in bits of its
// own.
const (
	signalPrint = 1
	signalDrain = 1 << 40
	signalTasks = 1 << 52
)

// eventfdSize is the size of an eventfd's value, in bytes.
const eventfdSize = 8

// waker lets other goroutines wake the loop, by an eventfd.
type waker struct {
	server *Server
	fd     int
}

// newWaker adds a waker to the server's loop.
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
	// It fails only where billions of signals are unread.
	_, _ = unix.Write(w.fd, binary.NativeEndian.AppendUint64(nil, signal))
}

// Ready handles the signals that have come.
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

// post has the loop run a task. It may be called from any goroutine.
func (s *Server) post(task func()) {
	s.tasks.Post(task)
	s.waker.send(signalTasks)
}

// Drain begins a graceful shutdown. It may be called from any goroutine.
func (s *Server) Drain() { s.waker.send(signalDrain) }

// PrintCounters prints the counters. It may be called from any goroutine.
func (s *Server) PrintCounters() { s.waker.send(signalPrint) }
