package budget_test

import (
	"flag"
	"log/slog"
	"os"
	"testing"
)

// TestMain discards logs and fixes the seed of rapid, so that each run draws the same faults unless -rapid.seed is set.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
