package testharness

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// BlockableListener is a TCP listener that can be blocked. While it is blocked, its backlog is full, so that attempts
// to connect hang until it is unblocked. It accepts connections in a goroutine of its own, so that it can be blocked
// before its server calls Accept.
type BlockableListener struct {
	net.Listener
	accepted     chan net.Conn // connections for Accept to return
	closed       chan struct{} // closed with the listener
	closeOnce    sync.Once     // closes closed
	acceptEnded  chan struct{} // closed once acceptLoop has ended; acceptErr is set before
	acceptErr    error
	mu           sync.Mutex
	unblocked    chan struct{} // closed when the listener is unblocked; nil while it isn't blocked
	firstBlocked chan struct{} // closed when acceptLoop has accepted a connection and waits for unblocked
	fillers      []net.Conn    // connections that fill the backlog
}

// backlogDialTimeout is the timeout for opening a connection that fills the backlog. A timeout shows that the backlog
// is full.
const backlogDialTimeout = 100 * time.Millisecond

// newBlockableListener listens on loopback with the shortest backlog that the system supports.
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

// listenWithoutBacklog listens on loopback with a backlog of 0, which package net doesn't support.
func listenWithoutBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close() // FileListener duplicates the descriptor
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// acceptLoop accepts connections until the listener is closed, and passes each to Accept once the listener isn't
// blocked.
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

// waitUnblocked waits while the listener is blocked.
func (l *BlockableListener) waitUnblocked() {
	l.mu.Lock()
	unblocked, firstBlocked := l.unblocked, l.firstBlocked
	l.mu.Unlock()
	if unblocked != nil {
		close(firstBlocked)
		<-unblocked
	}
}

// Accept returns the next connection. It waits while the listener is blocked.
func (l *BlockableListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.acceptEnded:
		return nil, l.acceptErr
	}
}

// Block blocks the listener. It returns once the backlog is full. Accepting a connection removes it from the backlog,
// so Block fills the backlog only after acceptLoop has accepted one connection and waits.
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
