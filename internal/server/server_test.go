package server

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/config"
	"chutechute/internal/eventloop"
	"chutechute/internal/peering"
	"chutechute/internal/settings"
	"chutechute/internal/testharness"
)

// controlMember returns the settings of one of three control members, to which other front ends may attach.
func controlMember(t *testing.T) *config.Peers {
	members := []any{}
	for i := 1; i <= 3; i++ {
		members = append(members, map[string]any{
			"name":    fmt.Sprintf("n%d", i),
			"address": fmt.Sprintf("127.0.0.%d:7400", i),
		})
	}
	section := map[string]any{
		"enabled":  true,
		"site":     "test",
		"members":  members,
		"folder":   filepath.Join(t.TempDir(), "{name}"),
		"attached": map[string]any{"enabled": true, "heartbeat_ms": 250, "suspect_ms": 600, "dead_ms": 1000},
	}
	text, err := json.Marshal(map[string]any{"fleet": section})
	require.NoError(t, err)
	installation, err := config.ParseInstallation(text)
	require.NoError(t, err)
	site, err := settings.Parse([]byte(testharness.Settings))
	require.NoError(t, err)
	peers, err := installation.Fleet.Options("n1", site, 192)
	require.NoError(t, err)
	return peers
}

// Links to other front ends reduce the descriptors that remain for clients and engines, if front ends may attach.
func TestPeerLinksReduceAvailableDescriptors(t *testing.T) {
	const sockets = 1000
	s := &Server{cfg: &config.Config{Sockets: sockets}, pool: &enginePool{}, listener: &clientListener{}}
	assert.Equal(t, sockets-reservedDescriptors, s.availableDescriptors())
	loop, err := eventloop.NewLoop()
	require.NoError(t, err)
	t.Cleanup(loop.Close)
	s.host = peering.NewHost(loop)
	program := peering.Program{
		Host:     &s.host,
		Seed:     1,
		Post:     func(task func()) { task() },
		Draining: func() bool { return false },
	}
	s.peering, err = peering.NewPeering(program, controlMember(t))
	require.NoError(t, err)
	t.Cleanup(s.peering.Close)
	assert.Equal(t, 2, s.peering.Descriptors(), "a link to each other control member")
	assert.Equal(t, sockets-reservedDescriptors-2, s.availableDescriptors())
}
