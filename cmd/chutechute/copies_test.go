package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/standin"
)

// Three front ends with the record in memory only. One serves a load and its machine is lost; a repeat through another finds
// the outcome, the same bytes, and no engine runs it again. The lost one comes back as a new copy.
func TestMachineLostWithItsDisk(t *testing.T) {
	f := standin.NewFleet(t, program, 3)
	f.Leader(3)
	try := standin.Try{Once: "once-1", Key: "k", Statement: "INSERT INTO s_1.t -- ms=50", TTL: 10 * time.Second}
	first := f.Load(f.Fronts[0], try)
	require.Equal(t, "answer", first.What)
	f.Fronts[0].Kill(true)
	again := f.Load(f.Fronts[1], try)
	require.Equal(t, "answer", again.What)
	assert.Equal(t, first.Body(), again.Body())
	f.Fronts[0].Start()
	f.Leader(3)
	f.Fronts[1].Kill(true)
	again = f.Load(f.Fronts[0], try)
	require.Equal(t, "answer", again.What)
	assert.Equal(t, first.Body(), again.Body())
}
