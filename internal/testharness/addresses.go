package testharness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// hostsPerProcess is how many loopback addresses a process of tests gives out before it gives the first one again.
const hostsPerProcess = 250

var addressesTaken atomic.Int64

// LoopbackPrefix returns the first three bytes, as text, of loopback addresses that only this process's tests use.
// Nothing else can take a port that is free on one of them.
func LoopbackPrefix() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 16+(pid>>8)%200, pid&255)
}

// nextAddress returns the next loopback address of this process's tests.
func nextAddress() string {
	return fmt.Sprintf("%s.%d", LoopbackPrefix(), int(addressesTaken.Add(1))%hostsPerProcess+1)
}

// freeAddress returns host:port with a free port of an address.
func freeAddress(t *testing.T, ip string) string { return freeAddresses(t, ip, 1)[0] }

// freeAddresses returns host:port with so many free ports of an address. All are taken until the last is chosen, so
// that they differ.
func freeAddresses(t *testing.T, ip string, count int) (list []string) {
	for range count {
		listener, err := net.Listen("tcp4", ip+":0")
		require.NoError(t, err)
		defer listener.Close()
		list = append(list, listener.Addr().String())
	}
	return list
}
