package transport

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
)

// reframe decodes all messages in b and encodes them again.
func reframe(b []byte) (frames []byte, err error) {
	r := Reader{MaxMessage: 1 << 20}
	r.Feed(b)
	for {
		kind, body, ok, err := r.Next()
		if !ok || err != nil {
			return frames, err
		}
		frames = append(frames, framesOf(kind, body)...)
	}
}

// framesOf returns the frames of a message.
func framesOf(kind Kind, body []byte) (frames []byte) {
	for offset := 0; ; {
		fragment := body[offset:min(offset+MaxFrameBody, len(body))]
		more := offset+len(fragment) < len(body)
		frames = AppendFrame(frames, kind, offset, more, fragment)
		if offset += len(fragment); !more {
			return frames
		}
	}
}

func TestWireFormatOfFrames(t *testing.T) {
	var list []golden.Message
	for kind := Challenge; kind < endOfKinds; kind++ {
		body := fmt.Appendf(nil, "the body of kind %d", kind)
		name := fmt.Sprintf("frame-%d", kind)
		list = append(list, golden.Message{Name: name, Encoded: framesOf(kind, body), Recode: reframe})
	}
	long := bytes.Repeat([]byte{'x'}, MaxFrameBody+10)
	list = append(list,
		golden.Message{Name: "frame-empty", Encoded: framesOf(Proposal, nil), Recode: reframe},
		golden.Message{Name: "frame-parts", Encoded: framesOf(TableUpdate, long), Recode: reframe})
	golden.Messages(t, "testdata/frames.txt", list)
}

func testIdentities() (dialer, listener Identity) {
	dialer = Identity{Site: "legon", Name: "n1", Zone: "a", Incarnation: 1<<60 + 1, ReplicaID: 300,
		MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte{1, 2, 3}}
	listener = Identity{Site: "legon", Name: "n2", Zone: "b", Incarnation: 2, ReplicaID: 1 << 50,
		MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte{1, 2, 3}}
	return dialer, listener
}

// handshake holds the bytes of each step of a handshake.
type handshake struct{ challenge, hello, welcome []byte }

// establish runs a handshake and returns its messages.
func establish(t *testing.T, attached bool, secret Secret) (h handshake) {
	dialer, listener := testIdentities()
	if dialer.Attached = attached; attached {
		dialer.Name, dialer.ReplicaID = "front-17", 0
	}
	isControlMember := func(name string) bool { return name == "n1" }
	l := Listener{Local: &listener, Secret: secret, IsControlMember: isControlMember, AcceptsAttached: true}
	d := Dialer{Local: &dialer, ExpectedName: "n2", Secret: secret}
	h.challenge = l.Challenge([nonceSize]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 1<<20)
	d.Feed(h.challenge)
	var err error
	h.hello, err = d.Process()
	require.NoError(t, err)
	l.Feed(h.hello)
	h.welcome, _, err = l.Process()
	require.NoError(t, err)
	require.True(t, l.Established())
	require.Equal(t, dialer, l.Remote)
	d.Feed(h.welcome)
	_, err = d.Process()
	require.NoError(t, err)
	require.True(t, d.Established())
	require.Equal(t, listener, d.Remote)
	return h
}

// The bytes of both sides' handshake messages do not change.
func TestWireFormatOfHandshakes(t *testing.T) {
	var list []golden.Message
	for _, attached := range []bool{false, true} {
		for _, secret := range []Secret{nil, Secret("a secret of thirty-two bytes ....")} {
			h := establish(t, attached, secret)
			name := fmt.Sprintf("attached=%t-secret=%t", attached, secret != nil)
			list = append(list,
				golden.Message{Name: "challenge-" + name, Encoded: h.challenge, Recode: reframe},
				golden.Message{Name: "hello-" + name, Encoded: h.hello, Recode: reframe},
				golden.Message{Name: "welcome-" + name, Encoded: h.welcome, Recode: reframe})
		}
	}
	dialer, _ := testIdentities()
	recode := func(b []byte) ([]byte, error) {
		m, err := decodeIntroduction(b)
		return m.encode(), err
	}
	list = append(list,
		golden.Message{Name: "identity", Encoded: (&introduction{dialer, "n2"}).encode(), Recode: recode},
		golden.Message{Name: "identity-empty", Encoded: (&introduction{}).encode(), Recode: recode})
	golden.Messages(t, "testdata/handshakes.txt", list)
}
