package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/standin/site"
)

// Fleet is several front ends as processes, each on a loopback address of its own, with a relay for every way from one to
// another, and the engines that they share. Clients and engines note what they see.
type Fleet struct {
	T       *testing.T
	Program string
	Site    string // of its own, so that no process of another fleet is taken for one of this
	Fronts  []*Front
	Workers []*Worker
	Record  *history.Record
	Random  *Random
	Seed    uint64
	Dir     string
	Lasting bool           // the record is kept in folders
	Section map[string]any // what the fleet's section sets besides
	tap     func(frame []byte)
	relays  map[[2]int]*Relay
	journal *site.Journal
	calls   atomic.Int64
	script  *strings.Builder
	began   time.Time
}

var fleets, nets atomic.Int64

// Loopback is the first three bytes of addresses that only this process's tests take.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 16+(pid>>8)%200, pid&255)
}

// address gives a loopback address of its own with ports that are free on it: no others use it, so none can take them.
func address(n int) string { return fmt.Sprintf("%s.%d", Loopback(), n) }

// nextAddress is the next of them.
func nextAddress() string { return address(int(nets.Add(1))%250 + 1) }

func port(t *testing.T, ip string) string { return ports(t, ip, 1)[0] }

// ports are free ones of an address, each another: all are held until the last is chosen.
func ports(t *testing.T, ip string, count int) (list []string) {
	for range count {
		l, err := net.Listen("tcp4", ip+":0")
		require.NoError(t, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// NewFleet prepares a fleet; change may set it up further before its front ends start.
func NewFleet(t *testing.T, program string, fronts int, change ...func(*Fleet)) *Fleet {
	f := &Fleet{T: t, Program: program, Site: fmt.Sprintf("test-%d-%d", os.Getpid(), fleets.Add(1)), Seed: 20261201,
		Dir: t.TempDir(), relays: map[[2]int]*Relay{},
		Section: map[string]any{}, script: &strings.Builder{}, began: time.Now()}
	f.Record = &history.Record{Now: func() int64 { return time.Since(f.began).Microseconds() }}
	var err error
	f.journal, err = site.NewJournal()
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.journal.Close() })
	for i := range fronts {
		ip := nextAddress()
		name := fmt.Sprintf("n%d", i+1)
		addresses := ports(t, ip, 2)
		f.Fronts = append(f.Fronts, &Front{F: f, N: i, Name: name, Zone: string(rune('a' + i%3)), Listen: addresses[0], Peer: addresses[1],
			Folder: filepath.Join(f.Dir, "disk-"+name), Admin: filepath.Join(f.Dir, name+".sock")})
	}
	for _, c := range change {
		c(f)
	}
	f.Random = NewRandom(f.Seed)
	seen := &Seen{keys: map[string]time.Time{}}
	for i := range 2 {
		w := NewWorker(fmt.Sprintf("s-%08x", i+1), f.Record, seen)
		t.Cleanup(w.Close)
		f.Workers = append(f.Workers, w)
	}
	for i := range f.Fronts {
		for j := range f.Fronts {
			if i != j && !f.Fronts[j].Attached { // nobody dials an attached one
				r, err := NewRelay(f.Fronts[j].Peer, f.Random)
				require.NoError(t, err)
				t.Cleanup(r.Close)
				r.Tap(f.tap)
				r.Back.Tap(f.tap)
				f.relays[[2]int{i, j}] = r
			}
		}
	}
	t.Cleanup(f.end) // before the first starts: one that does not serve leaves none behind
	for _, n := range f.Fronts {
		n.Start()
	}
	return f
}

// end ends all processes, and of a test that failed shows what they said.
func (f *Fleet) end() {
	t := f.T
	if t.Failed() || testing.Verbose() {
		t.Logf("seed %d, script:\n%s", f.Seed, f.script)
	}
	if t.Failed() {
		for _, n := range f.Fronts {
			s, _ := json.Marshal(n.Status())
			t.Logf("status of %s: %s", n.Name, s)
		}
	}
	for _, n := range f.Fronts {
		n.stop()
	}
	if t.Failed() {
		for _, n := range f.Fronts {
			t.Logf("log of %s:\n%s", n.Name, n.Log)
		}
	}
}

// Did adds a line to the script of faults, which a failing test prints.
func (f *Fleet) Did(format string, args ...any) {
	fmt.Fprintf(f.script, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// Way is the relay from one front end to another.
func (f *Fleet) Way(from, to *Front) *Relay { return f.relays[[2]int{from.N, to.N}] }

// Between is the relays from one front end to another and back; to an attached one there is none, as nobody dials it.
func (f *Fleet) Between(a, b *Front) (list []*Relay) {
	for _, way := range []*Relay{f.Way(a, b), f.Way(b, a)} {
		if way != nil {
			list = append(list, way)
		}
	}
	return list
}

// Part cuts all ways between two sides, or heals them.
func (f *Fleet) Part(cut bool, a, b []*Front) {
	for _, x := range a {
		for _, y := range b {
			f.Did("cut %s-%s: %v", x.Name, y.Name, cut)
			for _, way := range f.Between(x, y) {
				way.Cut(cut)
			}
		}
	}
}

// Mute cuts the ways from a front end to all others, or heals them.
func (f *Fleet) Mute(n *Front, cut bool) {
	f.Did("cut %s to all others: %v", n.Name, cut)
	for _, o := range f.Controls() {
		if o != n {
			f.Way(n, o).Cut(cut)
		}
	}
}

// Deafen cuts the ways from all others to a front end, or heals them.
func (f *Fleet) Deafen(n *Front, cut bool) {
	f.Did("cut all others to %s: %v", n.Name, cut)
	for _, o := range f.Fronts {
		if way := f.Way(o, n); way != nil {
			way.Cut(cut)
		}
	}
}

// Leader waits until some front end leads with that many copies, all of them on the disks of processes that run now, and
// gives it.
func (f *Fleet) Leader(copies int) *Front {
	f.T.Helper()
	var leader *Front
	require.Eventually(f.T, func() bool {
		leader = nil
		disks := map[any]bool{}
		var voters []any
		for _, n := range f.Fronts {
			s := n.Status()
			if !n.alive || s == nil {
				continue
			}
			disks[s["copy"]] = true
			if s["role"] != "leader" {
				continue
			}
			leader, voters = n, nil
			for _, c := range s["copies"].([]any) {
				if v := c.(map[string]any); v["votes"] == true {
					voters = append(voters, v["copy"])
				}
			}
		}
		for _, v := range voters {
			if !disks[v] {
				return false
			}
		}
		return leader != nil && len(voters) == copies
	}, Patience, 20*time.Millisecond)
	return leader
}

// Check fails the test for each rule that what clients and engines saw breaks.
func (f *Fleet) Check() {
	f.T.Helper()
	events := f.Record.Events()
	for _, b := range history.Check(events) {
		f.T.Errorf("%s", b)
		for _, e := range history.Around(events, b, 20) {
			f.T.Logf("  %s", e)
		}
	}
}

// Until waits until the record shows an event, and gives it.
func (f *Fleet) Until(match func(history.Event) bool) (found history.Event) {
	f.T.Helper()
	require.Eventually(f.T, func() bool {
		for _, e := range f.Record.Events() {
			if match(e) {
				found = e
				return true
			}
		}
		return false
	}, Patience, time.Millisecond)
	return found
}
