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

// AttachedStub is a stub of an attached front end within the test process: it authenticates itself to one control
// member, sends heartbeats, and discards what it receives. It allows tests to cause many changes of the view without
// many processes.
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

// Field numbers of a hello, of the identity in it, and of the heartbeat of an attached front end.
const (
	helloIdentityField          = 1
	identitySettingsDigestField = 8

	heartbeatNameField     = 1
	heartbeatSentTimeField = 2 // in microseconds, by the sender's clock
)

// CaptureSettingsDigest closes the connections of a proxy, waits for the hello on the next connection, and returns the
// settings digest in it, which an AttachedStub has to send. The test fails if no hello is seen in time.
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

// bytesField returns the value of a bytes field of a message; nil if the message doesn't have the field.
func bytesField(message []byte, number int) (value []byte) {
	fields := fieldcodec.Decode(message)
	for fields.Next() {
		if int(fields.Number()) == number {
			value = bytes.Clone(fields.Data())
		}
	}
	return value
}

// AttachStub attaches a stub front end with the given name and incarnation to a control member. The digest has to be
// the control member's settings digest. The test fails if the handshake fails. The stub is closed at the end of the
// test.
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

// handshake authenticates the stub to the control member with the given name.
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

// sendHeartbeats sends heartbeats, which don't request a view, until the stub is closed or its connection ends.
func (s *AttachedStub) sendHeartbeats() {
	startedAt := time.Now()
	for {
		sentTime := time.Since(startedAt).Microseconds()
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

// discardReceived reads and discards everything that the control member sends, until the connection ends.
func (s *AttachedStub) discardReceived() {
	buffer := make([]byte, stubReadBufferSize)
	for {
		if _, err := s.conn.Read(buffer); err != nil {
			return
		}
	}
}

// Close closes the stub's connection without announcing that it leaves, and waits until its goroutines have ended.
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
