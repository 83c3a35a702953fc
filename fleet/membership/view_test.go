package membership

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
)

// reportedChange returns the change that a home's report of a front end causes.
func reportedChange(name string, incarnation uint64, state State, challengedAt monotime.Micros) []change {
	e := Entry{Name: name, Role: Attached, Incarnation: incarnation, State: state, Home: "m0"}
	return []change{{Entry: e, challengedAt: challengedAt}}
}

// If a home that missed the later process of a name reports the earlier one, that is stored as reported and shown as
// Dead.
func TestReportedEarlierProcessIsShownDead(t *testing.T) {
	for _, homeBetween := range []string{"", "a home that lacks both"} {
		v := newView()
		v.apply(reportedChange("f", 9, Alive, 100*second), fromHomeChanges)
		if homeBetween != "" {
			v.apply([]change{{Entry: Entry{Name: "f"}, removed: true}}, fromHomeBuckets)
			require.False(t, v.PresumedDead(9), "a home that lacks the process may only have missed it")
		}
		v.apply(reportedChange("f", 5, Alive, 50*second), fromHomeBuckets)
		e, _ := v.Lookup("f")
		require.Equal(t, uint64(5), e.Incarnation)
		require.Equal(t, Dead, e.State)
		require.Equal(t, Dead, v.Entries()[0].State)
		require.False(t, v.Alive(5))
		require.True(t, v.PresumedDead(5))
		require.True(t, v.Superseded(5))
		require.False(t, v.PresumedDead(9))
		v.apply(reportedChange("f", 9, Alive, 101*second), fromHomeChanges)
		require.True(t, v.Alive(9), "the home reports the later process")
		require.True(t, v.Superseded(5))
	}
}

// The process of an entry that the home removed is presumed dead until it is reported again.
func TestRemovedEntryIsPresumedDeadUntilReportedAgain(t *testing.T) {
	v := newView()
	v.apply(reportedChange("f", 9, Dead, 100*second), fromHomeChanges)
	v.apply([]change{{Entry: Entry{Name: "f"}, removed: true}}, fromHomeChanges)
	require.Zero(t, v.Len())
	require.Zero(t, v.Digest())
	require.True(t, v.PresumedDead(9))
	require.False(t, v.Superseded(9))
	v.apply(reportedChange("f", 9, Alive, 100*second), fromHomeChanges)
	require.True(t, v.Alive(9))
	require.False(t, v.PresumedDead(9))
}

// If a home continues to report a process as Alive that this view has as superseded, its report is accepted after
// conflictTimeout, and not before.
func TestConflictWithTheHomeEndsAfterATimeout(t *testing.T) {
	p := newServerAndClient(t, 3)
	e, _ := p.client.View().Lookup("o0001")
	p.client.view.superseded.add(e.Incarnation)
	p.client.view.hasConflict = true
	p.run(conflictTimeout - 2*second)
	require.False(t, p.client.View().Alive(e.Incarnation))
	p.run(5 * second)
	require.True(t, p.client.View().Alive(e.Incarnation))
	require.False(t, p.client.View().hasConflict)
}

// An incarnationSet is bounded, and drops the oldest incarnation first. The entries that a home lacks are bounded too.
func TestIncarnationSetIsBounded(t *testing.T) {
	var set incarnationSet
	for i := range uint64(maxIncarnations + 100) {
		set.add(i + 1)
		set.add(i + 1)
	}
	require.Len(t, set.ring, maxIncarnations)
	require.Len(t, set.indexes, maxIncarnations)
	require.False(t, set.contains(100))
	require.True(t, set.contains(101))
	set.remove(101)
	require.False(t, set.contains(101))
	for i := range uint64(maxIncarnations) {
		set.add(1_000_000 + i)
	}
	require.Len(t, set.indexes, maxIncarnations)
	require.False(t, set.contains(0))

	v := newView()
	for i := range maxMissingAtHome + 10 {
		v.apply(reportedChange(fmt.Sprint(i), uint64(i+1), Alive, second), fromHomeChanges)
		v.apply([]change{{Entry: Entry{Name: fmt.Sprint(i)}, removed: true}}, fromHomeBuckets)
	}
	require.LessOrEqual(t, len(v.missingAtHome), maxMissingAtHome)
}

// The change log is bounded by its number of names, and has no changes since a sequence that is too old or not yet
// reached.
func TestChangeLogIsBounded(t *testing.T) {
	var l changeLog
	for i := range 100 {
		l.add(make([]string, 1000), uint64(i))
	}
	require.LessOrEqual(t, l.nameCount, maxLogNames)
	require.Equal(t, len(l.batches)*1000, l.nameCount)
	_, ok := l.changedSince(50)
	require.False(t, ok)
	digest, ok := l.digestAt(l.baseSequence)
	require.True(t, ok)
	require.Equal(t, l.baseSequence-1, digest)
	_, ok = l.changedSince(101)
	require.False(t, ok, "that sequence has not been reached")
}

// The message with the least delay determines the offset of two clocks. Observations older than two windows do not
// count, as clocks drift.
func TestClockOffsetIsTheLeastDifference(t *testing.T) {
	var o clockOffset
	o.observe(1000*second, 100*second-300*ms)
	o.observe(1001*second, 101*second-5*ms)
	o.observe(1002*second, 102*second-800*ms)
	require.Equal(t, 950*second+5*ms, o.toLocal(50*second))
	for i := monotime.Micros(3); i < 200; i++ {
		o.observe((1000+i)*second, (100+i)*second-20*ms)
	}
	require.Equal(t, 950*second+20*ms, o.toLocal(50*second))
	var own *clockOffset
	require.Equal(t, second, own.toLocal(second))
}

// A rate limit allows a burst, and then one event in each interval.
func TestRateLimitAllowsABurstThenOneAnInterval(t *testing.T) {
	var due monotime.Micros
	allowed := 0
	for now := monotime.Micros(0); now < 60*second; now += 100 * ms {
		if (rateLimit{10 * second, 6}).allow(now, &due) {
			allowed++
		}
	}
	require.Equal(t, 11, allowed)
	require.True(t, (rateLimit{10 * second, 6}).allow(200*second, &due))
}

// Data that would decompress to more than the limit is not decompressed beyond it.
func TestDecompressionIsBounded(t *testing.T) {
	bomb, compressed := (&compressor{}).compress(make([]byte, 64<<20))
	require.True(t, compressed)
	var d decompressor
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := d.decompress(bomb, 1<<20)
	runtime.ReadMemStats(&after)
	require.ErrorIs(t, err, ErrTooManyEntries)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20))
}
