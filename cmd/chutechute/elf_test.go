package main

import (
	"debug/elf"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The benchmark of large fleets preloads a library into each front end, which takes a dynamically linked executable.
// The program under test is built with the build command of the deploy file.
func TestBuildIsLinkedDynamically(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	assert.Regexp(t, `(?m)^run = "exec bin/chutechute"$`, string(deploy), "the run command has to exec the front end")
	file, err := elf.Open(program)
	require.NoError(t, err)
	defer file.Close()
	interpreter := file.Section(".interp")
	require.NotNil(t, interpreter, "no interpreter: linked statically")
	name, err := interpreter.Data()
	require.NoError(t, err)
	assert.Contains(t, string(name), "ld-linux")
	libraries, err := file.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, libraries, "libc.so.6")
}
