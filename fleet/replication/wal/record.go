package wal

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// A record is a header and a payload. The header has the payload's length (4 bytes), a checksum of the length (4 bytes)
// and a checksum of length and payload (8 bytes), all in big-endian order.
const (
	lengthChecksumOffset = 4
	checksumOffset       = 8
	headerBytes          = 16
	maxPayloadBytes      = 256 << 20
)

// appendRecord appends a record with the payload to b.
func appendRecord(b, payload []byte) []byte {
	length := uint32(len(payload))
	b = binary.BigEndian.AppendUint32(b, length)
	b = binary.BigEndian.AppendUint32(b, lengthChecksum(length))
	b = binary.BigEndian.AppendUint64(b, payloadChecksum(payload))
	return append(b, payload...)
}

// readRecord verifies the record at the beginning of b. It returns the record's payload and the bytes after the record,
// both parts of b. The error is errTorn if b ends within the record, and otherwise ErrCorrupt.
func readRecord(b []byte) (payload, rest []byte, err error) {
	if len(b) < headerBytes {
		return nil, nil, errTorn
	}
	length := binary.BigEndian.Uint32(b)
	n := int(length)
	if lengthChecksum(length) != binary.BigEndian.Uint32(b[lengthChecksumOffset:]) || n > maxPayloadBytes {
		return nil, nil, ErrCorrupt
	}
	if len(b)-headerBytes < n {
		return nil, nil, errTorn
	}
	payload = b[headerBytes : headerBytes+n]
	if binary.BigEndian.Uint64(b[checksumOffset:]) != payloadChecksum(payload) {
		return nil, nil, ErrCorrupt
	}
	return payload, b[headerBytes+n:], nil
}

// lengthChecksum returns the checksum of the length alone. Without it, a flipped bit in the length could make a corrupt
// record look torn.
func lengthChecksum(length uint32) uint32 {
	return uint32(xxhash.Sum64(binary.BigEndian.AppendUint32(nil, length)))
}

func payloadChecksum(payload []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(payload)))) // it never fails
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// isTorn reports whether b, for which readRecord returned an error, is an incomplete write: the file ends within the
// record, or has only zeros from there on, because the data never reached the disk.
func isTorn(b []byte, readErr error) bool { return errors.Is(readErr, errTorn) || allZero(b) }

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
