package transport

import "fmt"

// Listener is the side of a link that accepted the connection and receives messages.
type Listener struct {
	Reader
	Local  *Identity
	Secret Secret
	// IsControlMember reports whether a name is that of a control member.
	IsControlMember func(name string) bool
	// AcceptsAttached reports whether front ends that are not control members may attach here.
	AcceptsAttached bool
	// AtCapacity reports whether the limit of attached front ends is reached. It must be set before the hello is
	// processed.
	AtCapacity bool
	Remote     Identity // set once the link is established

	nonce       []byte
	established bool
	maxInbound  int // the value of MaxMessage after the handshake
}

// Challenge starts the handshake and returns the frame to send. The nonce must be new for each link; maxInbound is the
// maximum length of a message after the handshake, in bytes.
func (l *Listener) Challenge(nonce [nonceSize]byte, maxInbound int) []byte {
	l.nonce = nonce[:]
	l.MaxMessage = MaxFrameBody
	l.maxInbound = maxInbound
	return AppendFrame(nil, Challenge, 0, false, l.nonce)
}

// Established reports whether the handshake is complete, which means that the remote side is authenticated.
func (l *Listener) Established() bool { return l.established }

// Process handles the bytes that were fed: first the hello, to which the welcome is the reply, then messages. After an
// error the link must be closed.
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

// expects reports whether a message of the kind is valid in the present state of the link.
func (l *Listener) expects(kind Kind) bool {
	if l.established {
		return kind > Welcome
	}
	return kind == Hello
}

// receiveHello verifies the hello, completes the handshake and returns the welcome.
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

// checkNameAndRole returns an error unless the dialer's name is valid for its role, its role may link here, and the
// hello is addressed to this front end.
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
		return fmt.Errorf("%w: %q is an attached front end, and none may attach here", ErrRoleMismatch, remote.Name)
	case isControlMember || remote.Name == l.Local.Name:
		return fmt.Errorf("%w: attached front end %q has a control member's name", ErrRoleMismatch, remote.Name)
	case l.AtCapacity:
		return fmt.Errorf("%w: %q", ErrAtCapacity, remote.Name)
	}
	return nil
}
