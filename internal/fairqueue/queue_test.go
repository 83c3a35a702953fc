package fairqueue

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// drain removes all entries and returns their values in the order in which they left.
func drain(q *Queue[int]) (values []int) {
	for {
		value, ok := q.Next()
		if !ok {
			return values
		}
		values = append(values, value)
	}
}

// A flow with much queued does not delay an entry of another flow: that one leaves as soon as the entry being served.
func TestBusyFlowDoesNotDelayOthers(t *testing.T) {
	q, busy, other := Queue[int]{}, Flow{}, Flow{}
	for n := range 100 {
		q.Add(&busy, 1000, "", n)
	}
	q.Next()
	q.Add(&other, 10, "", -1)
	next, _ := q.Next()
	assert.Equal(t, -1, next)
}

// Flows share the server by cost, not by number of entries.
func TestFlowsShareByCost(t *testing.T) {
	q, costly, cheap := Queue[int]{}, Flow{}, Flow{}
	for range 10 {
		q.Add(&costly, 100, "", 100)
	}
	for range 100 {
		q.Add(&cheap, 10, "", 10)
	}
	served := map[int]int{}
	for range 55 {
		cost, _ := q.Next()
		served[cost] += cost
	}
	assert.InDelta(t, served[100], served[10], 100)
}

// Guards against an overtaken order key: the entry added first is behind a backlog of its flow, and the flow of the
// second has none.
func TestOrderKeyHoldsAcrossFlows(t *testing.T) {
	q, first, second := Queue[int]{}, Flow{}, Flow{}
	for range 5 {
		q.Add(&first, 1000, "", 0)
	}
	q.Add(&first, 10, "k", 1)
	q.Add(&second, 10, "k", 2)
	q.Add(&second, 10, "", 3)
	assert.Equal(t, []int{0, 0, 0, 0, 0, 1, 2, 3}, drain(&q))
	assert.Empty(t, q.keyOrders)
}

// However entries are added, removed and served, those of one flow and those of one order key leave in the order of
// their addition, each entry leaves once, and no state of order keys is left.
func TestOrderOfRandomSequences(t *testing.T) {
	type added struct {
		flow  int
		key   string
		entry *Entry[int]
	}
	rapid.Check(t, func(t *rapid.T) {
		q, flows, all := Queue[int]{}, make([]Flow, 4), []added{}
		lastOfFlow, lastOfKey, left := map[int]int{}, map[string]int{}, map[int]bool{}
		serve := func() {
			number, ok := q.Next()
			if !ok {
				return
			}
			a := all[number-1]
			assert.False(t, left[number])
			assert.Greater(t, number, lastOfFlow[a.flow])
			if a.key != "" {
				assert.Greater(t, number, lastOfKey[a.key])
			}
			left[number], lastOfFlow[a.flow], lastOfKey[a.key] = true, number, number
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				serve()
			case 1:
				if len(all) > 0 {
					n := rapid.IntRange(1, len(all)).Draw(t, "removed")
					q.Remove(all[n-1].entry)
					left[n] = true
				}
			default:
				flow := rapid.IntRange(0, 3).Draw(t, "flow")
				key := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key")
				cost := rapid.IntRange(1, 1000).Draw(t, "cost")
				all = append(all, added{flow, key, q.Add(&flows[flow], cost, key, len(all)+1)})
			}
		}
		for q.Len() > 0 {
			serve()
		}
		assert.Len(t, left, len(all))
		assert.Empty(t, q.keyOrders)
	})
}
