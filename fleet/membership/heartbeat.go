package membership

import (
	"encoding/binary"
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// heartbeat is what an attached front end sends over each of its links. It renews the lease, and says how far the front
// end's view is.
type heartbeat struct {
	name      string
	sentAt    monotime.Micros // by the sender's clock; the answer returns it
	leaving   bool
	subscribe bool // the view is requested from this control member
	resume    bool // the front end has not followed this control member so far, or has lost something
	epoch     uint64
	sequence  uint64
	digest    uint64
	// bucketDigests are the digests of all buckets, cut to 32 bits; there are none for an empty view, or if the log may
	// still reach back to the view's sequence.
	bucketDigests []uint32
}

// bucketDigestSize is the bytes of one bucket's digest in a heartbeat.
const bucketDigestSize = 4

// fields lists the message's fields.
func (h *heartbeat) fields(f *fieldcodec.Fields) {
	f.String(1, &h.name)
	fieldcodec.IntUpTo(f, 2, &h.sentAt, maxHeartbeatTime)
	f.Bool(3, &h.leaving)
	f.Bool(4, &h.subscribe)
	f.Bool(5, &h.resume)
	fieldcodec.Uint(f, 6, &h.epoch)
	fieldcodec.Uint(f, 7, &h.sequence)
	fieldcodec.Uint(f, 8, &h.digest)
	if f.Encoding() && len(h.bucketDigests) > 0 {
		f.AppendBytes(9, h.encodeBucketDigests())
	}
	if f.Decoding(9) {
		f.Fail(h.decodeBucketDigests(f.Data()))
	}
}

func (h *heartbeat) encodeBucketDigests() []byte {
	b := make([]byte, 0, bucketDigestSize*bucketCount)
	for _, digest := range h.bucketDigests {
		b = binary.BigEndian.AppendUint32(b, digest)
	}
	return b
}

func (h *heartbeat) decodeBucketDigests(b []byte) error {
	if len(b) != bucketDigestSize*bucketCount {
		return fmt.Errorf("%w: %d bytes of bucket digests", ErrMalformed, len(b))
	}
	h.bucketDigests = make([]uint32, bucketCount)
	for i := range h.bucketDigests {
		h.bucketDigests[i] = binary.BigEndian.Uint32(b[bucketDigestSize*i:])
	}
	return nil
}

func (h *heartbeat) encode() []byte {
	f := fieldcodec.Encode(nil)
	h.fields(&f)
	return f.Bytes()
}

func decodeHeartbeat(b []byte) (h heartbeat, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		h.fields(&f)
	}
	return h, decodingError(f.Err())
}
