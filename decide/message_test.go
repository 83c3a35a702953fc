package decide

import (
	"reflect"
	"testing"
)

// A ledger comes back as it was told, also where it needs several messages.
func TestLedgerRoundTrip(t *testing.T) {
	for _, engines := range []int{0, 3, 200} {
		l := newLedger(2)
		l.classes[0] = tally{waits: 700, count: 3, latency: 1.5e6, estimate: 3}
		l.classes[1] = tally{waits: 1}
		for i := range engines {
			l.threads[uint16(i*311)] = i%250 + 1
		}
		var got *ledger
		x := exchange{}
		bodies := l.encode(kindSum, 9)
		for i, body := range bodies {
			if len(body) > messageMost {
				t.Fatalf("a message of %d bytes", len(body))
			}
			got = x.take(body, 9, 2)
			if last := i == len(bodies)-1; (got != nil) != last {
				t.Fatalf("%d engines, message %d of %d: complete %v", engines, i+1, len(bodies), got != nil)
			}
		}
		if !reflect.DeepEqual(got, l) {
			t.Errorf("%d engines: got %+v, want %+v", engines, got, l)
		}
	}
}

// Garbled, foreign, oversized and stale messages are ignored.
func TestBadMessages(t *testing.T) {
	good := newLedger(1).encode(kindSum, 9)[0]
	foreign := append([]byte{messageForm + 1}, good[1:]...)
	for name, body := range map[string][]byte{"empty": nil, "short": good[:5], "foreign form": foreign,
		"cut entry": append(append([]byte{}, good...), 1), "oversized": make([]byte, 300), "text": []byte("hello, gateway")} {
		if got := (&exchange{}).take(body, 9, 1); got != nil {
			t.Errorf("%s: taken for %+v", name, got)
		}
	}
	if got := (&exchange{}).take(good, 8, 1); got != nil {
		t.Errorf("another slot's: taken for %+v", got)
	}
	if got := (&exchange{}).take(good, 9, 1); got == nil {
		t.Error("a good one is not taken")
	}
	nan := newLedger(1)
	nan.classes[0] = tally{count: 1, latency: -1, estimate: 1}
	if got := (&exchange{}).take(nan.encode(kindSum, 9)[0], 9, 1); got == nil || got.classes[0].count != 0 {
		t.Errorf("a measure below zero counts: %+v", got)
	}
}
