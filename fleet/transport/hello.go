package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"chutechute/internal/proto"
)

// The versions of the protocol that this build speaks.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Identity is what one side of a link says of itself.
type Identity struct {
	Site           string
	Name           string
	Zone           string
	Incarnation    uint64 // of its process
	ReplicaID      uint64 // the number of its disk
	MinVersion     uint64 // versions that it speaks
	MaxVersion     uint64
	SettingsDigest []byte // a digest of what all front ends of a site must agree on
	Attached       bool   // it is no control member: it attaches to them
}

func (i *Identity) encode(to string) []byte {
	var b []byte
	b = proto.String(b, 1, i.Site)
	b = proto.String(b, 2, i.Name)
	b = proto.String(b, 3, i.Zone)
	b = proto.Uint(b, 4, i.Incarnation)
	b = proto.Uint(b, 5, i.ReplicaID)
	b = proto.Uint(b, 6, i.MinVersion)
	b = proto.Uint(b, 7, i.MaxVersion)
	b = proto.Bytes(b, 8, i.SettingsDigest)
	b = proto.String(b, 9, to)
	return proto.Bool(b, 10, i.Attached)
}

func decodeIdentity(b []byte) (i Identity, to string, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			i.Site = f.Text()
		case 2:
			i.Name = f.Text()
		case 3:
			i.Zone = f.Text()
		case 4:
			i.Incarnation = f.Uint
		case 5:
			i.ReplicaID = f.Uint
		case 6:
			i.MinVersion = f.Uint
		case 7:
			i.MaxVersion = f.Uint
		case 8:
			i.SettingsDigest = f.Copy()
		case 9:
			to = f.Text()
		case 10:
			i.Attached = f.Uint != 0
		}
		return nil
	})
	return i, to, err
}

const nonceSize = 16

// Errors of a hello; the link is closed.
var (
	ErrAuthentication   = errors.New("peer: the hello's proof does not hold")
	ErrSiteMismatch     = errors.New("peer: of another site")
	ErrNameMismatch     = errors.New("peer: not the front end that was meant")
	ErrNoCommonVersion  = errors.New("peer: no version in common")
	ErrSettingsMismatch = errors.New("peer: its settings differ")
	ErrSelfConnection   = errors.New("peer: this process itself")
	ErrRoleMismatch     = errors.New("peer: a role that does not fit")
	ErrAtCapacity       = errors.New("peer: no room for another attached front end")
)

// Secret proves both sides of a link to one another. Without one only loopback addresses are allowed, where whoever may
// connect may do all else too.
type Secret []byte

// proof is over what only this link has (the listener's nonce), what it says, and which side says it.
func (s Secret) proof(side byte, nonce, said []byte) []byte {
	m := hmac.New(sha256.New, s)
	m.Write([]byte{side})
	m.Write(nonce)
	m.Write(said)
	return m.Sum(nil)
}

func (s Secret) sealed(side byte, nonce, said []byte) []byte {
	return proto.Bytes(proto.Bytes(nil, 1, said), 2, s.proof(side, nonce, said))
}

func (s Secret) opened(side byte, nonce, b []byte) (said []byte, err error) {
	var proof []byte
	if err := proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			said = f.Data
		case 2:
			proof = f.Data
		}
		return nil
	}); err != nil {
		return nil, err
	}
	if !hmac.Equal(proof, s.proof(side, nonce, said)) {
		return nil, ErrAuthentication
	}
	return said, nil
}

// check compares the other side with this one.
func (i *Identity) check(other *Identity) error {
	switch {
	case other.Site != i.Site:
		return fmt.Errorf("%w: %q", ErrSiteMismatch, other.Site)
	case other.MaxVersion < i.MinVersion || other.MinVersion > i.MaxVersion:
		return fmt.Errorf("%w: it speaks %d to %d, this one %d to %d", ErrNoCommonVersion, other.MinVersion, other.MaxVersion, i.MinVersion, i.MaxVersion)
	case other.Incarnation == i.Incarnation:
		return ErrSelfConnection
	case string(other.SettingsDigest) != string(i.SettingsDigest):
		return fmt.Errorf("%w: %q", ErrSettingsMismatch, other.Name)
	}
	return nil
}

// MaxNameLength is the longest name of an attached front end, in bytes.
const MaxNameLength = 64

// ValidName says whether an attached front end may have a name: 1 to MostName letters, digits, dots, hyphens and underscores.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		switch c := name[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}

// Dialer is the sending side of a link. That of an attached front end receives messages on it too.
type Dialer struct {
	Reader
	Local        *Identity
	ExpectedName string // the name that is meant
	Secret       Secret
	MaxInbound   int      // of a message from the listener, in bytes, where this side is attached
	Remote       Identity // once it is open
	nonce        []byte
	open         bool
	list         []Message
}

// Established says whether messages may be sent.
func (d *Dialer) Established() bool { return d.open }

// Messages gives what the listener has sent to an attached front end, and forgets it.
func (d *Dialer) Messages() []Message {
	list := d.list
	d.list = nil
	return list
}

// Process handles what the listener sends; reply goes out before all else. Messages gives what came after the welcome.
func (d *Dialer) Process() (reply []byte, err error) {
	if !d.open {
		d.MaxMessage = MaxFrameBody
	}
	for {
		kind, body, ok, err := d.Next()
		if !ok || err != nil {
			return reply, err
		}
		switch {
		case kind == Challenge && d.nonce == nil && len(body) == nonceSize:
			d.nonce = body
			reply = AppendFrame(reply, Hello, 0, false, d.Secret.sealed(1, d.nonce, d.Local.encode(d.ExpectedName)))
		case kind == Welcome && d.nonce != nil && !d.open:
			said, err := d.Secret.opened(2, d.nonce, body)
			if err != nil {
				return nil, err
			}
			other, to, err := decodeIdentity(said)
			if err != nil {
				return nil, err
			}
			if err := d.Local.check(&other); err != nil {
				return nil, err
			}
			if other.Name != d.ExpectedName || to != d.Local.Name {
				return nil, fmt.Errorf("%w: %q instead of %q", ErrNameMismatch, other.Name, d.ExpectedName)
			}
			if other.Attached {
				return nil, fmt.Errorf("%w: %q is attached itself", ErrRoleMismatch, other.Name)
			}
			d.Remote, d.open = other, true
			if d.Local.Attached {
				d.MaxMessage = max(d.MaxInbound, MaxFrameBody)
			}
		case d.open && d.Local.Attached && kind > Welcome:
			d.list = append(d.list, Message{kind, body})
		default:
			return nil, fmt.Errorf("%w: %s", ErrUnexpectedFrame, kind)
		}
	}
}

// Listener is the receiving side of a link.
type Listener struct {
	Reader
	Local  *Identity
	Secret Secret
	// IsControlMember says whether a name is a control member's.
	IsControlMember func(name string) bool
	// AcceptsAttached says that front ends of other names may attach here.
	AcceptsAttached bool
	// AtCapacity says, before a hello comes, that there is no room for another of these.
	AtCapacity bool
	Remote     Identity // once it is open
	nonce      []byte
	open       bool
	limit      int
}

// Challenge begins: the nonce has to be new for each link.
func (l *Listener) Challenge(nonce [nonceSize]byte, most int) []byte {
	l.nonce, l.MaxMessage, l.limit = nonce[:], MaxFrameBody, most
	return AppendFrame(nil, Challenge, 0, false, l.nonce)
}

// Established says whether the other side has proven itself.
func (l *Listener) Established() bool { return l.open }

// Message is one message of a peer.
type Message struct {
	Kind Kind
	Body []byte
}

// Process handles what the dialler sends: the hello, whose welcome is the reply, and then messages.
func (l *Listener) Process() (reply []byte, list []Message, err error) {
	for {
		kind, body, ok, err := l.Next()
		if !ok || err != nil {
			return reply, list, err
		}
		if l.open {
			if kind <= Welcome {
				return reply, list, fmt.Errorf("%w: %s", ErrUnexpectedFrame, kind)
			}
			list = append(list, Message{kind, body})
			continue
		}
		if kind != Hello {
			return reply, list, fmt.Errorf("%w: %s", ErrUnexpectedFrame, kind)
		}
		said, err := l.Secret.opened(1, l.nonce, body)
		if err != nil {
			return nil, nil, err
		}
		other, to, err := decodeIdentity(said)
		if err != nil {
			return nil, nil, err
		}
		if err := l.Local.check(&other); err != nil {
			return nil, nil, err
		}
		if err := l.admits(&other, to); err != nil {
			return nil, nil, err
		}
		l.Remote, l.open, l.MaxMessage = other, true, l.limit
		reply = AppendFrame(reply, Welcome, 0, false, l.Secret.sealed(2, l.nonce, l.Local.encode(other.Name)))
	}
}

// admits checks that the dialler's name and role fit one another, and that this side is meant.
func (l *Listener) admits(other *Identity, to string) error {
	member := l.IsControlMember(other.Name)
	switch {
	case to != l.Local.Name || !other.Attached && !member || other.Attached && !ValidName(other.Name):
		return fmt.Errorf("%w: from %q to %q", ErrNameMismatch, other.Name, to)
	case other.Attached && !l.AcceptsAttached:
		return fmt.Errorf("%w: %q is attached, and no front ends may attach here", ErrRoleMismatch, other.Name)
	case other.Attached && (member || other.Name == l.Local.Name):
		return fmt.Errorf("%w: %q is attached under a control member's name", ErrRoleMismatch, other.Name)
	case other.Attached && l.AtCapacity:
		return fmt.Errorf("%w: %q", ErrAtCapacity, other.Name)
	}
	return nil
}
