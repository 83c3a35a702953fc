package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/monotime"
	"chutechute/scheduler"
	"chutechute/statement"
	"chutechute/statement/classify"
)

// The failure: a request that is open when its statement becomes one with side effects, by new options, is sent again
// after it may have run.
func TestOpenRequestIsNotRepeatedOnceItsStatementHasSideEffects(t *testing.T) {
	for name, test := range map[string]struct {
		functions    []string // those with side effects by the new options
		wantAttempts int
		wantResponse string
	}{
		"another function": {[]string{"nextval"}, 2, ""},
		"this function":    {[]string{"nextval", "setval"}, 1, "failed"},
	} {
		t.Run(name, func(t *testing.T) {
			c, engines, _ := newStubbedCore(t)
			options := &statement.Options{Rules: []classify.Rule{{Class: "look"}}}
			for _, class := range classNames {
				options.Classes = append(options.Classes, statement.Class{Class: classify.Class{Name: class, Threads: 1}})
			}
			require.NoError(t, c.ConfigureStatements(options))
			now, client := monotime.Second, &stubClient{}
			_, err := c.Submit(now, &Call{ID: "look", Class: "look", ClientTimeout: 3 * monotime.Second,
				EstimatedWork: 1000, Statement: []byte("select setval('ops_3.n', 4711)")}, client)
			require.NoError(t, err)
			c.Step(now)
			require.Len(t, engines.started, 1)
			changed := *options
			changed.SideEffectFunctions = test.functions
			require.NoError(t, c.ConfigureStatements(&changed))
			c.AttemptEnded(now, engines.lastStart(), scheduler.Errored, nil, nil)
			c.Step(now + monotime.Millisecond)
			assert.Len(t, engines.started, test.wantAttempts)
			assert.Equal(t, test.wantResponse, client.response)
		})
	}
}
