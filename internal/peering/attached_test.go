package peering

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet"
	"chutechute/fleet/membership"
	"chutechute/fleet/transport"
	"chutechute/internal/config"
	"chutechute/internal/counters"
	"chutechute/internal/eventloop"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/standin"
)

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(standin.Seeded(m))
}

const second = 1000 * monotime.Millisecond

// testFleet is front ends of both roles over one loop and real sockets, without clients and engines.
type testFleet struct {
	t       *testing.T
	host    Host
	fronts  map[string]*Peering
	section map[string]any
	sockets int
}

// newTestFleet begins with three control members that others may attach to.
func newTestFleet(t *testing.T, change ...func(*testFleet)) *testFleet {
	l, err := eventloop.NewLoop()
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	f := &testFleet{t: t, host: NewHost(l), fronts: map[string]*Peering{}}
	members := []any{}
	for i := range 3 {
		members = append(members, map[string]any{"name": fmt.Sprintf("n%d", i+1), "address": freeAddress(t), "zone": string(rune('a' + i))})
	}
	f.section = map[string]any{"enabled": true, "site": "test", "members": members, "folder": filepath.Join(t.TempDir(), "{name}"),
		"attached": map[string]any{"enabled": true, "heartbeat_ms": 250, "suspect_ms": 600, "dead_ms": 1000}}
	for _, c := range change {
		c(f)
	}
	for i := range 3 {
		f.start(fmt.Sprintf("n%d", i+1))
	}
	return f
}

var addresses int

// freeAddress gives a port on a loopback address that nothing else uses.
func freeAddress(t *testing.T) string {
	addresses++
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 16+(pid>>8)%200, pid&255, addresses%250+1))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f *testFleet) config(name string) *config.Peers {
	s, err := settings.Parse([]byte(standin.Settings))
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
	of := Program{Host: &f.host, Seed: uint64(len(f.fronts) + 1), Post: func(work func()) { work() }, Draining: func() bool { return false },
		MaxDescriptors: f.sockets}
	p, err := NewPeering(of, f.config(name))
	require.NoError(f.t, err)
	require.NoError(f.t, p.Listen())
	f.fronts[name] = p
	f.t.Cleanup(func() { f.kill(p) })
	return p
}

// kill closes all that a front end has open, as its process's end would.
func (f *testFleet) kill(p *Peering) {
	if f.fronts[p.cfg.Name] != p {
		return
	}
	delete(f.fronts, p.cfg.Name)
	for _, l := range p.out {
		l.Close()
	}
	for l := range p.in {
		l.Close()
	}
	if p.listener != nil {
		f.host.Loop.CloseDescriptor(p.listener.fd)
	}
	p.Close()
}

// turn is what a Server does in one turn, for all front ends.
func (f *testFleet) turn() {
	n, err := f.host.Loop.Wait(5 * monotime.Millisecond)
	require.NoError(f.t, err)
	f.host.TurnTime = f.host.Clock.Now()
	for _, p := range f.fronts {
		p.SetNow(f.host.TurnTime)
	}
	f.host.Loop.Dispatch(n)
	for _, p := range f.fronts {
		p.Tick()
		p.CarryOut()
	}
}

// until turns until something holds.
func (f *testFleet) until(about string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(standin.Patience); !holds(); f.turn() {
		require.True(f.t, time.Now().Before(end), "not in time: %s", about)
	}
}

// complete says whether a front end sees so many alive, itself among them.
func complete(p *Peering, total int) bool {
	alive := 0
	for _, e := range p.part.View().Entries() {
		if e.State == membership.Alive {
			alive++
		}
	}
	return alive == total
}

func (f *testFleet) allSee(total int) {
	f.t.Helper()
	f.until(fmt.Sprintf("all see %d", total), func() bool {
		for _, p := range f.fronts {
			if !complete(p, total) {
				return false
			}
		}
		return true
	})
}

// Front ends attach, are seen by all, and see all; they have no listener, no disk and no more links than two or three.
func TestAttachedSeeAndAreSeen(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.start("x2")
	f.allSee(5)
	assert.Nil(t, x.listener)
	assert.Nil(t, x.store)
	_, err := os.Stat(x.cfg.Folder)
	assert.True(t, os.IsNotExist(err))
	assert.LessOrEqual(t, len(x.out), 3)
	assert.Empty(t, x.in)
	f.until("both links", func() bool { return len(x.out) == 2 && x.Descriptors() == 2 })

	f.until("its home is known to all", func() bool {
		for _, p := range f.fronts {
			e, _ := p.part.View().Lookup("x1")
			if x.attached.Home() == "" || e.Home != x.attached.Home() {
				return false
			}
		}
		return true
	})
	s := x.status()
	assert.Equal(t, "attached", s.Role)
	assert.Len(t, s.Members, 4, "all but itself")
	assert.Equal(t, []string{"n1", "n2", "n3", "x2"}, []string{s.Members[0].Name, s.Members[1].Name, s.Members[2].Name, s.Members[3].Name})
	require.NotNil(t, s.Attached)
	assert.Equal(t, 5, s.Attached.ViewLen)
	assert.Equal(t, x.attached.Home(), s.Attached.Home)
	home := f.fronts[s.Attached.Home].status()
	assert.Positive(t, home.Attached.Links)
	assert.Zero(t, home.Attached.ViewAge)
	assert.Contains(t, home.Members, MemberStatus{Name: "x1", State: "alive", Incarnation: s.Incarnation, Link: true, Role: "attached", Home: home.Name})
	f.until("their views are the same", func() bool {
		return x.status().Attached.ViewDigest == f.fronts[home.Name].status().Attached.ViewDigest
	})
	assert.False(t, x.showBudgets("").On)
	var here, there counters.Set
	x.ReportCounters(&here)
	f.fronts[home.Name].ReportCounters(&there)
	assert.Positive(t, here.ViewBeats)
	assert.Positive(t, there.ViewBeats)
	assert.Positive(t, there.ViewSnapshots)
}

// A control member that is lost is replaced, and what is attached elsewhere is seen on.
func TestAttachedMoveOn(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.allSee(4)
	lost := f.fronts[x.attached.Home()]
	f.kill(lost)
	f.allSee(3)
	assert.NotEqual(t, lost.cfg.Name, x.attached.Home())
	_, linked := x.out[lost.cfg.Name]
	assert.False(t, linked && x.out[lost.cfg.Name].open())
	f.start(lost.cfg.Name)
	f.allSee(4)
}

// A later process of a name takes its place, and the links of the earlier one are closed.
func TestLaterProcessOfAName(t *testing.T) {
	f := newTestFleet(t)
	first := f.start("x1")
	f.allSee(4)
	delete(f.fronts, "x1") // it stands still
	for _, p := range f.fronts {
		for _, l := range p.byProcess[first.self.Incarnation] {
			l.neverSilent()
		}
	}
	second := f.start("x1")
	f.until("the later one is seen, and the earlier one's links are closed", func() bool {
		for _, p := range f.fronts {
			e, _ := p.part.View().Lookup("x1")
			if e.Incarnation != second.self.Incarnation || len(p.byProcess[first.self.Incarnation]) > 0 {
				return false
			}
		}
		return true
	})
	assert.True(t, f.fronts["n1"].node.PresumedDead(first.self.Incarnation))
	f.fronts["x1"] = first
	f.kill(first)
	f.fronts["x1"] = second
}

// neverSilent keeps a link from being closed for its silence.
func (l *inLink) neverSilent() { l.since += 3600 * second }

// dialAs says hello to a control member over a connection of its own, and gives that with the link's side.
func (f *testFleet) dialAs(control *Peering, self *transport.Identity) (*net.TCPConn, *transport.Dialer) {
	conn, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(control.cfg.Listen))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	d := &transport.Dialer{Local: self, ExpectedName: control.cfg.Name, MaxInbound: control.cfg.MostBulk}
	return conn, d
}

// read reads what has come within a millisecond; false at the connection's end.
func read(t *testing.T, conn *net.TCPConn, d *transport.Dialer) (open bool) {
	var b [64 << 10]byte
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	n, err := conn.Read(b[:])
	d.Feed(b[:n])
	reply, takeErr := d.Process()
	require.NoError(t, takeErr)
	_, _ = conn.Write(reply)
	return err == nil || os.IsTimeout(err)
}

func (f *testFleet) identity(name string, attached bool) *transport.Identity {
	cfg := f.fronts["n1"].cfg
	return &transport.Identity{Site: cfg.Site, Name: name, Zone: "a", Incarnation: number(), MinVersion: 1, MaxVersion: 1, SettingsDigest: cfg.Digest, Attached: attached}
}

// Names and roles that don't fit one another are turned away and counted, and leave no trace in any view.
func TestStrangersAreTurnedAway(t *testing.T) {
	f := newTestFleet(t)
	f.allSee(3)
	n1 := f.fronts["n1"]
	for _, self := range []*transport.Identity{f.identity("n2", true), f.identity("x1", false), f.identity("x 1", true)} {
		before := f.host.Counters.PeerRejected
		conn, d := f.dialAs(n1, self)
		f.until("it is turned away", func() bool { return !read(t, conn, d) })
		assert.Equal(t, before+1, f.host.Counters.PeerRejected)
		assert.False(t, d.Established())
	}
	assert.Equal(t, 3, n1.part.View().Len())
	assert.Zero(t, n1.attachedIn)
}

// There is a bound for the links of attached front ends: those past it are closed, and the members' links stay.
func TestAttachedLinksAreBounded(t *testing.T) {
	f := newTestFleet(t, func(f *testFleet) { f.sockets = 16 })
	f.allSee(3)
	n1 := f.fronts["n1"]
	require.Equal(t, 4, n1.attachedMost())
	type link struct {
		conn *net.TCPConn
		d    *transport.Dialer
	}
	var links []link
	for i := range 6 {
		conn, d := f.dialAs(n1, f.identity(fmt.Sprintf("y%d", i), true))
		links = append(links, link{conn, d})
		f.until("a welcome, or the end", func() bool { return !read(t, conn, d) || d.Established() })
	}
	f.turn()
	assert.Equal(t, 4, n1.attachedIn)
	assert.Equal(t, 2, f.host.Counters.AttachRefused)
	assert.False(t, links[4].d.Established() || links[5].d.Established(), "they go elsewhere without having been linked")
	links[0].conn.Close()
	f.until("room again", func() bool { return n1.attachedIn == 3 })
	assert.True(t, n1.out["n2"].open() && n1.out["n3"].open())
	assert.Len(t, n1.byProcess, 3)
}

// An attached front end that does not read costs a bounded queue, and holds up no other.
func TestSlowReaderIsBounded(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.allSee(4)
	n1 := f.fronts["n1"]
	slow, d := f.dialAs(n1, f.identity("slow", true))
	require.NoError(t, slow.SetReadBuffer(4<<10))
	f.until("it is linked", func() bool { read(t, slow, d); return len(n1.byProcess[d.Local.Incarnation]) > 0 })
	body := make([]byte, 256<<10)
	_, _ = rand.Read(body)
	l := n1.byProcess[d.Local.Incarnation][0]
	l.neverSilent()
	refused := &n1.node.MembershipServer().Counters.FullQueues
	before, small := l.Out.Len()+l.queue.Len(), make([]byte, 1000)
	const pushed = 1000
	for range pushed {
		n1.pushAttached(tellOf("slow", d.Local.Incarnation, small))
	}
	waits := l.Out.Len() + l.queue.Len() - before
	assert.Greater(t, waits, pushed*len(small)-8*attachedSend, "the system takes little of what is not read")
	for range 64 {
		before := *refused
		n1.pushAttached(tellOf("slow", d.Local.Incarnation, body))
		require.LessOrEqual(t, n1.queued, attachedTotal)
		if *refused > before {
			require.Less(t, l.queue.Len(), len(body), "all that waited is dropped, but for what was begun")
		}
	}
	assert.Positive(t, *refused)
	assert.LessOrEqual(t, l.queue.Len(), attachedUrgent+n1.cfg.Attached.MostView)
	assert.Equal(t, l.queue.Len(), n1.queued)
	f.start("x2")
	f.until("others go on", func() bool { return complete(x, 5) || complete(x, 6) })
	f.until("its link is closed", func() bool { return len(n1.byProcess[d.Local.Incarnation]) == 0 })
	assert.Zero(t, n1.queued)
}

// The log tells of each change once, in one line where there are many.
func TestViewLogTellsOfChanges(t *testing.T) {
	f := newTestFleet(t)
	f.start("x1")
	f.allSee(4)
	var log viewLog
	view := f.fronts["n1"].part.View()
	assert.Len(t, log.changes(view, false), 4)
	assert.Empty(t, log.changes(view, false))
	log = viewLog{}
	changes := log.changes(view, true)
	require.Len(t, changes, 1)
	assert.Equal(t, "x1", changes[0].Name)
	f.kill(f.fronts["x1"])
	f.until("it is dead", func() bool { e, _ := view.Lookup("x1"); return e.State == membership.Dead })
	changes = log.changes(view, true)
	require.Len(t, changes, 1)
	assert.Equal(t, membership.Dead, changes[0].State)
}

// tellOf is a bulk message to an attached front end.
func tellOf(name string, process uint64, body []byte) fleet.Send {
	return fleet.Send{To: name, Incarnation: process, Kind: transport.ViewUpdate, Bulk: true, Body: body}
}

// A link that an attached front end's part wants no more is closed, at both ends.
func TestUnwantedLinksAreClosed(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.until("both links", func() bool { return complete(x, 4) && len(x.out) == 2 })
	for name, addr := range x.cfg.Others {
		if x.out[name] == nil {
			x.out[name] = newOutLink(x, name, addr)
			x.out[name].dial()
		}
	}
	require.Len(t, x.out, 3)
	f.until("the third is closed", func() bool {
		linked := 0
		for _, p := range f.fronts {
			linked += p.attachedIn
			for l := range p.in {
				l.since = f.host.TurnTime // it is not closed for its silence
			}
		}
		return len(x.out) == 2 && linked == 2
	})
}

// A control member that has stood still does not close links for a silence that it could not hear.
func TestStopIsNoSilence(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.until("both links", func() bool { return complete(x, 4) && len(x.out) == 2 })
	for _, p := range f.fronts {
		for l := range p.in {
			l.since -= 60 * second
		}
		p.ticked -= 60 * second
		before := p.attachedIn
		p.Tick()
		assert.Equal(t, before, p.attachedIn, p.cfg.Name)
	}
}

// Links are counted as descriptors that clients and engines share, where front ends may attach, and not elsewhere.
func TestLinksCountAsDescriptors(t *testing.T) {
	f := newTestFleet(t)
	f.start("x1")
	f.allSee(4)
	p := f.fronts["n1"]
	assert.Positive(t, len(p.in))
	assert.Equal(t, len(p.in)+2, p.Descriptors())
	off := *p.cfg
	off.Attached = nil
	assert.Zero(t, (&Peering{cfg: &off, in: p.in, out: p.out}).Descriptors())
	assert.Zero(t, (*Peering)(nil).Descriptors())
}
