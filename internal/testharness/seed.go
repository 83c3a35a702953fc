package testharness

import (
	"flag"
	"testing"
)

// propertySeed is the seed of property tests if the command line sets none.
const propertySeed = "20261201"

// RunWithFixedSeed runs a package's tests and returns the exit code. Property tests use a fixed seed unless the command
// line sets one with -rapid.seed, so that their results are reproducible.
func RunWithFixedSeed(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
