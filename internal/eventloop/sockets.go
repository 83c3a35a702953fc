package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// listenBacklog is the number of connections that may wait to be accepted.
const listenBacklog = 1024

// Listen opens a non-blocking socket that listens at an IPv4 address, and returns its descriptor.
func Listen(addr netip.AddrPort) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, fmt.Errorf("socket: %w", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, sockaddr(addr))
	}
	if err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		unix.Close(fd)
		return -1, fmt.Errorf("%s: %w", addr, err)
	}
	return fd, nil
}

// Dial starts a non-blocking connection to an IPv4 address and returns its descriptor. Once the descriptor is writable,
// DialResult reports whether the connection was established. A connection that fails immediately is returned as an
// error.
func Dial(addr netip.AddrPort) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	// A failure is harmless: messages are only delayed.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sockaddr(addr)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// DialResult returns the error with which a connection started by Dial failed, or nil if it is established.
func DialResult(fd int) error {
	errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	return err
}

func sockaddr(addr netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
}
