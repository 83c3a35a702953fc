package main

import (
	"os"
	"testing"

	"chutechute/internal/testharness"
)

var program string // path of the executable under test

func TestMain(m *testing.M) {
	built, remove, err := testharness.Build()
	if err != nil {
		panic(err)
	}
	program = built
	code := m.Run()
	remove()
	os.Exit(code)
}

// start starts the program with the given number of stub engines, all of which use the handler. The options can change
// the harness before the engines and the program start.
func start(
	t *testing.T, engines int, handler testharness.EngineHandler, options ...func(*testharness.Harness),
) *testharness.Harness {
	return testharness.Start(t, program, engines, handler, options...)
}
