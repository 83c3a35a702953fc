package statement

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/sqltext"
)

// For a text that cannot be parsed, scanTableGroup finds the same table group as package sqltext.
func TestUnparsableTextHasGroupOfTextScan(t *testing.T) {
	text, err := os.ReadFile("testdata/corpus.txt")
	require.NoError(t, err)
	for line := range strings.SplitSeq(string(text), "\n") {
		assert.Equal(t, sqltext.TableGroup(line), scanTableGroup(line), line)
		unparsable := "selec \x00 " + line + " ( $ \\"
		assert.Equal(t, sqltext.TableGroup(unparsable), scanTableGroup(unparsable), line)
	}
}
