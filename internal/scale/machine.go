package scale

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Needs is what a run would take of the machine.
type Needs struct {
	Flag        string // that asks for it
	Descriptors int    // of the process that needs most
	Ports       int    // local ports of connections on one address
	Processes   int    // that are started
	MemoryBytes int64  // of all processes together
}

// Limits is what the machine gives.
type Limits struct {
	Descriptors int // of one process
	Ports       int // that connections may be dialled from
	Processes   int // that a run may start
	MemoryBytes int64
}

// MostProcesses is how many processes a run starts at most, so that it stays a guest on its machine.
const MostProcesses = 200

// memoryShare is the part of the machine's memory that a run may take: a half.
const memoryShare = 2

// LimitError is a limit of the machine that is too small for what a flag asks.
type LimitError struct {
	Flag  string
	Limit string
	Need  int64
	Have  int64
}

// Error names the flag, the limit, and both numbers.
func (e *LimitError) Error() string {
	return fmt.Sprintf("--%s: this machine can't hold it: %s: %d needed, %d allowed", e.Flag, e.Limit, e.Need, e.Have)
}

// Check compares needs with limits; errors are *LimitError.
func (n Needs) Check(l Limits) error {
	for _, c := range []struct {
		limit      string
		need, have int64
	}{
		{"descriptors of one process (RLIMIT_NOFILE)", int64(n.Descriptors), int64(l.Descriptors)},
		{"local ports (net.ipv4.ip_local_port_range)", int64(n.Ports), int64(l.Ports)},
		{"processes of one run", int64(n.Processes), int64(l.Processes)},
		{"bytes of memory (half of the machine's, and what is free)", n.MemoryBytes, l.MemoryBytes},
	} {
		if c.need > c.have {
			return &LimitError{Flag: n.Flag, Limit: c.limit, Need: c.need, Have: c.have}
		}
	}
	return nil
}

// ReadLimits asks the system what this process may use. It raises nothing.
func ReadLimits() (l Limits, err error) {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return l, fmt.Errorf("scale: RLIMIT_NOFILE: %w", err)
	}
	l.Descriptors = int(min(files.Cur, 1<<30))
	l.Processes = MostProcesses
	if l.Ports, err = localPorts(); err != nil {
		return l, err
	}
	total, free, err := memory()
	if err != nil {
		return l, err
	}
	l.MemoryBytes = min(total/memoryShare, free)
	return l, nil
}

// localPorts is how many ports the system dials from on one address.
func localPorts() (int, error) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	var first, last int
	if _, err := fmt.Sscan(string(text), &first, &last); err != nil {
		return 0, fmt.Errorf("scale: ip_local_port_range: %w", err)
	}
	return last - first + 1, nil
}

// memory is the machine's in bytes, and what could be had without swapping.
func memory() (total, free int64, err error) {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, 0, fmt.Errorf("scale: %w", err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) < 2 {
			continue
		}
		kilobytes, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			continue
		}
		switch words[0] {
		case "MemTotal:":
			total = kilobytes << 10
		case "MemAvailable:":
			free = kilobytes << 10
		}
	}
	return total, free, lines.Err()
}

// Busy says how many tasks of the whole machine ran or waited for a core, as a mean over the last minute.
func Busy() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	mean, _, _ := strings.Cut(string(text), " ")
	return mean
}

// Address is a loopback address by its number from 0; all processes of a run share one network of 127.0.0.0/8, which seed
// chooses, so that two runs at a time don't meet.
func Address(seed uint64, number int) netip.Addr {
	const hosts = 250 // of each last byte: neither 0 nor 255
	network := byte(16 + seed%200)
	return netip.AddrFrom4([4]byte{127, network, byte(number / hosts), byte(number%hosts + 1)})
}

// FreePorts finds a free port on each of the addresses, another one for an address that stands twice. Errors name the flag that asks
// for so many.
func FreePorts(flag string, addresses []netip.Addr) ([]netip.AddrPort, error) {
	list := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return nil, fmt.Errorf("--%s: this machine can't hold it: listening addresses: %w", flag, err)
		}
		defer listener.Close() // once all are found
		list = append(list, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return list, nil
}

// Machine describes the machine by its cores and processor.
func Machine() string {
	model := "unknown processor"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			if name, value, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "model name" {
				model = strings.TrimSpace(value)
				break
			}
		}
	}
	return fmt.Sprintf("%d cores, %s", runtime.NumCPU(), model)
}
