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

// Requirements are the resources of the machine that a run needs.
type Requirements struct {
	Flag        string // the command-line flag that sets the size of the run
	Descriptors int    // of the process that needs the most
	Ports       int    // local ports for connections to one address
	Processes   int    // started by the run
	MemoryBytes int64  // of all processes together
}

// Limits are the resources of the machine that a run may use.
type Limits struct {
	Descriptors int // per process
	Ports       int // local ports per address for outgoing connections
	Processes   int // that one run may start
	MemoryBytes int64
}

// MaxProcesses bounds the processes of one run, which shares its machine with other work.
const MaxProcesses = 200

// memoryDivisor limits a run to half of the machine's memory.
const memoryDivisor = 2

// LimitError reports a limit of the machine that is too low for the run that a flag requests.
type LimitError struct {
	Flag  string
	Limit string
	Need  int64
	Have  int64
}

// Error names the flag, the limit, what the run needs and what the machine allows.
func (e *LimitError) Error() string {
	return fmt.Sprintf("--%s: limit of this machine exceeded: %s: %d needed, %d allowed", e.Flag, e.Limit, e.Need, e.Have)
}

// Check returns a *LimitError for the first limit that r exceeds.
func (r Requirements) Check(l Limits) error {
	for _, c := range []struct {
		limit      string
		need, have int64
	}{
		{"descriptors of one process (RLIMIT_NOFILE)", int64(r.Descriptors), int64(l.Descriptors)},
		{"local ports (net.ipv4.ip_local_port_range)", int64(r.Ports), int64(l.Ports)},
		{"processes of one run", int64(r.Processes), int64(l.Processes)},
		{"bytes of memory (half of the total, and not more than is available)", r.MemoryBytes, l.MemoryBytes},
	} {
		if c.need > c.have {
			return &LimitError{Flag: r.Flag, Limit: c.limit, Need: c.need, Have: c.have}
		}
	}
	return nil
}

// ReadLimits reads the limits of this process and machine from the operating system. It does not raise any of them.
func ReadLimits() (l Limits, err error) {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return l, fmt.Errorf("scale: RLIMIT_NOFILE: %w", err)
	}
	l.Descriptors = int(min(files.Cur, 1<<30))
	l.Processes = MaxProcesses
	if l.Ports, err = localPortCount(); err != nil {
		return l, err
	}
	total, available, err := readMemory()
	if err != nil {
		return l, err
	}
	l.MemoryBytes = min(total/memoryDivisor, available)
	return l, nil
}

// localPortCount returns the number of local ports that the system uses for outgoing connections from one address.
func localPortCount() (int, error) {
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

// readMemory returns the machine's memory, and how much of it is available without swapping, in bytes.
func readMemory() (total, available int64, err error) {
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
			available = kilobytes << 10
		}
	}
	return total, available, lines.Err()
}

// LoadAverage returns the machine's load average over the last minute, or "unknown".
func LoadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	mean, _, _ := strings.Cut(string(text), " ")
	return mean
}

// LoopbackAddress returns the loopback address of a run that has the given index, from 0. All addresses of a run are in
// one /16 network of 127.0.0.0/8. The seed selects the network, so that concurrent runs with different seeds rarely
// share addresses.
func LoopbackAddress(seed uint64, index int) netip.Addr {
	const hosts = 250 // per value of the third byte; the last byte is never 0 or 255
	network := byte(16 + seed%200)
	return netip.AddrFrom4([4]byte{127, network, byte(index / hosts), byte(index%hosts + 1)})
}

// FreePorts returns a free port for each of the addresses; an address that is listed twice gets two ports. Errors name
// the flag that sets the number of addresses.
func FreePorts(flag string, addresses []netip.Addr) ([]netip.AddrPort, error) {
	list := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(address, 0).String())
		if err != nil {
			return nil, fmt.Errorf("--%s: cannot listen on loopback address: %w", flag, err)
		}
		defer listener.Close() // kept open until all ports are found, so that no port is returned twice
		list = append(list, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return list, nil
}

// DescribeMachine returns the number of cores and the processor model of the machine.
func DescribeMachine() string {
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
