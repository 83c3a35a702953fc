package exercise_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/exercise"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/gateway"
	"chutechute/internal/history"
	"chutechute/internal/monotime"
)

// answers changes what a kind answers: the state stays right, and what is told is wrong.
type answers struct {
	replication.StateMachine
	change func(asker replication.Incarnation, c *idempotency.Command, v *idempotency.Response)
}

func (a answers) Apply(at replication.ApplyContext, asker replication.Incarnation, body []byte) []byte {
	out := a.StateMachine.Apply(at, asker, body)
	c, err := idempotency.DecodeCommand(body)
	v, err2 := idempotency.DecodeResponse(out)
	if err != nil || err2 != nil || len(out) == 0 {
		return out
	}
	a.change(asker, c, &v)
	return v.Encode()
}

func telling(change func(asker replication.Incarnation, c *idempotency.Command, v *idempotency.Response)) *exercise.Variant {
	return &exercise.Variant{Kind: func(k replication.StateMachine) replication.StateMachine { return answers{k, change} }}
}

// unguarded has engines that drop no repeats.
func unguarded(v *exercise.Variant) *exercise.Variant {
	v.NoWindow = true
	return v
}

// The engines' window for repeats is a guard, on which nothing rests here: without it the histories break no rule either.
func TestNothingRestsOnTheWindow(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		_, breaches := play(t, seed, &exercise.Variant{NoWindow: true})
		assert.Empty(t, breaches, "seed %d", seed)
	}
}

// hasty has loads lapse long before their time.
type hasty struct{ replication.StateMachine }

func (h hasty) DueCommands(now monotime.Micros, seen replication.FailureDetector) [][]byte {
	return h.StateMachine.DueCommands(now+60*second, seen)
}

// bold begins attempts without asking; blunt tells rows before they are kept.
type bold struct{ gateway.IdempotencyStore }

func (b bold) Authorize(now monotime.Micros, _ *gateway.Registration, _ int, _ string, granted func(monotime.Micros, bool)) {
	granted(now, true)
}

type blunt struct{ gateway.IdempotencyStore }

func (b blunt) Commit(now monotime.Micros, e *gateway.Registration, rows []byte) {
	b.IdempotencyStore.Commit(now, e, rows)
	e.Finish(now, true, rows)
}

// Each broken variant breaks a rule that the checks see, within a few histories; what they see is the rule meant.
func TestChecksSeeBrokenVariants(t *testing.T) {
	for _, m := range []struct {
		name    string
		variant *exercise.Variant
		sees    string
	}{
		{"begins without a committed start", &exercise.Variant{Record: func(r gateway.IdempotencyStore) gateway.IdempotencyStore { return bold{r} }}, ""},
		{"tells rows before they are kept", &exercise.Variant{Record: func(r gateway.IdempotencyStore) gateway.IdempotencyStore { return blunt{r} }}, ""},
		{"grants a start out of turn", telling(func(_ replication.Incarnation, c *idempotency.Command, v *idempotency.Response) {
			if c.Op == idempotency.Register {
				v.FirstOfKey = true
			}
			if c.Op == idempotency.AuthorizeAttempt && v.Status == idempotency.Blocked {
				v.Status = idempotency.OK
			}
		}), "two loads of a key at once"},
		{"lets the old owner of an offered load start once more", unguarded(telling(func(asker replication.Incarnation, c *idempotency.Command, v *idempotency.Response) {
			if c.Op == idempotency.AuthorizeAttempt && v.Phase == idempotency.Started && v.Owner != uint64(asker) {
				v.Status = idempotency.OK
			}
		})), ""},
		{"lets a started load be adopted", unguarded(telling(func(asker replication.Incarnation, c *idempotency.Command, v *idempotency.Response) {
			if v.Phase == idempotency.Started && v.Owner != uint64(asker) && (c.Op == idempotency.Register || c.Op == idempotency.AuthorizeAttempt) {
				v.Phase, v.Owner, v.Status, v.FirstOfKey, v.OwnerRequestID = idempotency.Waiting, uint64(asker), idempotency.OK, true, c.RequestID
			}
		})), ""},
		{"takes no care of how old the record's word is", &exercise.Variant{NoUntil: true}, ""},
		{"fails at once what its engine does not know of a lost owner's", &exercise.Variant{HastySuccessor: true}, ""},
		{"lets the first of a line go too early", &exercise.Variant{Kind: func(k replication.StateMachine) replication.StateMachine { return hasty{k} }}, ""},
		{"votes under the name of a lost disk", &exercise.Variant{SameNumber: true}, ""},
		{"tells of a write before it is there", &exercise.Variant{EarlyWord: true}, ""},
	} {
		t.Run(m.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 40; seed++ {
				var breaches []history.Breach
				t.Run("", func(t *testing.T) {
					_, breaches = play(t, seed, m.variant)
				})
				for _, b := range breaches {
					if m.sees == "" || b.Rule == m.sees {
						t.Logf("seen at seed %d: %s", seed, b.Rule)
						return
					}
				}
			}
			assert.Fail(t, "nothing was seen")
		})
	}
}
