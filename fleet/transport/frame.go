package transport

import "encoding/binary"

// A frame is a header followed by a fragment of a message's body. The header's fields, in big-endian byte order, are
// the length of the rest of the frame after this field (4 bytes), the kind (1), the flags (1) and the fragment's offset
// in the body (4).
const (
	lengthSize   = 4
	kindOffset   = 4
	flagsOffset  = 5
	offsetOffset = 6
	headerSize   = 10
	// MaxFrameBody is the maximum length of a frame's fragment, in bytes. Longer messages are split into several frames.
	MaxFrameBody = 64 << 10
)

// moreFlag is set in every frame of a message but the last.
const moreFlag = 1

// AppendFrame appends a frame with one fragment of a message to b and returns the extended slice. The offset is the
// fragment's position in the message's body, in bytes; more is true unless this is the last fragment.
func AppendFrame(b []byte, kind Kind, offset int, more bool, fragment []byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(fragment)+headerSize-lengthSize))
	flags := byte(0)
	if more {
		flags = moreFlag
	}
	b = append(b, byte(kind), flags)
	b = binary.BigEndian.AppendUint32(b, uint32(offset))
	return append(b, fragment...)
}

// header is the decoded header of a frame.
type header struct {
	bodySize int
	kind     Kind
	more     bool
	offset   int
}

// decodeHeader decodes the header at the start of b, which must have at least headerSize bytes.
func decodeHeader(b []byte) header {
	return header{
		bodySize: int(binary.BigEndian.Uint32(b)) - (headerSize - lengthSize),
		kind:     Kind(b[kindOffset]),
		more:     hasMore(b),
		offset:   int(binary.BigEndian.Uint32(b[offsetOffset:])),
	}
}

// hasMore reports whether the message continues in another frame.
func hasMore(frame []byte) bool { return frame[flagsOffset]&moreFlag != 0 }
