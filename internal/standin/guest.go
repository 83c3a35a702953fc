package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/transport"
	"chutechute/internal/proto"
)

// Guest is an attached front end that is no process: it proves itself to one control member and sends heartbeats, and reads
// what it is told without making anything of it. Many of them make many changes of the view.
type Guest struct {
	f    *Fleet
	name string
	conn net.Conn
	all  sync.WaitGroup
	stop chan struct{}
}

const (
	guestBeat = 500 * time.Millisecond
)

// In a hello: what is said, and in that the digest of the settings.
const (
	saidField     = 1
	settingsField = 8
)

// Agreed waits until a hello has passed on a way, and gives the digest of the settings in it, which a guest needs.
func (f *Fleet) Agreed(way *Relay) (digest []byte) {
	f.T.Helper()
	hellos := make(chan []byte, 1)
	way.Tap(func(frame []byte) {
		if transport.Kind(frame[frameLength]) == transport.Hello {
			select {
			case hellos <- append([]byte(nil), frame[frameHeader:]...):
			default:
			}
		}
	})
	defer way.Tap(f.tap)
	way.Reset()
	var hello []byte
	select {
	case hello = <-hellos:
	case <-time.After(Patience):
		require.Fail(f.T, "no hello")
	}
	said := protoField(hello, saidField)
	digest = protoField(said, settingsField)
	require.NotEmpty(f.T, digest)
	return digest
}

// protoField is the bytes of a message's field.
func protoField(b []byte, number int) (data []byte) {
	_ = proto.Each(b, func(f proto.Field) error {
		if int(f.Number) == number {
			data = f.Copy()
		}
		return nil
	})
	return data
}

// Guest has a process of a name attach itself to a control member.
func (f *Fleet) Guest(to *Front, name string, incarnation uint64, digest []byte) *Guest {
	f.T.Helper()
	conn, err := net.DialTimeout("tcp4", to.Peer, time.Second)
	require.NoError(f.T, err)
	g := &Guest{f: f, name: name, conn: conn, stop: make(chan struct{})}
	require.NoError(f.T, g.greet(to.Name, &transport.Identity{Site: f.Site, Name: name, Zone: to.Zone, Incarnation: incarnation,
		MinVersion: transport.MinVersion, MaxVersion: transport.MaxVersion, SettingsDigest: digest, Attached: true}))
	g.all.Go(g.read)
	g.all.Go(g.beat)
	f.T.Cleanup(g.Close)
	return g
}

// greet goes through the hello.
func (g *Guest) greet(to string, self *transport.Identity) error {
	_ = g.conn.SetDeadline(time.Now().Add(Patience))
	defer func() { _ = g.conn.SetDeadline(time.Time{}) }()
	d := &transport.Dialer{Local: self, ExpectedName: to}
	b := make([]byte, 4096)
	for !d.Established() {
		n, err := g.conn.Read(b)
		if err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		d.Feed(b[:n])
		reply, err := d.Process()
		if err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		if _, err := g.conn.Write(reply); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
	}
	return nil
}

// beat sends heartbeats that ask for no view.
func (g *Guest) beat() {
	began := time.Now()
	for {
		h := proto.Uint(proto.String(nil, 1, g.name), 2, uint64(time.Since(began).Microseconds()))
		if _, err := g.conn.Write(transport.AppendFrame(nil, transport.AttachedHeartbeat, 0, false, h)); err != nil {
			return
		}
		select {
		case <-g.stop:
			return
		case <-time.After(guestBeat):
		}
	}
}

func (g *Guest) read() {
	b := make([]byte, 4096)
	for {
		if _, err := g.conn.Read(b); err != nil {
			return
		}
	}
}

// Close ends the guest without a word.
func (g *Guest) Close() {
	select {
	case <-g.stop:
		return
	default:
	}
	close(g.stop)
	g.conn.Close()
	g.all.Wait()
}
