package scheduler

import (
	"fmt"
	"testing"

	"chutechute/internal/monotime"
)

// BenchmarkRequest measures how the cost of a query and its outcome grows with the number of engines.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{6, 60} {
		b.Run(fmt.Sprintf("%d engines", n), func(b *testing.B) {
			update := EndpointUpdate{Kind: UpdateComplete}
			for i := range n {
				update.Endpoints = append(update.Endpoints, Endpoint{Engine: fmt.Sprint("e", i), Kind: "k"})
			}
			cfg := testConfig()
			cfg.FrontEnds = 5 * n
			sched, err := New(cfg, 7)
			if err != nil {
				b.Fatal(err)
			}
			sched.Step(0, []Event{update})
			b.ResetTimer()
			for i := range b.N {
				now, id := monotime.Micros(i)*monotime.Second/5, uint64(i)
				r := newRequest(id, 0, now)
				r.TableGroup = i % (2 * n)
				for _, s := range startedAttempts(sched.Step(now, []Event{r})) {
					sched.Step(now+1000, []Event{newOutcome(s.ID, 0, s.Engine, Succeeded, 1000)})
				}
			}
		})
	}
}
