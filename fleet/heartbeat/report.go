package heartbeat

import (
	"google.golang.org/protobuf/encoding/protowire"

	"chutechute/internal/fieldcodec"
	"chutechute/internal/monotime"
)

// Report is how long ago a front end received a heartbeat from another one.
type Report struct {
	Name        string
	Incarnation uint64
	Age         monotime.Micros
}

// maxAge bounds the age in a decoded report, so that sums of ages and times do not overflow.
const maxAge monotime.Micros = 1 << 62

// Fields lists the report's fields, for messages that nest it.
func (r *Report) Fields(f *fieldcodec.Fields) {
	f.String(1, &r.Name)
	fieldcodec.Uint(f, 2, &r.Incarnation)
	fieldcodec.IntUpTo(f, 3, &r.Age, maxAge)
}

// Encode returns the encoded report.
func (r Report) Encode() []byte {
	f := fieldcodec.Encode(nil)
	r.Fields(&f)
	return f.Bytes()
}

// DecodeReport decodes a report. Its error is fieldcodec.ErrMalformed.
func DecodeReport(b []byte) (r Report, err error) {
	f := fieldcodec.Decode(b)
	for f.Next() {
		r.Fields(&f)
	}
	return r, f.Err()
}

// ReportsField encodes or decodes a repeated field of reports. It has the wire format of fieldcodec.Messages, but
// avoids the indirect call of Report.Fields there, which would cost a heap allocation of a fieldcodec.Fields for each
// report of each heartbeat.
func ReportsField(f *fieldcodec.Fields, number protowire.Number, reports *[]Report) {
	if f.Decoding(number) {
		report, err := DecodeReport(f.Data())
		if err != nil {
			f.Fail(err)
		}
		*reports = append(*reports, report)
	}
	if f.Encoding() {
		var buffer []byte // for one encoded report, reused for the next
		for i := range *reports {
			nested := fieldcodec.Encode(buffer[:0])
			(*reports)[i].Fields(&nested)
			buffer = nested.Bytes()
			f.AppendBytes(number, buffer)
		}
	}
}
