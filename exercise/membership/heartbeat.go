package membership

import (
	"chutechute/fleet/heartbeat"
	"chutechute/internal/proto"
)

// controlHeartbeat is what control members send each other: package fleet's, without the fields about the record and with the versions
// of the tables.
type controlHeartbeat struct {
	incarnation uint64
	leaving     bool
	reports     []heartbeat.Report
	versions    []byte
}

func (h *controlHeartbeat) encode() []byte {
	var b []byte
	b = proto.Uint(b, 1, h.incarnation)
	b = proto.Bool(b, 8, h.leaving)
	for _, r := range h.reports {
		b = proto.Message(b, 10, r.Encode())
	}
	return proto.Bytes(b, 11, h.versions)
}

func decodeHeartbeat(b []byte) (h controlHeartbeat, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			h.incarnation = f.Uint
		case 8:
			h.leaving = f.Uint != 0
		case 10:
			r, err := heartbeat.DecodeReport(f.Data)
			h.reports = append(h.reports, r)
			return err
		case 11:
			h.versions = f.Copy()
		}
		return nil
	})
	return h, err
}
