package main

import (
	"os"
	"testing"

	"chutechute/internal/testharness"
)

var program string

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

// start runs the program with engines that answer so.
func start(t *testing.T, engines int, do testharness.EngineHandler, change ...func(*testharness.Harness)) *testharness.Harness {
	return testharness.Start(t, program, engines, do, change...)
}
