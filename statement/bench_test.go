package statement_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/internal/sqltext"
	"chutechute/statement"
	"chutechute/statement/classify"
)

// usual is a look-up of about 200 bytes.
const usual = `SELECT p.seat, p.name, b.tag, f.gate FROM ops_17.passengers p JOIN ops_17.bags b USING (booking)
 JOIN ops_17.flights f ON f.id = p.flight WHERE p.booking = 'X7K2QD' AND f.day >= 20261201 LIMIT 20`

func reader(t testing.TB, cacheBytes int) *statement.Reader {
	r, err := statement.New(statement.Options{CacheBytes: cacheBytes, Classes: []statement.Class{
		{Class: classify.Class{Name: "lookup", Threads: 1}, UsualMS: 100, UsualMB: 16},
		{Class: classify.Class{Name: "report", Threads: 3}, UsualMS: 3000, UsualMB: 64},
		{Class: classify.Class{Name: "load", Loads: true, Threads: 2}, Keyed: true, UsualMS: 2500, UsualMB: 48},
	}, Rules: []classify.Rule{
		{Class: "report", Tables: []string{"stats_*"}},
		{Class: "lookup", Verbs: []string{"select", "values", "table", "show", "explain", "copy"}, CostMS: 1000},
		{Class: "report"},
		{Class: "load"},
	}})
	require.NoError(t, err)
	return r
}

func BenchmarkHit(b *testing.B) {
	r, text := reader(b, 0), []byte(usual)
	_, err := r.Read(text)
	require.NoError(b, err)
	for b.Loop() {
		if _, err := r.Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkComplete(b *testing.B) { // a hit with its class, cost and memory
	r, call := reader(b, 0), statement.Call{Text: []byte(usual), Class: -1}
	for b.Loop() {
		if _, err := r.Complete(call); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMiss(b *testing.B) {
	r, n := reader(b, 0), 0
	text := []byte(usual + " -- the last name differs each time\n OFFSET x0000000")
	digits := text[len(text)-7:]
	for b.Loop() {
		n++
		for i, at := n, 6; at >= 0; i, at = i/10, at-1 {
			digits[at] = byte('0' + i%10)
		}
		if _, err := r.Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFailure(b *testing.B) {
	r, text := reader(b, 0), []byte(usual+" LIMIT LIMIT")
	for b.Loop() {
		if _, err := r.Read(text); err == nil {
			b.Fatal("no error")
		}
	}
}

// A known shape is read without allocation, with its class and figures.
func TestHitAllocatesNothing(t *testing.T) {
	r, call := reader(t, 0), statement.Call{Text: []byte(usual), Class: -1}
	_, err := r.Complete(call)
	require.NoError(t, err)
	require.Zero(t, testing.AllocsPerRun(100, func() { _, _ = r.Complete(call) }))
}

// BenchmarkScan is what was there before: a scan for the group alone.
func BenchmarkScan(b *testing.B) {
	for b.Loop() {
		if sqltext.Group(usual) != 17 {
			b.Fatal("no group")
		}
	}
}

// The aims of the cost of a reading, as ratios within one run: a hit is at most three times the scan that was
// there before and allocates nothing, a miss at most twenty times. It measures, so it is no part of CI.
func TestCostBesideTheScan(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	best := func(f func(*testing.B)) (ns float64, allocs int64) {
		for i := range 5 { // the least of several, as another program may have the core
			r := testing.Benchmark(f)
			if at := float64(r.NsPerOp()); i == 0 || at < ns {
				ns, allocs = at, r.AllocsPerOp()
			}
		}
		return ns, allocs
	}
	scan, _ := best(BenchmarkScan)
	hit, allocs := best(BenchmarkHit)
	miss, _ := best(BenchmarkMiss)
	t.Logf("scan %.0f ns, hit %.2f times that, miss %.2f times", scan, hit/scan, miss/scan)
	require.Zero(t, allocs)
	require.Less(t, hit/scan, 3.0)
	require.Less(t, miss/scan, 20.0)
}
