package peering

import (
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet"
	"chutechute/fleet/transport"
)

// A later incarnation of a front end replaces the earlier one in all views, and the earlier one's links are closed.
func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	f := newTestFleet(t)
	earlier := f.start("x1")
	f.awaitAllSee(4)
	delete(f.frontEnds, "x1") // it gets no more turns, like a paused process
	for _, p := range f.frontEnds {
		for _, l := range p.attachedLinks.byIncarnation[earlier.self.Incarnation] {
			l.postponeIdleTimeout()
		}
	}
	later := f.start("x1")
	f.runUntil("the later incarnation in all views, and the earlier one's links to be closed", func() bool {
		for _, p := range f.frontEnds {
			e, _ := p.fleetNode.View().Lookup("x1")
			if e.Incarnation != later.self.Incarnation || len(p.attachedLinks.byIncarnation[earlier.self.Incarnation]) > 0 {
				return false
			}
		}
		return true
	})
	assert.True(t, f.frontEnds["n1"].controlNode.PresumedDead(earlier.self.Incarnation))
	f.frontEnds["x1"] = earlier
	f.kill(earlier)
	f.frontEnds["x1"] = later
}

// postponeIdleTimeout prevents a link from being closed as idle.
func (l *inboundLink) postponeIdleTimeout() { l.lastReceived += 3600 * second }

// dialAs connects to a control member, and returns the connection with a Dialer that has the given identity.
func (f *testFleet) dialAs(control *Peering, self *transport.Identity) (*net.TCPConn, *transport.Dialer) {
	conn, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(control.cfg.Listen))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close() })
	dialer := &transport.Dialer{Local: self, ExpectedName: control.cfg.Name, MaxInbound: control.cfg.MaxMessageBytes}
	return conn, dialer
}

// readAvailable reads what arrives within a millisecond and sends the handshake's reply. It returns false at the end of
// the connection.
func readAvailable(t *testing.T, conn *net.TCPConn, dialer *transport.Dialer) (open bool) {
	var b [64 << 10]byte
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
	n, err := conn.Read(b[:])
	dialer.Feed(b[:n])
	reply, processErr := dialer.Process()
	require.NoError(t, processErr)
	_, _ = conn.Write(reply)
	return err == nil || os.IsTimeout(err)
}

// identity returns the identity of a new incarnation in the given role.
func (f *testFleet) identity(name string, attached bool) *transport.Identity {
	cfg := f.frontEnds["n1"].cfg
	return &transport.Identity{
		Site:           cfg.Site,
		Name:           name,
		Zone:           "a",
		Incarnation:    randomID(),
		MinVersion:     1,
		MaxVersion:     1,
		SettingsDigest: cfg.Digest,
		Attached:       attached,
	}
}

// A handshake with a name that is invalid for its role is rejected and counted, and adds nothing to the view.
func TestHandshakeRejectsNameThatDoesNotFitRole(t *testing.T) {
	f := newTestFleet(t)
	f.awaitAllSee(3)
	n1 := f.frontEnds["n1"]
	identities := []*transport.Identity{f.identity("n2", true), f.identity("x1", false), f.identity("x 1", true)}
	for _, self := range identities {
		before := f.host.Counters.PeerRejected
		conn, d := f.dialAs(n1, self)
		f.runUntil("the link to be closed", func() bool { return !readAvailable(t, conn, d) })
		assert.Equal(t, before+1, f.host.Counters.PeerRejected)
		assert.False(t, d.Established())
	}
	assert.Equal(t, 3, n1.fleetNode.View().Len())
	assert.Zero(t, n1.attachedLinks.count)
}

// The number of links of attached front ends is bounded. Those above the limit are rejected, and the links between
// control members are not affected.
func TestAttachedLinksAreBounded(t *testing.T) {
	f := newTestFleet(t, func(f *testFleet) { f.maxDescriptors = 16 })
	f.awaitAllSee(3)
	n1 := f.frontEnds["n1"]
	require.Equal(t, 4, n1.maxAttachedLinks())
	type link struct {
		conn *net.TCPConn
		d    *transport.Dialer
	}
	var links []link
	for i := range 6 {
		conn, d := f.dialAs(n1, f.identity(fmt.Sprintf("y%d", i), true))
		links = append(links, link{conn, d})
		f.runUntil("it to be established or closed", func() bool { return !readAvailable(t, conn, d) || d.Established() })
	}
	f.turn()
	assert.Equal(t, 4, n1.attachedLinks.count)
	assert.Equal(t, 2, f.host.Counters.AttachRejected)
	anyEstablished := links[4].d.Established() || links[5].d.Established()
	assert.False(t, anyEstablished, "rejected in the handshake, so that they can attach elsewhere")
	links[0].conn.Close()
	f.runUntil("the closed link to be removed", func() bool { return n1.attachedLinks.count == 3 })
	assert.True(t, n1.outbound["n2"].established() && n1.outbound["n3"].established())
	assert.Len(t, n1.attachedLinks.byIncarnation, 3)
}

// The queue for an attached front end that does not read is bounded, and other front ends are still served.
func TestQueueOfSlowReaderIsBounded(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.awaitAllSee(4)
	n1 := f.frontEnds["n1"]
	slow, d := f.dialAs(n1, f.identity("slow", true))
	require.NoError(t, slow.SetReadBuffer(4<<10))
	f.runUntil("the link to be established", func() bool {
		readAvailable(t, slow, d)
		return len(n1.attachedLinks.byIncarnation[d.Local.Incarnation]) > 0
	})
	body := make([]byte, 256<<10)
	_, _ = rand.Read(body)
	l := n1.attachedLinks.byIncarnation[d.Local.Incarnation][0]
	l.postponeIdleTimeout()
	refused := &n1.controlNode.MembershipServer().Counters.FullQueues
	before, small := l.Out.Len()+l.queue.QueuedBytes(), make([]byte, 1000)
	const sent = 1000
	for range sent {
		n1.sendToAttached(bulkMessage("slow", d.Local.Incarnation, small))
	}
	queued := l.Out.Len() + l.queue.QueuedBytes() - before
	assert.Greater(t, queued, sent*len(small)-8*attachedSendBufferBytes, "the kernel buffers little of the unread data")
	for range 64 {
		before := *refused
		n1.sendToAttached(bulkMessage("slow", d.Local.Incarnation, body))
		require.LessOrEqual(t, n1.attachedLinks.queuedBytes, maxAttachedQueuedBytes)
		if *refused > before {
			require.Less(t, l.queue.QueuedBytes(), len(body), "the queue is dropped except for a partly sent message")
		}
	}
	assert.Positive(t, *refused)
	assert.LessOrEqual(t, l.queue.QueuedBytes(), maxAttachedUrgentBytes+n1.cfg.Attached.MaxViewBytes)
	assert.Equal(t, l.queue.QueuedBytes(), n1.attachedLinks.queuedBytes)
	f.start("x2")
	f.runUntil("x1 to see x2", func() bool { return seesAlive(x, 5) || seesAlive(x, 6) })
	f.runUntil("no link to it", func() bool { return len(n1.attachedLinks.byIncarnation[d.Local.Incarnation]) == 0 })
	assert.Zero(t, n1.attachedLinks.queuedBytes)
}

// bulkMessage returns a bulk message to an attached front end.
func bulkMessage(name string, incarnation uint64, body []byte) fleet.Send {
	return fleet.Send{To: name, Incarnation: incarnation, Kind: transport.ViewUpdate, Bulk: true, Body: body}
}

// A control member that was paused itself does not close links as idle because of the pause.
func TestPauseDoesNotMakeLinksIdle(t *testing.T) {
	f := newTestFleet(t)
	x := f.start("x1")
	f.runUntil("both links", func() bool { return seesAlive(x, 4) && len(x.outbound) == 2 })
	for _, p := range f.frontEnds {
		for l := range p.inbound {
			l.lastReceived -= 60 * second
		}
		p.lastTick -= 60 * second
		before := p.attachedLinks.count
		p.Tick()
		assert.Equal(t, before, p.attachedLinks.count, p.cfg.Name)
	}
}

// Links count towards the descriptors that clients and engines share only if front ends may attach.
func TestLinksCountAsDescriptors(t *testing.T) {
	f := newTestFleet(t)
	f.start("x1")
	f.awaitAllSee(4)
	p := f.frontEnds["n1"]
	assert.Positive(t, len(p.inbound))
	assert.Equal(t, len(p.inbound)+2, p.Descriptors())
	off := *p.cfg
	off.Attached = nil
	assert.Zero(t, (&Peering{cfg: &off, inbound: p.inbound, outbound: p.outbound}).Descriptors())
	assert.Zero(t, (*Peering)(nil).Descriptors())
}
