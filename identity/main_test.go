package identity_test

import (
	"flag"
	"os"
	"testing"
)

// Properties are drawn from one seed unless the command line names another: the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261201"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
