package statement

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/sqltext"
)

// What can't be parsed is looked through as all statements were before: with the same answer.
func TestScanGroup(t *testing.T) {
	text, err := os.ReadFile("testdata/corpus.txt")
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(text), "\n") {
		assert.Equal(t, sqltext.Group(line), scanTableGroup(line), line)
		other := "selec \x00 " + line + " ( $ \\"
		assert.Equal(t, sqltext.Group(other), scanTableGroup(other), line)
	}
}
