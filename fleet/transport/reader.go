package transport

import "fmt"

// Reader reassembles messages from the bytes of one link.
type Reader struct {
	// MaxMessage is the maximum length of a message, in bytes.
	MaxMessage int

	buffer  []byte             // received bytes that are not decoded yet
	partial [endOfKinds][]byte // by kind: the fragments received so far of an incomplete message
}

// Feed adds received bytes.
func (r *Reader) Feed(b []byte) { r.buffer = append(r.buffer, b...) }

// Next returns the next complete message; ok is false if more bytes are needed. The caller owns the body. The error is
// ErrFrameLength, ErrUnknownKind or ErrFragmentOrder.
func (r *Reader) Next() (kind Kind, body []byte, ok bool, err error) {
	for {
		h, fragment, ok, err := r.nextFrame()
		if !ok || err != nil {
			return 0, nil, false, err
		}
		body, complete, err := r.reassemble(h, fragment)
		if err != nil {
			return 0, nil, false, err
		}
		if complete {
			return h.kind, body, true, nil
		}
	}
}

// nextFrame removes the next frame from the buffer; ok is false if the frame is incomplete.
func (r *Reader) nextFrame() (h header, fragment []byte, ok bool, err error) {
	if len(r.buffer) < headerSize {
		return h, nil, false, nil
	}
	h = decodeHeader(r.buffer)
	if h.bodySize < 0 || h.bodySize > MaxFrameBody {
		return h, nil, false, fmt.Errorf("%w: %d", ErrFrameLength, h.bodySize)
	}
	if !h.kind.valid() {
		return h, nil, false, fmt.Errorf("%w: %d", ErrUnknownKind, h.kind)
	}
	size := headerSize + h.bodySize
	if len(r.buffer) < size {
		return h, nil, false, nil
	}
	fragment = append([]byte(nil), r.buffer[headerSize:size]...)
	r.buffer = r.buffer[size:]
	if len(r.buffer) == 0 {
		r.buffer = nil
	}
	return h, fragment, true, nil
}

// reassemble adds a fragment to its message and returns the message's body once it is complete.
func (r *Reader) reassemble(h header, fragment []byte) (body []byte, complete bool, err error) {
	partial := r.partial[h.kind]
	switch {
	case h.offset == 0 && !h.more:
		return fragment, true, nil
	case h.offset == 0 && len(partial) == 0:
	case h.offset < len(partial):
		return nil, false, nil // a duplicate
	case h.offset != len(partial):
		return nil, false, fmt.Errorf("%w: %s", ErrFragmentOrder, h.kind)
	}
	if h.offset+len(fragment) > r.MaxMessage {
		return nil, false, fmt.Errorf("%w: message longer than %d", ErrFrameLength, r.MaxMessage)
	}
	partial = append(partial, fragment...)
	if h.more {
		r.partial[h.kind] = partial
		return nil, false, nil
	}
	r.partial[h.kind] = nil
	return partial, true, nil
}
