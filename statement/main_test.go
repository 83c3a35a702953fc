package statement_test

import (
	"os"
	"testing"

	"chutechute/internal/standin"
)

func TestMain(m *testing.M) { os.Exit(standin.RunWithFixedSeed(m)) }
