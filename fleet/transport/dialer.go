package transport

import "fmt"

// Dialer is the side of a link that dialed. It sends messages; that of an attached front end also receives them.
type Dialer struct {
	Reader
	Local        *Identity
	ExpectedName string // of the remote side
	Secret       Secret
	MaxInbound   int      // maximum length of a message from the listener, in bytes, if this side is attached
	Remote       Identity // set once the link is established

	nonce       []byte // of the challenge; nil before it arrives
	established bool
	received    []Message
}

// Established reports whether the handshake is complete. Messages may be sent from then on.
func (d *Dialer) Established() bool { return d.established }

// TakeMessages returns the messages that an attached front end has received since the last call.
func (d *Dialer) TakeMessages() []Message {
	messages := d.received
	d.received = nil
	return messages
}

// Process handles the bytes that were fed. The reply must be sent before anything else. TakeMessages returns the
// messages that followed the handshake. After an error the link must be closed.
func (d *Dialer) Process() (reply []byte, err error) {
	if !d.established {
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
			hello := d.Secret.sign(dialerSide, d.nonce, &introduction{*d.Local, d.ExpectedName})
			reply = AppendFrame(reply, Hello, 0, false, hello)
		case kind == Welcome && d.nonce != nil && !d.established:
			if err := d.receiveWelcome(body); err != nil {
				return nil, err
			}
		case d.established && d.Local.Attached && kind > Welcome:
			d.received = append(d.received, Message{kind, body})
		default:
			return nil, fmt.Errorf("%w: %s", ErrUnexpectedFrame, kind)
		}
	}
}

// receiveWelcome verifies the welcome and completes the handshake.
func (d *Dialer) receiveWelcome(body []byte) error {
	welcome, err := d.Secret.verify(listenerSide, d.nonce, body)
	if err != nil {
		return err
	}
	remote := &welcome.Sender
	if err := d.Local.checkCompatible(remote); err != nil {
		return err
	}
	if remote.Name != d.ExpectedName || welcome.Recipient != d.Local.Name {
		return fmt.Errorf("%w: %q instead of %q", ErrNameMismatch, remote.Name, d.ExpectedName)
	}
	if remote.Attached {
		return fmt.Errorf("%w: %q is an attached front end itself", ErrRoleMismatch, remote.Name)
	}
	d.Remote = *remote
	d.established = true
	if d.Local.Attached {
		d.MaxMessage = max(d.MaxInbound, MaxFrameBody)
	}
	return nil
}
