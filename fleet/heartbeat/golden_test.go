package heartbeat

import (
	"testing"

	"chutechute/internal/golden"
)

func TestWireFormatOfReports(t *testing.T) {
	recode := func(b []byte) ([]byte, error) {
		r, err := DecodeReport(b)
		return r.Encode(), err
	}
	golden.Messages(t, "testdata/messages.txt", []golden.Message{
		{Name: "report", Encoded: Report{Name: "n1", Incarnation: 1<<61 + 7, Age: 123456}.Encode(), Recode: recode},
		{Name: "report-empty", Encoded: Report{}.Encode(), Recode: recode},
		{Name: "report-oldest", Encoded: Report{Name: "n2", Incarnation: 1, Age: maxAge}.Encode(), Recode: recode},
		{Name: "report-negative-age", Encoded: Report{Name: "n2", Age: -5}.Encode(), Recode: recode},
	})
}
