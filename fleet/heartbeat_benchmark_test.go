package fleet

import (
	"fmt"
	"testing"

	"chutechute/fleet/heartbeat"
)

// benchmarkHeartbeat returns the heartbeat of a control member in a fleet of 53 control members.
func benchmarkHeartbeat() controlHeartbeat {
	m := controlHeartbeat{
		Incarnation:     1<<61 + 3,
		ReplicaID:       1 << 40,
		Group:           77,
		Leader:          1 << 40,
		Term:            9,
		AppliedIndex:    1234,
		AppliedChecksum: 1<<63 + 1,
		Voter:           true,
		TableVersions:   make([]byte, 100),
	}
	for i := range 52 {
		report := heartbeat.Report{Name: fmt.Sprintf("front-end-%d", i), Incarnation: 1<<61 + uint64(i), Age: 100_000}
		m.Reports = append(m.Reports, report)
	}
	return m
}

func BenchmarkHeartbeatEncode(b *testing.B) {
	b.ReportAllocs()
	m := benchmarkHeartbeat()
	for b.Loop() {
		m.encode()
	}
}

func BenchmarkHeartbeatDecode(b *testing.B) {
	b.ReportAllocs()
	m := benchmarkHeartbeat()
	body := m.encode()
	for b.Loop() {
		if _, err := decodeControlHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}
