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

// heapInUse returns the size of the live heap in bytes.
func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// A scan of shapes that occur once neither exceeds the limit of the cache nor evicts frequent shapes, which keep what
// was learned about them. With CHUTECHUTE_LONG=1, a million shapes are scanned.
func TestScanOfOneOffShapes(t *testing.T) {
	scanned := 60_000
	if os.Getenv("CHUTECHUTE_LONG") != "" {
		scanned = 1_000_000
	}
	const maxBytes = 1 << 20
	r := newReader(t, maxBytes)
	completeFrequent := func(i int) statement.Completion {
		text := fmt.Appendf(nil, "select * from ops_%d.t where a = %d", i, i*7)
		c, err := r.Complete(statement.Call{Text: text, Class: 0})
		require.NoError(t, err)
		return c
	}
	for range 20 {
		for i := range 50 {
			c := completeFrequent(i)
			r.Learn(&c, statement.Outcome{CostMS: 42, Weight: 1}, 0)
		}
	}
	before, half := heapInUse(), 0
	var buf []byte
	for i := range scanned {
		buf = fmt.Appendf(buf[:0], "select c%d, d%d from ops_%d.u%d where e%d between 1 and 5", i, i, i%100, i, i)
		_, err := r.Complete(statement.Call{Text: buf, Class: -1})
		require.NoError(t, err)
		if i%20 == 0 {
			completeFrequent(i / 20 % 50)
		}
		if i == scanned/2 {
			half = heapInUse()
		}
	}
	after := heapInUse()
	c := r.Counts()
	t.Logf("%d one-off shapes: %d cached in %d bytes of %d; heap %d before, %d half way, %d after",
		scanned, c.Shapes, c.Bytes,
		maxBytes, before, half, after)
	assert.LessOrEqual(t, c.Bytes, maxBytes)
	assert.Less(t, after, before+2*maxBytes)
	assert.Less(t, after, half+maxBytes/4, "the heap does not grow from half way on")
	retained := 0
	for i := range 50 {
		if c := completeFrequent(i); c.CostMS < 45 {
			retained++
		}
	}
	assert.GreaterOrEqual(t, retained, 45, "frequent shapes, of 50, that keep what was learned")
	runtime.KeepAlive(r)
}

// Smaller options evict what no longer fits, and invalid options change nothing.
func TestApplyShrinksCacheAndRejectsInvalidOptions(t *testing.T) {
	r := newReader(t, 1<<20)
	for i := range 500 {
		_, err := r.Read(fmt.Appendf(nil, "select a%d from t", i))
		require.NoError(t, err)
	}
	require.NoError(t, r.Apply(statement.Options{CacheBytes: 64 << 10}))
	_, err := r.Read([]byte("select 1"))
	require.NoError(t, err)
	assert.LessOrEqual(t, r.Counts().Bytes, 64<<10)
	assert.ErrorContains(t, r.Apply(statement.Options{CacheBytes: 1}), "cache_mb")
	invalid := statement.Options{UnparsedPolicy: statement.AttemptUnparsedOnce, UnparsedClass: "x"}
	assert.ErrorContains(t, r.Apply(invalid), "unparsed_class")
	assert.LessOrEqual(t, r.Counts().Bytes, 64<<10, "the old options remain in force")
}
