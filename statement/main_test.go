package statement_test

import (
	"os"
	"testing"

	"chutechute/internal/testharness"
)

func TestMain(m *testing.M) { os.Exit(testharness.RunWithFixedSeed(m)) }
