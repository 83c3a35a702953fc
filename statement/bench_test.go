package statement_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/sqltext"
	"chutechute/statement"
	"chutechute/statement/classify"
)

// lookupQuery is a lookup query of about 190 bytes.
const lookupQuery = `SELECT p.seat, p.name, b.tag, f.gate FROM ops_17.passengers p JOIN ops_17.bags b USING (booking)
 JOIN ops_17.flights f ON f.id = p.flight WHERE p.booking = 'X7K2QD' AND f.day >= 20261201 LIMIT 20`

// newReader returns a reader with three classes and rules for them.
func newReader(t testing.TB, cacheBytes int) *statement.Reader {
	r, err := statement.New(statement.Options{CacheBytes: cacheBytes, Classes: []statement.Class{
		{Class: classify.Class{Name: "lookup", Threads: 1}, AssumedCostMS: 100, AssumedMemoryMB: 16},
		{Class: classify.Class{Name: "report", Threads: 3}, AssumedCostMS: 3000, AssumedMemoryMB: 64},
		{
			Class: classify.Class{Name: "load", LocksTables: true, Threads: 2}, Keyed: true,
			AssumedCostMS: 2500, AssumedMemoryMB: 48,
		},
	}, Rules: []classify.Rule{
		{Class: "report", Tables: []string{"stats_*"}},
		{Class: "lookup", Verbs: []string{"select", "values", "table", "show", "explain", "copy"}, CostMS: 1000},
		{Class: "report"},
		{Class: "load"},
	}})
	require.NoError(t, err)
	return r
}

// BenchmarkHit measures reading a statement whose shape is cached.
func BenchmarkHit(b *testing.B) {
	r, text := newReader(b, 0), []byte(lookupQuery)
	_, err := r.Read(text)
	require.NoError(b, err)
	for b.Loop() {
		if _, err := r.Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkComplete measures completing a request without class, cost and memory whose shape is cached.
func BenchmarkComplete(b *testing.B) {
	r, call := newReader(b, 0), statement.Call{Text: []byte(lookupQuery), Class: -1}
	for b.Loop() {
		if _, err := r.Complete(call); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMiss measures reading statements whose shapes are all different.
func BenchmarkMiss(b *testing.B) {
	r, count := newReader(b, 0), 0
	text := []byte(lookupQuery + " -- the last name differs each time\n OFFSET x0000000")
	digits := text[len(text)-len("0000000"):]
	for b.Loop() {
		count++
		for i, at := count, len(digits)-1; at >= 0; i, at = i/10, at-1 {
			digits[at] = byte('0' + i%10)
		}
		if _, err := r.Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFailure measures reading a statement that cannot be parsed.
func BenchmarkFailure(b *testing.B) {
	r, text := newReader(b, 0), []byte(lookupQuery+" LIMIT LIMIT")
	for b.Loop() {
		if _, err := r.Read(text); err == nil {
			b.Fatal("no error")
		}
	}
}

// Completing a request whose shape is cached does not allocate.
func TestHitAllocatesNothing(t *testing.T) {
	r, call := newReader(t, 0), statement.Call{Text: []byte(lookupQuery), Class: -1}
	_, err := r.Complete(call)
	require.NoError(t, err)
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = r.Complete(call) }))
}

// BenchmarkScan measures the baseline, a scan of the text for the table group only.
func BenchmarkScan(b *testing.B) {
	for b.Loop() {
		if sqltext.TableGroup(lookupQuery) != 17 {
			b.Fatal("no group")
		}
	}
}

// Reading a statement takes less than three times as long as the baseline scan if its shape is cached, and less than
// twenty times as long otherwise. A hit does not allocate. Times are compared within one run. The test is a measurement
// and so not part of CI.
func TestCostBesideTheScan(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	fastest := func(f func(*testing.B)) (ns float64, allocs int64) {
		for i := range 5 { // use the fastest run, since other programs may occupy the core
			r := testing.Benchmark(f)
			if duration := float64(r.NsPerOp()); i == 0 || duration < ns {
				ns, allocs = duration, r.AllocsPerOp()
			}
		}
		return ns, allocs
	}
	scan, _ := fastest(BenchmarkScan)
	hit, allocs := fastest(BenchmarkHit)
	miss, _ := fastest(BenchmarkMiss)
	t.Logf("scan %.0f ns, hit %.2f times that, miss %.2f times", scan, hit/scan, miss/scan)
	require.Zero(t, allocs)
	require.Less(t, hit/scan, 3.0)
	require.Less(t, miss/scan, 20.0)
}
