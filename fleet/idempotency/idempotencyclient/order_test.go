package idempotencyclient_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/idempotency"
)

// applyOther commits a command of the other front end.
func (f *frontEnd) applyOther(command idempotency.Command) (response idempotency.Response) {
	command.OrderKey, command.Class, command.ClientTimeout = orderKey, "load", uint64(clientTimeout)
	response, err := idempotency.DecodeResponse(f.apply(other, command.Encode()))
	require.NoError(f.t, err)
	return response
}

// The failure: the registry has removed the records of unstarted loads, because their front end was presumed dead, and
// they run in the order in which their messages happen to arrive afterwards, not in that in which it received them.
func TestForgottenLoadsKeepTheirOrder(t *testing.T) {
	for name, test := range map[string]struct {
		forgotten func(n int) bool // of two loads that were registered before, in order
		order     []int            // of the commands after it: polls of the two loads, then the Register of a third
	}{
		"in order":           {func(int) bool { return true }, []int{0, 0, 0}},
		"newest first":       {func(int) bool { return true }, []int{2, 1, 0}},
		"second first":       {func(int) bool { return true }, []int{1, 0, 0}},
		"only first removed": {func(n int) bool { return n == 0 }, []int{0, 0, 0}},
		"only second":        {func(n int) bool { return n == 1 }, []int{2, 1, 0}},
		"none removed":       {func(int) bool { return false }, []int{2, 1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFrontEnd(t)
			blocker := f.applyOther(idempotency.Command{Op: idempotency.Register, IdempotencyKey: "blocker"})
			f.submit()
			f.commitAll()
			f.submit()
			f.commitAll()
			f.advance(pollInterval)
			f.submit()
			require.Len(t, f.proposals, 3, "two polls and a Register")
			n := -1
			f.forget(func() bool { n++; return test.forgotten(n) })
			for _, i := range test.order {
				f.commit(i, false)
			}
			f.applyOther(idempotency.Command{
				Op: idempotency.AuthorizeAttempt, IdempotencyKey: "blocker", Epoch: blocker.Epoch,
			})
			f.applyOther(idempotency.Command{
				Op: idempotency.Complete, IdempotencyKey: "blocker", Epoch: blocker.Epoch, Outcome: idempotency.Served,
			})
			f.requireServedOnce()
		})
	}
}

// The same with commands that are committed late, twice and in any order, with records that are removed at any time,
// and with loads of another front end between them.
func TestLoadsOfAKeyRunInOrderWhateverTheRegistryForgets(t *testing.T) {
	for seed := range uint64(400) {
		f := newFrontEnd(t)
		rng := rand.New(rand.NewPCG(seed, 5))
		oneIn := func(n int) bool { return rng.IntN(n) == 0 }
		var foreign []string // unfinished loads of the other front end
		var epochs []uint64
		for step := range 400 {
			switch n := rng.IntN(20); {
			case n < 2 && len(f.loads) < 12:
				f.submit()
			case n < 3 && step < 200:
				key := fmt.Sprintf("foreign-%d", step)
				response := f.applyOther(idempotency.Command{Op: idempotency.Register, IdempotencyKey: key})
				foreign, epochs = append(foreign, key), append(epochs, response.Epoch)
			case n < 5 && len(foreign) > 0:
				f.applyOther(idempotency.Command{
					Op: idempotency.Complete, IdempotencyKey: foreign[0], Epoch: epochs[0], Outcome: idempotency.Served,
				})
				foreign, epochs = foreign[1:], epochs[1:]
			case n < 6:
				f.forget(func() bool { return oneIn(2) })
			case n < 8:
				f.forget(func() bool { return oneIn(8) })
			case n < 14 && len(f.proposals) > 0:
				f.commit(rng.IntN(len(f.proposals)), oneIn(3))
			case n < 16 && len(f.inFlight) > 0:
				f.end()
			default:
				f.advance(rng.Int64N(pollInterval))
			}
		}
		for i, key := range foreign {
			f.applyOther(idempotency.Command{
				Op: idempotency.Complete, IdempotencyKey: key, Epoch: epochs[i], Outcome: idempotency.Served,
			})
		}
		f.requireServedOnce()
		require.False(t, t.Failed(), "seed %d", seed)
	}
}

// The failure: a load starts once the outcome of the one before it of the key is on record, although that one's client
// has not got its answer, as the response with the outcome was lost.
func TestNextLoadOfAKeyWaitsForTheAnswerToTheOneBefore(t *testing.T) {
	f := newFrontEnd(t)
	f.submit()
	f.submit()
	f.commitAll()
	f.end()
	require.Len(t, f.proposals, 1, "the Complete")
	f.commit(0, true)
	for range 4 {
		f.advance(pollInterval)
		for n := len(f.proposals) - 1; n > 0; n-- {
			f.commit(n, false)
		}
	}
	f.requireServedOnce()
}

// A repeat of another front end's load, which lost its place there to a load that was received here later, does not
// block that one: neither would ever run.
func TestRepeatOfALoadThatLostItsPlaceElsewhereDoesNotBlockTheKey(t *testing.T) {
	f := newFrontEnd(t)
	blocker := f.applyOther(idempotency.Command{Op: idempotency.Register, IdempotencyKey: "blocker"})
	repeat := f.submit()
	f.commitAll()
	repeat.runsElsewhere = true
	later := f.submit()
	f.commitAll()
	n := -1
	f.forget(func() bool { n++; return n == 0 })
	digest := sha256.Sum256([]byte(statement))
	elsewhere := idempotency.Command{
		Op: idempotency.Register, IdempotencyKey: "dedupe-" + repeat.id, StatementDigest: digest[:16],
	}
	elsewhere.Epoch = f.applyOther(elsewhere).Epoch
	f.applyOther(idempotency.Command{
		Op: idempotency.Complete, IdempotencyKey: "blocker", Epoch: blocker.Epoch, Outcome: idempotency.Served,
	})
	for range 4 {
		f.advance(pollInterval)
		f.commitAll()
	}
	require.Len(t, later.attempts, 1)
	f.end()
	f.commitAll()
	elsewhere.Op, elsewhere.Outcome = idempotency.Complete, idempotency.Served
	f.applyOther(elsewhere)
	f.commitAll()
	require.Equal(t, "served", repeat.answer)
	require.Equal(t, "served", later.answer)
	require.Empty(t, repeat.attempts)
}
