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
	OldestVersion = 1
	NewestVersion = 1
)

// Identity is what one side of a link says of itself.
type Identity struct {
	Site        string
	Name        string
	Zone        string
	Incarnation uint64 // of its process
	Copy        uint64 // the number of its disk
	Oldest      uint64 // versions that it speaks
	Newest      uint64
	Settings    []byte // a digest of what all front ends of a site must agree on
	Attached    bool   // it is no control member: it attaches to them
}

func (i *Identity) encode(to string) []byte {
	var b []byte
	b = proto.String(b, 1, i.Site)
	b = proto.String(b, 2, i.Name)
	b = proto.String(b, 3, i.Zone)
	b = proto.Uint(b, 4, i.Incarnation)
	b = proto.Uint(b, 5, i.Copy)
	b = proto.Uint(b, 6, i.Oldest)
	b = proto.Uint(b, 7, i.Newest)
	b = proto.Bytes(b, 8, i.Settings)
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
			i.Copy = f.Uint
		case 6:
			i.Oldest = f.Uint
		case 7:
			i.Newest = f.Uint
		case 8:
			i.Settings = f.Copy()
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
	ErrProof    = errors.New("peer: the hello's proof does not hold")
	ErrSite     = errors.New("peer: of another site")
	ErrName     = errors.New("peer: not the front end that was meant")
	ErrVersion  = errors.New("peer: no version in common")
	ErrSettings = errors.New("peer: its settings differ")
	ErrSelf     = errors.New("peer: this process itself")
	ErrRole     = errors.New("peer: a role that does not fit")
	ErrFull     = errors.New("peer: no room for another attached front end")
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
		return nil, ErrProof
	}
	return said, nil
}

// check compares the other side with this one.
func (i *Identity) check(other *Identity) error {
	switch {
	case other.Site != i.Site:
		return fmt.Errorf("%w: %q", ErrSite, other.Site)
	case other.Newest < i.Oldest || other.Oldest > i.Newest:
		return fmt.Errorf("%w: it speaks %d to %d, this one %d to %d", ErrVersion, other.Oldest, other.Newest, i.Oldest, i.Newest)
	case other.Incarnation == i.Incarnation:
		return ErrSelf
	case string(other.Settings) != string(i.Settings):
		return fmt.Errorf("%w: %q", ErrSettings, other.Name)
	}
	return nil
}

// MostName is the longest name of an attached front end, in bytes.
const MostName = 64

// ValidName says whether an attached front end may have a name: 1 to MostName letters, digits, dots, hyphens and underscores.
func ValidName(name string) bool {
	if name == "" || len(name) > MostName {
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

// Dialler is the sending side of a link. That of an attached front end receives messages on it too.
type Dialler struct {
	Reader
	Self   *Identity
	To     string // the name that is meant
	Secret Secret
	Limit  int      // of a message from the listener, in bytes, where this side is attached
	Other  Identity // once it is open
	nonce  []byte
	open   bool
	list   []Message
}

// Open says whether messages may be sent.
func (d *Dialler) Open() bool { return d.open }

// Messages gives what the listener has sent to an attached front end, and forgets it.
func (d *Dialler) Messages() []Message {
	list := d.list
	d.list = nil
	return list
}

// Take handles what the listener sends; reply goes out before all else. Messages gives what came after the welcome.
func (d *Dialler) Take() (reply []byte, err error) {
	if !d.open {
		d.Most = MostBody
	}
	for {
		kind, body, ok, err := d.Next()
		if !ok || err != nil {
			return reply, err
		}
		switch {
		case kind == Challenge && d.nonce == nil && len(body) == nonceSize:
			d.nonce = body
			reply = AppendFrame(reply, Hello, 0, false, d.Secret.sealed(1, d.nonce, d.Self.encode(d.To)))
		case kind == Welcome && d.nonce != nil && !d.open:
			said, err := d.Secret.opened(2, d.nonce, body)
			if err != nil {
				return nil, err
			}
			other, to, err := decodeIdentity(said)
			if err != nil {
				return nil, err
			}
			if err := d.Self.check(&other); err != nil {
				return nil, err
			}
			if other.Name != d.To || to != d.Self.Name {
				return nil, fmt.Errorf("%w: %q instead of %q", ErrName, other.Name, d.To)
			}
			if other.Attached {
				return nil, fmt.Errorf("%w: %q is attached itself", ErrRole, other.Name)
			}
			d.Other, d.open = other, true
			if d.Self.Attached {
				d.Most = max(d.Limit, MostBody)
			}
		case d.open && d.Self.Attached && kind > Welcome:
			d.list = append(d.list, Message{kind, body})
		default:
			return nil, fmt.Errorf("%w: %s", ErrOrder, kind)
		}
	}
}

// Listener is the receiving side of a link.
type Listener struct {
	Reader
	Self   *Identity
	Secret Secret
	// Known says whether a name is a control member's.
	Known func(name string) bool
	// Attaches says that front ends of other names may attach here.
	Attaches bool
	// Full says, before a hello comes, that there is no room for another of these.
	Full  bool
	Other Identity // once it is open
	nonce []byte
	open  bool
	limit int
}

// Greet begins: the nonce has to be new for each link.
func (l *Listener) Greet(nonce [nonceSize]byte, most int) []byte {
	l.nonce, l.Most, l.limit = nonce[:], MostBody, most
	return AppendFrame(nil, Challenge, 0, false, l.nonce)
}

// Open says whether the other side has proven itself.
func (l *Listener) Open() bool { return l.open }

// Message is one message of a peer.
type Message struct {
	Kind Kind
	Body []byte
}

// Take handles what the dialler sends: the hello, whose welcome is the reply, and then messages.
func (l *Listener) Take() (reply []byte, list []Message, err error) {
	for {
		kind, body, ok, err := l.Next()
		if !ok || err != nil {
			return reply, list, err
		}
		if l.open {
			if kind <= Welcome {
				return reply, list, fmt.Errorf("%w: %s", ErrOrder, kind)
			}
			list = append(list, Message{kind, body})
			continue
		}
		if kind != Hello {
			return reply, list, fmt.Errorf("%w: %s", ErrOrder, kind)
		}
		said, err := l.Secret.opened(1, l.nonce, body)
		if err != nil {
			return nil, nil, err
		}
		other, to, err := decodeIdentity(said)
		if err != nil {
			return nil, nil, err
		}
		if err := l.Self.check(&other); err != nil {
			return nil, nil, err
		}
		if err := l.admits(&other, to); err != nil {
			return nil, nil, err
		}
		l.Other, l.open, l.Most = other, true, l.limit
		reply = AppendFrame(reply, Welcome, 0, false, l.Secret.sealed(2, l.nonce, l.Self.encode(other.Name)))
	}
}

// admits checks that the dialler's name and role fit one another, and that this side is meant.
func (l *Listener) admits(other *Identity, to string) error {
	member := l.Known(other.Name)
	switch {
	case to != l.Self.Name || !other.Attached && !member || other.Attached && !ValidName(other.Name):
		return fmt.Errorf("%w: from %q to %q", ErrName, other.Name, to)
	case other.Attached && !l.Attaches:
		return fmt.Errorf("%w: %q is attached, and no front ends may attach here", ErrRole, other.Name)
	case other.Attached && (member || other.Name == l.Self.Name):
		return fmt.Errorf("%w: %q is attached under a control member's name", ErrRole, other.Name)
	case other.Attached && l.Full:
		return fmt.Errorf("%w: %q", ErrFull, other.Name)
	}
	return nil
}
