package statement_test

import (
	"fmt"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/statement"
)

// heap is the bytes that are in use.
func heap() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// A scan of shapes that come once neither outgrows the cache's bound nor flushes the shapes that come often, which
// keep what was learned of them. CHUTECHUTE_LONG=1 scans a million.
func TestScanOfOneOffShapes(t *testing.T) {
	scanned := 60_000
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		scanned = 1_000_000
	}
	const bound = 1 << 20
	r := reader(t, bound)
	usual := func(i int) statement.Completion {
		c, err := r.Complete(statement.Call{Text: fmt.Appendf(nil, "select * from ops_%d.t where a = %d", i, i*7), Class: 0})
		require.NoError(t, err)
		return c
	}
	for range 20 {
		for i := range 50 {
			c := usual(i)
			r.Learn(&c, statement.Outcome{CostMS: 42, Weight: 1}, 0)
		}
	}
	before, half := heap(), 0
	var buf []byte
	for i := range scanned {
		buf = fmt.Appendf(buf[:0], "select c%d, d%d from ops_%d.u%d where e%d between 1 and 5", i, i, i%100, i, i)
		_, err := r.Complete(statement.Call{Text: buf, Class: -1})
		require.NoError(t, err)
		if i%20 == 0 {
			usual(i / 20 % 50)
		}
		if i == scanned/2 {
			half = heap()
		}
	}
	after := heap()
	c := r.Counts()
	t.Logf("%d one-off shapes: %d kept in %d bytes of %d; heap %d before, %d half way, %d after", scanned, c.Shapes, c.Bytes,
		bound, before, half, after)
	assert.LessOrEqual(t, c.Bytes, bound)
	assert.Less(t, after, before+2*bound)
	assert.Less(t, after, half+bound/4, "flat from half way on")
	kept := 0
	for i := range 50 {
		if c := usual(i); c.CostMS < 45 {
			kept++
		}
	}
	assert.GreaterOrEqual(t, kept, 45, "of 50 shapes that come often")
	runtime.KeepAlive(r)
}

// A reload that makes the cache smaller lets go of what no longer fits, and keeps what was learned of the rest.
func TestApply(t *testing.T) {
	r := reader(t, 1<<20)
	for i := range 500 {
		_, err := r.Read(fmt.Appendf(nil, "select a%d from t", i))
		require.NoError(t, err)
	}
	require.NoError(t, r.Apply(statement.Options{CacheBytes: 64 << 10}))
	_, err := r.Read([]byte("select 1"))
	require.NoError(t, err)
	assert.LessOrEqual(t, r.Counts().Bytes, 64<<10)
	assert.ErrorContains(t, r.Apply(statement.Options{CacheBytes: 1}), "cache_mb")
	assert.ErrorContains(t, r.Apply(statement.Options{Unparsed: statement.Once, UnparsedClass: "x"}), "unparsed_class")
	assert.LessOrEqual(t, r.Counts().Bytes, 64<<10, "the old options stay")
}
