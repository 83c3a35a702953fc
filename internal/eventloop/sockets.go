package eventloop

import (
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Listen opens a socket that listens at an address.
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

// Dial begins a connection; err is also set where it was refused at once.
func Dial(addr netip.AddrPort) (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	// Without it calls would only be slower.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, sockaddr(addr)); err != nil && err != unix.EINPROGRESS {
		unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// DialResult is how a begun connection came out.
func DialResult(fd int) error {
	errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && errno != 0 {
		err = unix.Errno(errno)
	}
	return err
}

func sockaddr(a netip.AddrPort) *unix.SockaddrInet4 {
	return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
}

// listenBacklog is how many connections may wait to be accepted.
const listenBacklog = 1024
