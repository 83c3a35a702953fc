package membership

import (
	"strings"
	"testing"

	"chutechute/internal/golden"
)

func TestWireFormat(t *testing.T) {
	recodeHeartbeat := func(b []byte) ([]byte, error) {
		h, err := decodeHeartbeat(b)
		return h.encode(), err
	}
	recodeView := func(b []byte) ([]byte, error) {
		m, err := decodeViewMessage(b)
		return m.encode(), err
	}
	recodeChanges := func(b []byte) ([]byte, error) {
		list, err := decodeChanges(&clockOffset{}, b, 10)
		return encodeChanges(list), err
	}
	recodePull := func(b []byte) ([]byte, error) {
		p, err := decodePullMessage(b)
		return p.encode(), err
	}
	recodeTable := func(b []byte) ([]byte, error) {
		m, err := decodeTableMessage(b, 10)
		return m.encode(), err
	}
	recodeVersions := func(b []byte) ([]byte, error) {
		sent, list, err := decodeVersions(b, 10)
		return encodeVersions(sent, list), err
	}
	sums := make([]uint32, bucketCount)
	for i := range sums {
		sums[i] = uint32(i) * 0x01020304
	}
	changes := []change{
		{Entry: Entry{Name: "front-1", Zone: "a", Role: Attached, Incarnation: 1 << 61, State: Suspect, Home: "n1"}, challengedAt: 12_345_000},
		{Entry: Entry{Name: "front-2", Zone: "b", Role: Attached, Incarnation: 300, State: Left, Home: "n2"}, challengedAt: -7_000},
		{Entry: Entry{Name: "front-3"}, removed: true},
		{Entry: Entry{Name: "n1", Role: Control, Incarnation: 5, Home: "n1"}},
	}
	view := viewMessage{epoch: 1 << 60, sequence: 4711, digest: 1<<63 + 9, isAnswer: true, heartbeatSentAt: 55_000_000, leaving: true, needsBucketDigests: true,
		content: fullBuckets, baseSequence: 4700, bucketMask: 1 << 63, compressed: true, entries: []byte("packed entries"), sentAt: -123_456}
	table := tableMessage{tableVersion: tableVersion{home: "n1", epoch: 1 << 60, sequence: 12, digest: 1 << 63}, full: true, baseSequence: 3, sentAt: -99,
		entries: []tableEntry{
			{name: "front-1", zone: "a", incarnation: 9, state: Dead, servesView: true, challengedAt: 1_000_001, supersededIncarnations: []uint64{3, 1 << 61}},
			{name: "front-2", removed: true},
			{name: "front-3", incarnation: 300, challengedAt: -5},
		}}
	packed, isPacked := (&compressor{}).compress([]byte(strings.Repeat("front-17 in zone a, ", 40)))
	if !isPacked {
		t.Fatal("not packed")
	}
	golden.Messages(t, "testdata/messages.txt", []golden.Message{
		{Name: "heartbeat", Encoded: (&heartbeat{name: "front-1", sentAt: 77_000_000, leaving: true, subscribe: true, resume: true, epoch: 1 << 60,
			sequence: 4711, digest: 1 << 63, bucketDigests: sums}).encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-empty", Encoded: (&heartbeat{}).encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-usual", Encoded: (&heartbeat{name: "front-1", sentAt: 5, subscribe: true, epoch: 3, sequence: 128, digest: 1}).encode(),
			Recode: recodeHeartbeat},
		{Name: "view", Encoded: view.encode(), Recode: recodeView},
		{Name: "view-empty", Encoded: (&viewMessage{}).encode(), Recode: recodeView},
		{Name: "view-changes", Encoded: (&viewMessage{epoch: 1, sequence: 2, digest: 3, content: changesSince, baseSequence: 1,
			entries: encodeChanges(changes), sentAt: 1}).encode(), Recode: recodeView},
		{Name: "changes", Encoded: encodeChanges(changes), Recode: recodeChanges},
		{Name: "changes-empty", Encoded: encodeChanges(nil), Recode: recodeChanges},
		{Name: "pull", Encoded: (&pullMessage{"n1", 1 << 60, 12, true}).encode(), Recode: recodePull},
		{Name: "pull-empty", Encoded: (&pullMessage{}).encode(), Recode: recodePull},
		{Name: "table", Encoded: table.encode(), Recode: recodeTable},
		{Name: "table-empty", Encoded: (&tableMessage{}).encode(), Recode: recodeTable},
		{Name: "versions", Encoded: encodeVersions(-4, []tableVersion{{"n1", 1, 2, 3}, {"n2", 1 << 60, 1 << 40, 1 << 63}, {}}), Recode: recodeVersions},
		{Name: "versions-empty", Encoded: encodeVersions(0, nil), Recode: recodeVersions},
		{Name: "packed", Encoded: packed, Recode: func(b []byte) ([]byte, error) {
			text, err := (&decompressor{}).decompress(b, 1<<16)
			again, _ := (&compressor{}).compress(text)
			return again, err
		}},
	})
}
