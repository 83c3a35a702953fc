package testharness

import (
	"flag"
	"testing"
)

// propertySeed is the seed of property tests for which the command line names none.
const propertySeed = "20261201"

// RunWithFixedSeed runs a package's tests and returns the exit code. Property tests draw from a fixed seed unless
// the command line names one by -rapid.seed, so that each run gives the same verdict.
func RunWithFixedSeed(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == seed.DefValue {
		if err := seed.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
