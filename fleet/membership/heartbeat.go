package membership

import (
	"encoding/binary"
	"fmt"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// heartbeat is the message that an attached front end regularly sends over each of its links. It renews the lease, and
// to the home it also reports which version of the view the front end has.
type heartbeat struct {
	name      string
	sentAt    monotime.Micros // by the sender's clock; the answer returns it
	leaving   bool            // the front end is shutting down
	subscribe bool            // the front end requests the view from this control member
	resume    bool            // the view is from another control member or process, or updates were lost
	epoch     uint64          // incarnation of the receiver if the view is from it; 0 if not, or with bucketDigests
	sequence  uint64          // of the view; 0 if epoch is
	digest    uint64          // of the view
	// bucketDigests are the low 32 bits of the digests of all buckets. They are left out if the view is empty, or if
	// the receiver's log may still reach back to the view's sequence.
	bucketDigests []uint32
}

// bucketDigestSize is the size of a bucket digest in a heartbeat, in bytes.
const bucketDigestSize = 4

// fields encodes or decodes the message's fields.
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
		return fmt.Errorf("%w: bucket digests have %d bytes", ErrMalformed, len(b))
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
