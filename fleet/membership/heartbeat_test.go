package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// benchmarkHeartbeats returns a heartbeat at rest and one that requests a repair.
func benchmarkHeartbeats() map[string]*heartbeat {
	atRest := heartbeat{
		name: "front-17-042", sentAt: 77_000_000, subscribe: true, epoch: 1 << 60, sequence: 4711, digest: 1 << 63,
	}
	repair := atRest
	repair.bucketDigests = make([]uint32, bucketCount)
	for i := range repair.bucketDigests {
		repair.bucketDigests[i] = uint32(i) * 0x01020304
	}
	return map[string]*heartbeat{"at rest": &atRest, "repair": &repair}
}

func BenchmarkHeartbeatEncode(b *testing.B) {
	for name, h := range benchmarkHeartbeats() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h.encode()
			}
		})
	}
}

func BenchmarkHeartbeatDecode(b *testing.B) {
	for name, h := range benchmarkHeartbeats() {
		b.Run(name, func(b *testing.B) {
			encoded := h.encode()
			b.ReportAllocs()
			for b.Loop() {
				_, err := decodeHeartbeat(encoded)
				require.NoError(b, err)
			}
		})
	}
}

// benchmarkAnswer returns the answer to a heartbeat at rest.
func benchmarkAnswer() viewMessage {
	return viewMessage{
		epoch: 1 << 60, sequence: 4711, digest: 1 << 63,
		isAnswer: true, heartbeatSentAt: 77_000_000, sentAt: 78_000_000,
	}
}

func BenchmarkAnswerEncode(b *testing.B) {
	m := benchmarkAnswer()
	b.ReportAllocs()
	for b.Loop() {
		m.encode()
	}
}

func BenchmarkAnswerDecode(b *testing.B) {
	m := benchmarkAnswer()
	encoded := m.encode()
	b.ReportAllocs()
	for b.Loop() {
		_, err := decodeViewMessage(encoded)
		require.NoError(b, err)
	}
}

// BenchmarkVersionsEncode measures the encoding of a table's version, which goes into each heartbeat between control
// members.
func BenchmarkVersionsEncode(b *testing.B) {
	versions := []tableVersion{{"front-control-01", 1 << 60, 12, 1 << 63}}
	b.ReportAllocs()
	for b.Loop() {
		encodeVersions(77_000_000, versions)
	}
}

func BenchmarkVersionsDecode(b *testing.B) {
	encoded := encodeVersions(77_000_000, []tableVersion{{"front-control-01", 1 << 60, 12, 1 << 63}})
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := decodeVersions(encoded, 53)
		require.NoError(b, err)
	}
}
