package testharness

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// BlockableListener is a TCP listener that can be blocked: while it is, its backlog is full, so that connection
// attempts hang until it is opened again, or forever. It accepts in a goroutine of its own, so that it can be
// blocked before its server calls Accept.
type BlockableListener struct {
	net.Listener
	accepted     chan net.Conn // what Accept returns
	closed       chan struct{} // closed with the listener
	closeOnce    sync.Once     // guards closing of closed
	acceptEnded  chan struct{} // closed once no connection is accepted any more; acceptErr is set before
	acceptErr    error
	mu           sync.Mutex
	unblocked    chan struct{} // closed when the listener is opened; nil while it is open
	firstBlocked chan struct{} // closed when the accept loop waits, with one connection, for unblocked
	fillers      []net.Conn    // connections that fill the backlog
}

// backlogDialTimeout is how long a connection that fills the backlog may take: one that takes longer found it full.
const backlogDialTimeout = 100 * time.Millisecond

// newBlockableListener listens on loopback with the shortest backlog that the system has.
func newBlockableListener() (*BlockableListener, error) {
	listener, err := listenWithoutBacklog()
	if err != nil {
		return nil, err
	}
	l := &BlockableListener{
		Listener:    listener,
		accepted:    make(chan net.Conn),
		closed:      make(chan struct{}),
		acceptEnded: make(chan struct{}),
	}
	go l.acceptLoop()
	return l, nil
}

// listenWithoutBacklog listens on loopback with a backlog of 0, which package net can't ask for.
func listenWithoutBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // FileListener has a copy of the descriptor
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// acceptLoop accepts one connection after the other, and hands each to Accept once the listener is open.
func (l *BlockableListener) acceptLoop() {
	defer close(l.acceptEnded)
	for {
		var conn net.Conn
		if conn, l.acceptErr = l.Listener.Accept(); l.acceptErr != nil {
			return
		}
		l.waitUnblocked()
		select {
		case l.accepted <- conn:
		case <-l.closed:
			conn.Close()
		}
	}
}

// waitUnblocked waits until the listener is open.
func (l *BlockableListener) waitUnblocked() {
	l.mu.Lock()
	unblocked, firstBlocked := l.unblocked, l.firstBlocked
	l.mu.Unlock()
	if unblocked != nil {
		close(firstBlocked)
		<-unblocked
	}
}

// Accept returns the next connection, once the listener is open.
func (l *BlockableListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.acceptEnded:
		return nil, l.acceptErr
	}
}

// Block blocks the listener: it returns once the backlog is full. What the listener accepts leaves the backlog, so
// that it stays full only once the accept loop has accepted one connection and waits.
func (l *BlockableListener) Block() {
	firstBlocked := make(chan struct{})
	l.mu.Lock()
	l.unblocked, l.firstBlocked = make(chan struct{}), firstBlocked
	l.mu.Unlock()
	first, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		panic(err) // the backlog is still empty
	}
	<-firstBlocked
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fillers = append(l.fillers, first)
	for {
		conn, err := net.DialTimeout("tcp4", l.Addr().String(), backlogDialTimeout)
		if err != nil {
			return
		}
		l.fillers = append(l.fillers, conn)
	}
}

// Unblock unblocks the listener and closes the connections that filled its backlog.
func (l *BlockableListener) Unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unblocked != nil {
		close(l.unblocked)
		l.unblocked = nil
	}
	for _, conn := range l.fillers {
		conn.Close()
	}
	l.fillers = nil
}

// Close unblocks and closes the listener.
func (l *BlockableListener) Close() error {
	l.Unblock()
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
