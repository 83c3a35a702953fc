package main

import (
	"os"
	"testing"

	"chutechute/internal/standin"
)

var program string

func TestMain(m *testing.M) {
	built, remove, err := standin.Build()
	if err != nil {
		panic(err)
	}
	program = built
	code := m.Run()
	remove()
	os.Exit(code)
}

// start runs the program with engines that answer so.
func start(t *testing.T, engines int, do standin.EngineHandler, change ...func(*standin.Harness)) *standin.Harness {
	return standin.Start(t, program, engines, do, change...)
}
