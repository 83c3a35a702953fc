package membership

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/golden"
)

// The encoded messages are byte for byte those of earlier versions, and decoding and encoding them gives the same
// bytes.
func TestWireFormat(t *testing.T) {
	golden.Messages(t, "testdata/messages.txt", slices.Concat(
		goldenHeartbeats(),
		goldenViews(),
		goldenPulls(),
		goldenTables(),
		goldenVersions(),
		goldenCompressed(t),
	))
}

func goldenHeartbeats() []golden.Message {
	recode := func(b []byte) ([]byte, error) {
		h, err := decodeHeartbeat(b)
		return h.encode(), err
	}
	bucketDigests := make([]uint32, bucketCount)
	for i := range bucketDigests {
		bucketDigests[i] = uint32(i) * 0x01020304
	}
	all := heartbeat{
		name: "front-1", sentAt: 77_000_000, leaving: true, subscribe: true, resume: true,
		epoch: 1 << 60, sequence: 4711, digest: 1 << 63, bucketDigests: bucketDigests,
	}
	usual := heartbeat{name: "front-1", sentAt: 5, subscribe: true, epoch: 3, sequence: 128, digest: 1}
	return []golden.Message{
		{Name: "heartbeat", Encoded: all.encode(), Recode: recode},
		{Name: "heartbeat-empty", Encoded: (&heartbeat{}).encode(), Recode: recode},
		{Name: "heartbeat-usual", Encoded: usual.encode(), Recode: recode},
	}
}

func goldenViews() []golden.Message {
	recode := func(b []byte) ([]byte, error) {
		m, err := decodeViewMessage(b)
		return m.encode(), err
	}
	recodeChanges := func(b []byte) ([]byte, error) {
		list, err := decodeChanges(&clockOffset{}, b, 10)
		return encodeChanges(list), err
	}
	entry := Entry{Name: "front-1", Zone: "a", Role: Attached, Incarnation: 1 << 61, State: Suspect, Home: "n1"}
	entryLeft := Entry{Name: "front-2", Zone: "b", Role: Attached, Incarnation: 300, State: Left, Home: "n2"}
	changes := []change{
		{Entry: entry, challengedAt: 12_345_000},
		{Entry: entryLeft, challengedAt: -7_000},
		{Entry: Entry{Name: "front-3"}, removed: true},
		{Entry: Entry{Name: "n1", Role: Control, Incarnation: 5, Home: "n1"}},
	}
	view := viewMessage{
		epoch: 1 << 60, sequence: 4711, digest: 1<<63 + 9, isAnswer: true, heartbeatSentAt: 55_000_000,
		leaving: true, needsBucketDigests: true, content: fullBuckets, baseSequence: 4700, bucketMask: 1 << 63,
		compressed: true, entries: []byte("packed entries"), sentAt: -123_456,
	}
	viewChanges := viewMessage{
		epoch: 1, sequence: 2, digest: 3, content: changesSince, baseSequence: 1,
		entries: encodeChanges(changes), sentAt: 1,
	}
	return []golden.Message{
		{Name: "view", Encoded: view.encode(), Recode: recode},
		{Name: "view-empty", Encoded: (&viewMessage{}).encode(), Recode: recode},
		{Name: "view-changes", Encoded: viewChanges.encode(), Recode: recode},
		{Name: "changes", Encoded: encodeChanges(changes), Recode: recodeChanges},
		{Name: "changes-empty", Encoded: encodeChanges(nil), Recode: recodeChanges},
	}
}

func goldenPulls() []golden.Message {
	recode := func(b []byte) ([]byte, error) {
		p, err := decodePullMessage(b)
		return p.encode(), err
	}
	return []golden.Message{
		{Name: "pull", Encoded: (&pullMessage{"n1", 1 << 60, 12, true}).encode(), Recode: recode},
		{Name: "pull-empty", Encoded: (&pullMessage{}).encode(), Recode: recode},
	}
}

func goldenTables() []golden.Message {
	recode := func(b []byte) ([]byte, error) {
		m, err := decodeTableMessage(b, 10)
		return m.encode(), err
	}
	dead := tableEntry{
		name: "front-1", zone: "a", incarnation: 9, state: Dead, servesView: true, challengedAt: 1_000_001,
		supersededIncarnations: []uint64{3, 1 << 61},
	}
	table := tableMessage{
		tableVersion: tableVersion{home: "n1", epoch: 1 << 60, sequence: 12, digest: 1 << 63},
		full:         true, baseSequence: 3, sentAt: -99,
		entries: []tableEntry{
			dead,
			{name: "front-2", removed: true},
			{name: "front-3", incarnation: 300, challengedAt: -5},
		},
	}
	return []golden.Message{
		{Name: "table", Encoded: table.encode(), Recode: recode},
		{Name: "table-empty", Encoded: (&tableMessage{}).encode(), Recode: recode},
	}
}

func goldenVersions() []golden.Message {
	recode := func(b []byte) ([]byte, error) {
		sentAt, list, err := decodeVersions(b, 10)
		return encodeVersions(sentAt, list), err
	}
	versions := []tableVersion{{"n1", 1, 2, 3}, {"n2", 1 << 60, 1 << 40, 1 << 63}, {}}
	return []golden.Message{
		{Name: "versions", Encoded: encodeVersions(-4, versions), Recode: recode},
		{Name: "versions-empty", Encoded: encodeVersions(0, nil), Recode: recode},
	}
}

func goldenCompressed(t *testing.T) []golden.Message {
	b, compressed := (&compressor{}).compress([]byte(strings.Repeat("front-17 in zone a, ", 40)))
	require.True(t, compressed)
	recode := func(b []byte) ([]byte, error) {
		text, err := (&decompressor{}).decompress(b, 1<<16)
		again, _ := (&compressor{}).compress(text)
		return again, err
	}
	return []golden.Message{{Name: "packed", Encoded: b, Recode: recode}}
}
