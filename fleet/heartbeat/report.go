package heartbeat

import (
	"chutechute/internal/monotime"
	"chutechute/internal/proto"
)

// mostAge bounds the age in a report that was read, so that sums of it don't overflow.
const mostAge = 1 << 62

// Encode gives the report's bytes.
func (r Report) Encode() []byte {
	b := proto.String(nil, 1, r.Name)
	b = proto.Uint(b, 2, r.Incarnation)
	return proto.Uint(b, 3, uint64(max(0, r.Age)))
}

// DecodeReport reads one.
func DecodeReport(b []byte) (r Report, err error) {
	err = proto.Each(b, func(f proto.Field) error {
		switch f.Number {
		case 1:
			r.Name = f.Text()
		case 2:
			r.Incarnation = f.Uint
		case 3:
			r.Age = monotime.Micros(min(f.Uint, mostAge))
		}
		return nil
	})
	return r, err
}
