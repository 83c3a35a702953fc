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
// again, or never.
type Door struct {
	net.Listener
	mu      sync.Mutex
	shut    chan struct{} // closed when it opens; nil while it is open
	waiting []net.Conn    // that fill its line
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
	d := &Door{Listener: l}
	e.Server.Listener, e.Addr = d, l.Addr().(*net.TCPAddr)
	return d
}

// Accept takes the next connection, once the door is open.
func (d *Door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	for {
		d.mu.Lock()
		shut := d.shut
		d.mu.Unlock()
		if shut == nil || err != nil {
			return c, err
		}
		<-shut
	}
}

// Shut lets nobody in any more: it fills the line of those who wait.
func (d *Door) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = make(chan struct{})
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
	return d.Listener.Close()
}
