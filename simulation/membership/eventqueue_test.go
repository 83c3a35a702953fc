package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Events are popped in the order of their times, and events at the same time in the order in which they were scheduled.
func TestEventQueueOrdersByTimeThenSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.Int64Range(0, 20), 1, 200).Draw(t, "times")
		var queue eventQueue
		for i, at := range times {
			queue.push(event{at: at, sequence: uint64(i)})
			if rapid.Bool().Draw(t, "pop") {
				first := queue.pop()
				for i := range queue {
					require.True(t, first.before(&queue[i]))
				}
			}
		}
		var last event
		for len(queue) > 0 {
			next := queue.pop()
			require.True(t, last.before(&next) || last.sequence == 0 && last.at == 0)
			last = next
		}
	})
}
