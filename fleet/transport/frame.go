package transport

import "encoding/binary"

// A frame is a header and a fragment of a message's body. The header has, in big-endian order, the length of what
// follows the length field (4 bytes), the kind (1), flags (1) and the fragment's offset in the body (4).
const (
	lengthSize   = 4
	kindOffset   = 4
	flagsOffset  = 5
	offsetOffset = 6
	headerSize   = 10
	// MaxFrameBody is the length, in bytes, of the longest fragment in one frame; longer messages are fragmented.
	MaxFrameBody = 64 << 10
)

// moreFlag is set in a frame that further fragments of the same message follow.
const moreFlag = 1

// AppendFrame appends a frame with one fragment of a message to b. The offset is the fragment's in the message's body,
// in bytes; more says that further fragments follow.
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

// decodeHeader decodes the header at the beginning of b, which has at least headerSize bytes.
func decodeHeader(b []byte) header {
	return header{
		bodySize: int(binary.BigEndian.Uint32(b)) - (headerSize - lengthSize),
		kind:     Kind(b[kindOffset]),
		more:     hasMore(b),
		offset:   int(binary.BigEndian.Uint32(b[offsetOffset:])),
	}
}

// hasMore reports whether further fragments of the same message follow a frame.
func hasMore(frame []byte) bool { return frame[flagsOffset]&moreFlag != 0 }
