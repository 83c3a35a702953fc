package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Network is the network between a front end and an engine. While it is cut, new connections to it never come up, and
// open ones stay open and silent: what was sent stays under way and arrives once the cut is over, unless its sender has
// reset the connection meanwhile. So it is with TCP, which sends again what was not acknowledged, also after a close.
type Network struct {
	Addr, target string
	listener     net.Listener

	mu      sync.Mutex
	cond    *sync.Cond
	cut     bool
	fillers []net.Conn // they fill the backlog during a cut
}

const backlogDialTimeout = 100 * time.Millisecond

// NewNetwork starts a network in front of the target.
func (r *Run) NewNetwork(target string) *Network {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	r.need(err)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	r.need(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	r.need(syscall.Listen(fd, 0)) // the shortest backlog, which Cut can fill
	listener, err := net.FileListener(file)
	r.need(err)
	n := &Network{Addr: listener.Addr().String(), target: target, listener: listener}
	n.cond = sync.NewCond(&n.mu)
	go n.accept()
	return n
}

func (n *Network) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		if n.wait(); n.isFiller(conn) {
			conn.Close()
			continue
		}
		go n.serve(conn)
	}
}

func (n *Network) isFiller(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, filler := range n.fillers {
		if filler.LocalAddr().String() == conn.RemoteAddr().String() {
			return true
		}
	}
	return false
}

// Cut cuts the network. It returns once no further connection comes up.
func (n *Network) Cut() {
	n.mu.Lock()
	n.cut, n.fillers = true, nil
	n.mu.Unlock()
	for {
		conn, err := net.DialTimeout("tcp4", n.Addr, backlogDialTimeout)
		if err != nil {
			return
		}
		n.mu.Lock()
		n.fillers = append(n.fillers, conn)
		n.mu.Unlock()
	}
}

// Heal ends the cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = false
	for _, filler := range n.fillers {
		filler.Close()
	}
	n.cond.Broadcast()
}

// wait waits until the network isn't cut.
func (n *Network) wait() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut {
		n.cond.Wait()
	}
}

func (n *Network) serve(from net.Conn) {
	defer from.Close()
	to, err := net.DialTimeout("tcp4", n.target, time.Second)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		return
	}
	defer to.Close()
	go n.forward(to.(*net.TCPConn), from.(*net.TCPConn))
	n.forward(from.(*net.TCPConn), to.(*net.TCPConn))
}

// forward passes on the bytes of one direction until that ends. A reset is passed on as a reset, and destroys what is
// still under way.
func (n *Network) forward(from, to *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		n.wait()
		if wasReset(from) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// wasReset reports whether the peer has reset the connection.
func wasReset(conn *net.TCPConn) (reset bool) {
	const tcpClose = 7 // the state of a connection that was reset
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		info, infoErr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		reset = infoErr != nil || info&0xff == tcpClose
	})
	return reset || err != nil
}
