package statement_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/statement"
	"chutechute/statement/classify"
)

// The failure: a function that is added to those with side effects has none for statements whose shapes are cached.
func TestNewSideEffectFunctionsApplyToCachedShapes(t *testing.T) {
	options := statement.Options{
		Classes: []statement.Class{{Class: classify.Class{Name: "lookup", Threads: 1}}},
		Rules:   []classify.Rule{{Class: "lookup"}},
	}
	r, err := statement.New(options)
	require.NoError(t, err)
	complete := func() statement.Completion {
		completion, err := r.Complete(statement.Call{Text: []byte("select setval('ops_3.n', 4711)")})
		require.NoError(t, err)
		return completion
	}
	before := complete()
	assert.False(t, before.NonIdempotent)
	for _, test := range []struct {
		functions []string
		want      bool
	}{{[]string{"nextval", "setval"}, true}, {[]string{"nextval"}, false}, {[]string{"setval"}, true}} {
		options.SideEffectFunctions = test.functions
		require.NoError(t, r.Apply(options))
		assert.Equal(t, test.want, r.IsNonIdempotent(&before, false), test.functions)
		after := complete()
		assert.Equal(t, test.want, after.NonIdempotent, test.functions)
		assert.Equal(t, test.want, r.IsNonIdempotent(&after, false), test.functions)
	}
	assert.Equal(t, 3, r.Counts().Hits)
}
