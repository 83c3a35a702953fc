package testharness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// addressesPerProcess is the number of loopback addresses that a test process uses before it reuses the first one.
const addressesPerProcess = 250

var addressCount atomic.Int64

// LoopbackPrefix returns the first three bytes, as text, of the loopback addresses that only this test process uses. A
// free port of one of them can't be taken by another process.
func LoopbackPrefix() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 16+(pid>>8)%200, pid&255)
}

// nextAddress returns the next loopback address of this test process.
func nextAddress() string {
	return fmt.Sprintf("%s.%d", LoopbackPrefix(), int(addressCount.Add(1))%addressesPerProcess+1)
}

// freeAddress returns host:port with a free port of the given address.
func freeAddress(t *testing.T, ip string) string { return freeAddresses(t, ip, 1)[0] }

// freeAddresses returns count strings host:port with free ports of the given address. All ports stay in use until the
// last is chosen, so that they differ.
func freeAddresses(t *testing.T, ip string, count int) (list []string) {
	for range count {
		listener, err := net.Listen("tcp4", ip+":0")
		require.NoError(t, err)
		defer listener.Close()
		list = append(list, listener.Addr().String())
	}
	return list
}
