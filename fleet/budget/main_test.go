package budget_test

import (
	"flag"
	"log/slog"
	"os"
	"testing"
)

// The histories are the same in each run, unless -rapid.seed names others.
func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}
