package peering

import (
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sys/unix"

	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/ring"
)

const (
	maxAdminConnections   = 8
	maxAdminRequestBytes  = 4 << 10
	maxAdminResponseBytes = 4 << 20
	adminTimeout          = 3000 * monotime.Millisecond // from accepting a connection to the end of its response
)

// adminListener serves the admin socket, a Unix socket that only its owner may use. Each connection carries one
// request, a line of text, and one response, a line of JSON.
type adminListener struct {
	peering     *Peering
	fd          int
	connections map[*adminConnection]struct{}
}

func newAdminListener(p *Peering) (*adminListener, error) {
	fd, err := listenUnix(p.cfg.AdminSocket)
	if err != nil {
		return nil, fmt.Errorf("installation: fleet.admin: %w", err)
	}
	a := &adminListener{peering: p, fd: fd, connections: map[*adminConnection]struct{}{}}
	return a, p.Host.Loop.Add(fd, unix.EPOLLIN, a)
}

// listenUnix listens on a Unix socket that only its owner may use. It replaces a socket left by an earlier process.
func listenUnix(path string) (fd int, err error) {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return -1, err
	}
	fd, err = unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	if err := unix.Bind(fd, &unix.SockaddrUnix{Name: path}); err != nil {
		return -1, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return -1, err
	}
	return fd, unix.Listen(fd, maxAdminConnections)
}

// Ready accepts all pending connections. Those above the limit are closed.
func (a *adminListener) Ready(uint32) {
	for {
		fd, _, err := unix.Accept4(a.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return
		}
		if len(a.connections) >= maxAdminConnections {
			unix.Close(fd)
			continue
		}
		a.accept(fd)
	}
}

func (a *adminListener) accept(fd int) {
	host := a.peering.Host
	c := &adminConnection{listener: a, acceptedAt: host.TurnTime}
	c.budget.Max = maxAdminRequestBytes + maxAdminResponseBytes
	c.Stream = eventloop.NewStream(host.Loop, fd, maxAdminRequestBytes, maxAdminResponseBytes, &c.budget)
	c.Interest = unix.EPOLLIN
	if err := host.Loop.Add(fd, c.Interest, c); err != nil {
		c.Close()
		return
	}
	a.connections[c] = struct{}{}
}

// tick closes connections that have exceeded adminTimeout.
func (a *adminListener) tick() {
	for c := range a.connections {
		if a.peering.Host.TurnTime-c.acceptedAt >= adminTimeout {
			c.terminate()
		}
	}
}

// close stops listening and removes the socket. Open connections stay open until the process exits.
func (a *adminListener) close() {
	a.peering.Host.Loop.CloseDescriptor(a.fd)
	_ = os.Remove(a.peering.cfg.AdminSocket) // the next start would remove it too
}

// adminConnection is a connection to the admin socket.
type adminConnection struct {
	eventloop.Stream
	listener   *adminListener
	budget     ring.Budget
	acceptedAt monotime.Micros
	responded  bool
}

func (c *adminConnection) terminate() {
	c.Close()
	delete(c.listener.connections, c)
}

// Ready reads the request, and writes the response until it is complete.
func (c *adminConnection) Ready(events uint32) {
	if events&unix.EPOLLIN != 0 && !c.responded && !c.readRequest() {
		return
	}
	if err := c.Flush(); err != nil || c.responded && c.Out.Len() == 0 {
		c.terminate()
		return
	}
	c.UpdateInterest(false)
}

// readRequest reads from the socket and responds to the request once it is complete. It returns false if the request is
// incomplete or the connection was closed.
func (c *adminConnection) readRequest() bool {
	more := c.Fill()
	line := c.In.Bytes()
	if n := len(line); n == 0 || line[n-1] != '\n' {
		if !more || n >= maxAdminRequestBytes {
			c.terminate()
		}
		return false
	}
	if err := c.respond(string(line[:len(line)-1])); err != nil {
		c.terminate()
		return false
	}
	return true
}

// respond writes the response to a request to the output buffer.
func (c *adminConnection) respond(request string) error {
	c.responded = true
	response, err := json.Marshal(c.listener.peering.handleRequest(request))
	if err != nil {
		return err
	}
	_, err = c.Out.Write(append(response, '\n'))
	return err
}
