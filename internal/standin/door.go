package standin

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"
)

// Door is an engine's listener behind which those who connect can be left waiting: their connections come up once it is opened
// again, or never. It accepts by itself, so that it can be shut before the engine serves.
type Door struct {
	net.Listener
	accepted chan net.Conn // let in, for the engine
	closed   chan struct{} // closed with the listener
	close    sync.Once     // of that
	ended    chan struct{} // closed when nothing is accepted any more, which err says why
	err      error
	mu       sync.Mutex
	shut     chan struct{} // closed when it opens; nil while it is open
	held     chan struct{} // closed when a connection was accepted that waits for that
	waiting  []net.Conn    // that fill its line
}

// Shuttable has an engine listen behind a door.
func (r *Rig) Shuttable(e *Engine) *Door {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(r.T, err)
	require.NoError(r.T, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(r.T, syscall.Listen(fd, 0))
	f := os.NewFile(uintptr(fd), "door")
	l, err := net.FileListener(f)
	require.NoError(r.T, err)
	require.NoError(r.T, f.Close())
	e.Server.Listener.Close()
	d := &Door{Listener: l, accepted: make(chan net.Conn), closed: make(chan struct{}), ended: make(chan struct{})}
	go d.run()
	e.Server.Listener, e.Addr = d, l.Addr().(*net.TCPAddr)
	return d
}

// run accepts one connection after the other, and lets each in once the door is open.
func (d *Door) run() {
	defer close(d.ended)
	for {
		var c net.Conn
		if c, d.err = d.Listener.Accept(); d.err != nil {
			return
		}
		d.awaitOpen()
		select {
		case d.accepted <- c:
		case <-d.closed:
			c.Close()
		}
	}
}

func (d *Door) awaitOpen() {
	d.mu.Lock()
	shut, held := d.shut, d.held
	d.mu.Unlock()
	if shut != nil {
		close(held)
		<-shut
	}
}

// Accept takes the next connection that is let in.
func (d *Door) Accept() (net.Conn, error) {
	select {
	case c := <-d.accepted:
		return c, nil
	case <-d.ended:
		return nil, d.err
	}
}

// Shut lets nobody in any more: it fills the line of those who wait. Whom the listener accepts leaves the line, so that it is full
// for good only once the first was accepted and is held.
func (d *Door) Shut() {
	held := make(chan struct{})
	d.mu.Lock()
	d.shut, d.held = make(chan struct{}), held
	d.mu.Unlock()
	first, err := net.Dial("tcp4", d.Addr().String())
	if err != nil {
		panic(err) // nothing is in the line yet
	}
	<-held
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = append(d.waiting, first)
	for {
		c, err := net.DialTimeout("tcp4", d.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return
		}
		d.waiting = append(d.waiting, c)
	}
}

// Open lets those in who wait, and who come.
func (d *Door) Open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut != nil {
		close(d.shut)
		d.shut = nil
	}
	for _, c := range d.waiting {
		c.Close()
	}
	d.waiting = nil
}

// Close opens the door for good.
func (d *Door) Close() error {
	d.Open()
	d.close.Do(func() { close(d.closed) })
	return d.Listener.Close()
}
