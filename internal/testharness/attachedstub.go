package testharness

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/transport"
	"chutechute/internal/fieldcodec"
)

// AttachedStub is a stub of an attached front end without a process: it authenticates itself to one control member,
// sends heartbeats, and discards what it receives. Many of them make many changes of the view.
type AttachedStub struct {
	name    string
	conn    net.Conn
	workers sync.WaitGroup
	stop    chan struct{}
}

const (
	stubHeartbeatInterval = 500 * time.Millisecond
	stubDialTimeout       = time.Second
	stubReadBufferSize    = 4096 // bytes
)

// Numbers of the fields of a hello, of the identity in it, and of an attached front end's heartbeat.
const (
	helloIdentityField          = 1
	identitySettingsDigestField = 8

	heartbeatNameField     = 1
	heartbeatSentTimeField = 2 // microseconds of the sender's clock
)

// CaptureSettingsDigest ends the connections of a path, waits for the hello on the next one, and returns the digest
// of the settings in it, which the stub of an attached front end has to send. The test fails where no hello passes
// in time.
func (f *Fleet) CaptureSettingsDigest(proxy *FaultProxy) (digest []byte) {
	f.T.Helper()
	hellos := make(chan []byte, 1)
	proxy.Observe(func(frame []byte) {
		if frameKind(frame) == transport.Hello {
			select {
			case hellos <- append([]byte(nil), frame[frameBodyOffset:]...):
			default:
			}
		}
	})
	defer proxy.Observe(f.observe)
	proxy.CloseConnections()
	var hello []byte
	select {
	case hello = <-hellos:
	case <-time.After(WaitTimeout):
		require.Fail(f.T, "no hello")
	}
	digest = bytesField(bytesField(hello, helloIdentityField), identitySettingsDigestField)
	require.NotEmpty(f.T, digest)
	return digest
}

// bytesField returns the value of a message's field of bytes; nil where it has none.
func bytesField(message []byte, number int) (value []byte) {
	fields := fieldcodec.Decode(message)
	for fields.Next() {
		if int(fields.Number()) == number {
			value = bytes.Clone(fields.Data())
		}
	}
	return value
}

// AttachStub attaches the stub of a front end to a control member, under a name and an incarnation. The digest of the
// settings has to be that of the control member's. The test fails where the control member refuses the handshake.
// The stub is closed with the test.
func (f *Fleet) AttachStub(controlMember *FrontEnd, name string, incarnation uint64, digest []byte) *AttachedStub {
	f.T.Helper()
	conn, err := net.DialTimeout("tcp4", controlMember.PeerAddr, stubDialTimeout)
	require.NoError(f.T, err)
	s := &AttachedStub{name: name, conn: conn, stop: make(chan struct{})}
	identity := &transport.Identity{
		Site:           f.SiteName,
		Name:           name,
		Zone:           controlMember.Zone,
		Incarnation:    incarnation,
		MinVersion:     transport.MinVersion,
		MaxVersion:     transport.MaxVersion,
		SettingsDigest: digest,
		Attached:       true,
	}
	require.NoError(f.T, s.handshake(controlMember.Name, identity))
	s.workers.Go(s.discardReceived)
	s.workers.Go(s.sendHeartbeats)
	f.T.Cleanup(s.Close)
	return s
}

// handshake authenticates the stub to the control member of a name.
func (s *AttachedStub) handshake(controlMember string, self *transport.Identity) error {
	_ = s.conn.SetDeadline(time.Now().Add(WaitTimeout))
	defer func() { _ = s.conn.SetDeadline(time.Time{}) }()
	dialer := &transport.Dialer{Local: self, ExpectedName: controlMember}
	buffer := make([]byte, stubReadBufferSize)
	for !dialer.Established() {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		dialer.Feed(buffer[:n])
		reply, err := dialer.Process()
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if _, err := s.conn.Write(reply); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// sendHeartbeats sends heartbeats that request no view, until the stub is closed or its connection ends.
func (s *AttachedStub) sendHeartbeats() {
	began := time.Now()
	for {
		sentTime := time.Since(began).Microseconds()
		heartbeat := fieldcodec.Encode(nil)
		heartbeat.String(heartbeatNameField, &s.name)
		fieldcodec.IntUpTo(&heartbeat, heartbeatSentTimeField, &sentTime, math.MaxInt64)
		frame := transport.AppendFrame(nil, transport.AttachedHeartbeat, 0, false, heartbeat.Bytes())
		if _, err := s.conn.Write(frame); err != nil {
			return
		}
		select {
		case <-s.stop:
			return
		case <-time.After(stubHeartbeatInterval):
		}
	}
}

// discardReceived reads and discards all that the control member sends, until the connection ends.
func (s *AttachedStub) discardReceived() {
	buffer := make([]byte, stubReadBufferSize)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
	}
}

// Close closes the stub's connection without a goodbye, and waits until its goroutines have ended.
func (s *AttachedStub) Close() {
	select {
	case <-s.stop:
		return
	default:
	}
	close(s.stop)
	s.conn.Close()
	s.workers.Wait()
}
