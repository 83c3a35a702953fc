package transport

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
)

// reframe reads all messages of some bytes and frames them again.
func reframe(b []byte) (out []byte, err error) {
	r := Reader{MaxMessage: 1 << 20}
	r.Feed(b)
	for {
		kind, body, ok, err := r.Next()
		if !ok || err != nil {
			return out, err
		}
		out = append(out, framed(kind, body)...)
	}
}

// framed is the frames of a message.
func framed(kind Kind, body []byte) (out []byte) {
	for offset := 0; ; {
		part := body[offset:min(offset+MaxFrameBody, len(body))]
		more := offset+len(part) < len(body)
		out = AppendFrame(out, kind, offset, more, part)
		if offset += len(part); !more {
			return out
		}
	}
}

func TestWireFormatOfFrames(t *testing.T) {
	var list []golden.Message
	for kind := Challenge; kind < kinds; kind++ {
		list = append(list, golden.Message{Name: fmt.Sprintf("frame-%d", kind),
			Encoded: framed(kind, fmt.Appendf(nil, "the body of kind %d", kind)), Recode: reframe})
	}
	list = append(list, golden.Message{Name: "frame-empty", Encoded: framed(Proposal, nil), Recode: reframe},
		golden.Message{Name: "frame-parts", Encoded: framed(TableUpdate, bytes.Repeat([]byte{'x'}, MaxFrameBody+10)), Recode: reframe})
	golden.Messages(t, "testdata/frames.txt", list)
}

func testIdentities() (dialler, listener Identity) {
	dialler = Identity{Site: "legon", Name: "n1", Zone: "a", Incarnation: 1<<60 + 1, ReplicaID: 300, MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte{1, 2, 3}}
	listener = Identity{Site: "legon", Name: "n2", Zone: "b", Incarnation: 2, ReplicaID: 1 << 50, MinVersion: 1, MaxVersion: 1, SettingsDigest: []byte{1, 2, 3}}
	return dialler, listener
}

// The bytes of a whole handshake, each side's.
func TestWireFormatOfHandshakes(t *testing.T) {
	var list []golden.Message
	for _, attached := range []bool{false, true} {
		for _, secret := range []Secret{nil, Secret("a secret of thirty-two bytes ....")} {
			self, other := testIdentities()
			if self.Attached = attached; attached {
				self.Name, self.ReplicaID = "front-17", 0
			}
			l := Listener{Local: &other, Secret: secret, IsControlMember: func(name string) bool { return name == "n1" }, AcceptsAttached: true}
			d := Dialer{Local: &self, ExpectedName: "n2", Secret: secret}
			challenge := l.Challenge([nonceSize]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 1<<20)
			d.Feed(challenge)
			hello, err := d.Process()
			require.NoError(t, err)
			l.Feed(hello)
			welcome, _, err := l.Process()
			require.NoError(t, err)
			require.True(t, l.Established())
			require.Equal(t, self, l.Remote)
			d.Feed(welcome)
			_, err = d.Process()
			require.NoError(t, err)
			require.True(t, d.Established())
			require.Equal(t, other, d.Remote)
			name := fmt.Sprintf("attached=%t-secret=%t", attached, secret != nil)
			list = append(list, golden.Message{Name: "challenge-" + name, Encoded: challenge, Recode: reframe},
				golden.Message{Name: "hello-" + name, Encoded: hello, Recode: reframe},
				golden.Message{Name: "welcome-" + name, Encoded: welcome, Recode: reframe})
		}
	}
	self, _ := testIdentities()
	recode := func(b []byte) ([]byte, error) {
		i, to, err := decodeIdentity(b)
		return i.encode(to), err
	}
	list = append(list, golden.Message{Name: "identity", Encoded: self.encode("n2"), Recode: recode},
		golden.Message{Name: "identity-empty", Encoded: (&Identity{}).encode(""), Recode: recode})
	golden.Messages(t, "testdata/handshakes.txt", list)
}
