package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/testharness"
)

// Guards against a TLS client that is closed for malformed input because it sends a large request as soon as its own
// side of the handshake is complete.
func TestLargeRequestRightAfterTheHandshake(t *testing.T) {
	fixture := newTLSFixture(t, "none", "")
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation)
	config, _ := fixture.clientConfig("", fixture.ca)
	for n := range 8 {
		c := fixture.connect(r, config)
		err := c.TrySendRequest("SELECT * FROM s_1.t -- "+strings.Repeat("x", 200_000), "call", testharness.RequestID(n),
			"op", "lookup", "ttl", "5000", "work", "10.0")
		if assert.NoError(t, err) {
			reply, err := c.TryReadReply()
			assert.NoError(t, err)
			assert.Equal(t, "answer", reply.Kind)
		}
	}
}
