package peering

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/membership"
	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/testharness"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(testharness.RunWithFixedSeed(m))
}

const second = 1000 * monotime.Millisecond

// testFleet runs front ends of both roles on one event loop with real sockets, without clients and engines.
type testFleet struct {
	t              *testing.T
	host           Host
	frontEnds      map[string]*Peering // running ones, by name
	section        map[string]any      // the fleet section of the installation file
	maxDescriptors int
}

// newTestFleet starts three control members, n1 to n3, to which front ends may attach. The options are applied before
// the start.
func newTestFleet(t *testing.T, options ...func(*testFleet)) *testFleet {
	loop, err := eventloop.NewLoop()
	require.NoError(t, err)
	t.Cleanup(func() { loop.Close() })
	f := &testFleet{t: t, host: NewHost(loop), frontEnds: map[string]*Peering{}}
	members := []any{}
	for i := range 3 {
		members = append(members, map[string]any{
			"name":    fmt.Sprintf("n%d", i+1),
			"address": freeAddress(t),
			"zone":    string(rune('a' + i)),
		})
	}
	f.section = map[string]any{
		"enabled":  true,
		"site":     "test",
		"members":  members,
		"folder":   filepath.Join(t.TempDir(), "{name}"),
		"attached": map[string]any{"enabled": true, "heartbeat_ms": 250, "suspect_ms": 600, "dead_ms": 1000},
	}
	for _, option := range options {
		option(f)
	}
	for i := range 3 {
		f.start(fmt.Sprintf("n%d", i+1))
	}
	return f
}

var usedAddresses int

// freeAddress returns an unused port on a loopback address.
func freeAddress(t *testing.T) string {
	usedAddresses++
	pid := os.Getpid()
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 16+(pid>>8)%200, pid&255, usedAddresses%250+1))
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func (f *testFleet) config(name string) *config.Peers {
	s, err := settings.Parse([]byte(testharness.Settings))
	require.NoError(f.t, err)
	text, err := json.Marshal(map[string]any{"fleet": f.section})
	require.NoError(f.t, err)
	file, err := config.ParseInstallation(text)
	require.NoError(f.t, err)
	cfg, err := file.Fleet.Options(name, s, 192)
	require.NoError(f.t, err)
	return cfg
}

func (f *testFleet) start(name string) *Peering {
	program := Program{
		Host:           &f.host,
		Seed:           uint64(len(f.frontEnds) + 1),
		Post:           func(work func()) { work() },
		Draining:       func() bool { return false },
		MaxDescriptors: f.maxDescriptors,
	}
	p, err := NewPeering(program, f.config(name))
	require.NoError(f.t, err)
	require.NoError(f.t, p.Listen())
	f.frontEnds[name] = p
	f.t.Cleanup(func() { f.kill(p) })
	return p
}

// kill closes everything that a front end has open, as the exit of its process would. It does nothing if the front end
// was killed before.
func (f *testFleet) kill(p *Peering) {
	if f.frontEnds[p.cfg.Name] != p {
		return
	}
	delete(f.frontEnds, p.cfg.Name)
	for _, l := range p.outbound {
		l.Close()
	}
	for l := range p.inbound {
		l.Close()
	}
	if p.listener != nil {
		f.host.Loop.CloseDescriptor(p.listener.fd)
	}
	p.Close()
}

// turn does for all front ends what a server does in one turn of its loop.
func (f *testFleet) turn() {
	ready, err := f.host.Loop.Wait(5 * monotime.Millisecond)
	require.NoError(f.t, err)
	f.host.TurnTime = f.host.Clock.Now()
	for _, p := range f.frontEnds {
		p.SetNow(f.host.TurnTime)
	}
	f.host.Loop.Dispatch(ready)
	for _, p := range f.frontEnds {
		p.Tick()
		p.CarryOut()
	}
}

// runUntil takes turns until a condition holds, and fails the test after testharness.WaitTimeout.
func (f *testFleet) runUntil(description string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testharness.WaitTimeout)
	for !holds() {
		require.True(f.t, time.Now().Before(deadline), "timed out waiting for: %s", description)
		f.turn()
	}
}

// seesAlive reports whether a front end sees exactly total front ends as alive, itself included.
func seesAlive(p *Peering, total int) bool {
	alive := 0
	for _, e := range p.fleetNode.View().Entries() {
		if e.State == membership.Alive {
			alive++
		}
	}
	return alive == total
}

// awaitAllSee takes turns until every front end sees exactly total front ends as alive.
func (f *testFleet) awaitAllSee(total int) {
	f.t.Helper()
	f.runUntil(fmt.Sprintf("all front ends to see %d as alive", total), func() bool {
		for _, p := range f.frontEnds {
			if !seesAlive(p, total) {
				return false
			}
		}
		return true
	})
}
