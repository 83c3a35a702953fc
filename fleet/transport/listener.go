package transport

import "fmt"

// Listener is the side of a link that accepted it and receives messages.
type Listener struct {
	Reader
	Local  *Identity
	Secret Secret
	// IsControlMember reports whether a name is a control member's.
	IsControlMember func(name string) bool
	// AcceptsAttached says that front ends of other names may attach here.
	AcceptsAttached bool
	// AtCapacity says, before the hello arrives, that there is no capacity for another attached front end.
	AtCapacity bool
	Remote     Identity // once the link is established

	nonce       []byte
	established bool
	maxInbound  int // MaxMessage once the link is established
}

// Challenge begins the handshake and returns the frame to send. The nonce must be new for each link; maxInbound is the
// length of the longest message that is accepted after the handshake, in bytes.
func (l *Listener) Challenge(nonce [nonceSize]byte, maxInbound int) []byte {
	l.nonce = nonce[:]
	l.MaxMessage = MaxFrameBody
	l.maxInbound = maxInbound
	return AppendFrame(nil, Challenge, 0, false, l.nonce)
}

// Established reports whether the handshake is complete, so that the remote side is authenticated.
func (l *Listener) Established() bool { return l.established }

// Process handles the bytes that were fed: the hello, to which the welcome is the reply, and then messages. After an
// error the link is to be closed.
func (l *Listener) Process() (reply []byte, messages []Message, err error) {
	for {
		kind, body, ok, err := l.Next()
		if !ok || err != nil {
			return reply, messages, err
		}
		if !l.expects(kind) {
			return reply, messages, fmt.Errorf("%w: %s", ErrUnexpectedFrame, kind)
		}
		if l.established {
			messages = append(messages, Message{kind, body})
			continue
		}
		welcome, err := l.receiveHello(body)
		if err != nil {
			return nil, nil, err
		}
		reply = AppendFrame(reply, Welcome, 0, false, welcome)
	}
}

// expects reports whether a frame of the kind may arrive now.
func (l *Listener) expects(kind Kind) bool {
	if l.established {
		return kind > Welcome
	}
	return kind == Hello
}

// receiveHello completes the handshake and returns the welcome.
func (l *Listener) receiveHello(body []byte) (welcome []byte, err error) {
	hello, err := l.Secret.verify(dialerSide, l.nonce, body)
	if err != nil {
		return nil, err
	}
	if err := l.Local.checkCompatible(&hello.Sender); err != nil {
		return nil, err
	}
	if err := l.checkNameAndRole(&hello); err != nil {
		return nil, err
	}
	l.Remote = hello.Sender
	l.established = true
	l.MaxMessage = l.maxInbound
	return l.Secret.sign(listenerSide, l.nonce, &introduction{*l.Local, l.Remote.Name}), nil
}

// checkNameAndRole returns an error unless the dialer's name fits its role, its role may link here, and this side is
// the one that it expects.
func (l *Listener) checkNameAndRole(hello *introduction) error {
	remote := &hello.Sender
	isControlMember := l.IsControlMember(remote.Name)
	validName := isControlMember
	if remote.Attached {
		validName = ValidName(remote.Name)
	}
	switch {
	case hello.Recipient != l.Local.Name || !validName:
		return fmt.Errorf("%w: from %q to %q", ErrNameMismatch, remote.Name, hello.Recipient)
	case !remote.Attached:
		return nil
	case !l.AcceptsAttached:
		return fmt.Errorf("%w: %q is attached, and no front ends may attach here", ErrRoleMismatch, remote.Name)
	case isControlMember || remote.Name == l.Local.Name:
		return fmt.Errorf("%w: %q is attached under a control member's name", ErrRoleMismatch, remote.Name)
	case l.AtCapacity:
		return fmt.Errorf("%w: %q", ErrAtCapacity, remote.Name)
	}
	return nil
}
