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
		m, err := decodeView(b)
		return m.encode(), err
	}
	recodeChanges := func(b []byte) ([]byte, error) {
		list, err := decodeChanges(&offset{}, b, 10)
		return encodeChanges(list), err
	}
	recodePull := func(b []byte) ([]byte, error) {
		p, err := decodePull(b)
		return p.encode(), err
	}
	recodeTable := func(b []byte) ([]byte, error) {
		m, err := decodeTable(b, 10)
		return m.encode(), err
	}
	recodeVersions := func(b []byte) ([]byte, error) {
		sent, list, err := decodeVersions(b, 10)
		return encodeVersions(sent, list), err
	}
	sums := make([]uint32, buckets)
	for i := range sums {
		sums[i] = uint32(i) * 0x01020304
	}
	changes := []change{
		{Entry: Entry{Name: "front-1", Zone: "a", Role: Attached, Incarnation: 1 << 61, State: Suspect, Home: "n1"}, challenged: 12_345_000},
		{Entry: Entry{Name: "front-2", Zone: "b", Role: Attached, Incarnation: 300, State: Left, Home: "n2"}, challenged: -7_000},
		{Entry: Entry{Name: "front-3"}, removed: true},
		{Entry: Entry{Name: "n1", Role: Control, Incarnation: 5, Home: "n1"}},
	}
	view := viewMessage{epoch: 1 << 60, sequence: 4711, digest: 1<<63 + 9, answers: true, echo: 55_000_000, leaving: true, unknown: true,
		content: someBuckets, base: 4700, mask: 1 << 63, packed: true, entries: []byte("packed entries"), sent: -123_456}
	table := tableMessage{version: version{home: "n1", epoch: 1 << 60, sequence: 12, sum: 1 << 63}, whole: true, base: 3, sent: -99,
		rows: []row{
			{name: "front-1", zone: "a", incarnation: 9, state: Dead, serves: true, challenged: 1_000_001, past: []uint64{3, 1 << 61}},
			{name: "front-2", removed: true},
			{name: "front-3", incarnation: 300, challenged: -5},
		}}
	packed, isPacked := (&packer{}).pack([]byte(strings.Repeat("front-17 in zone a, ", 40)))
	if !isPacked {
		t.Fatal("not packed")
	}
	golden.Messages(t, "testdata/messages.txt", []golden.Message{
		{Name: "heartbeat", Encoded: (&heartbeat{name: "front-1", sent: 77_000_000, leaving: true, subscribe: true, resume: true, epoch: 1 << 60,
			sequence: 4711, digest: 1 << 63, sums: sums}).encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-empty", Encoded: (&heartbeat{}).encode(), Recode: recodeHeartbeat},
		{Name: "heartbeat-usual", Encoded: (&heartbeat{name: "front-1", sent: 5, subscribe: true, epoch: 3, sequence: 128, digest: 1}).encode(),
			Recode: recodeHeartbeat},
		{Name: "view", Encoded: view.encode(), Recode: recodeView},
		{Name: "view-empty", Encoded: (&viewMessage{}).encode(), Recode: recodeView},
		{Name: "view-changes", Encoded: (&viewMessage{epoch: 1, sequence: 2, digest: 3, content: someChanges, base: 1,
			entries: encodeChanges(changes), sent: 1}).encode(), Recode: recodeView},
		{Name: "changes", Encoded: encodeChanges(changes), Recode: recodeChanges},
		{Name: "changes-empty", Encoded: encodeChanges(nil), Recode: recodeChanges},
		{Name: "pull", Encoded: (&pullMessage{"n1", 1 << 60, 12, true}).encode(), Recode: recodePull},
		{Name: "pull-empty", Encoded: (&pullMessage{}).encode(), Recode: recodePull},
		{Name: "table", Encoded: table.encode(), Recode: recodeTable},
		{Name: "table-empty", Encoded: (&tableMessage{}).encode(), Recode: recodeTable},
		{Name: "versions", Encoded: encodeVersions(-4, []version{{"n1", 1, 2, 3}, {"n2", 1 << 60, 1 << 40, 1 << 63}, {}}), Recode: recodeVersions},
		{Name: "versions-empty", Encoded: encodeVersions(0, nil), Recode: recodeVersions},
		{Name: "packed", Encoded: packed, Recode: func(b []byte) ([]byte, error) {
			text, err := (&unpacker{}).unpack(b, 1<<16)
			again, _ := (&packer{}).pack(text)
			return again, err
		}},
	})
}
