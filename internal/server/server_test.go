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
	"chutechute/internal/standin"
)

// controlMember is the settings of a control member of three that others may attach to.
func controlMember(t *testing.T) *config.Peers {
	members := []any{}
	for i := range 3 {
		members = append(members, map[string]any{"name": fmt.Sprintf("n%d", i+1), "address": fmt.Sprintf("127.0.0.%d:7400", i+1)})
	}
	section := map[string]any{"enabled": true, "site": "test", "members": members, "folder": filepath.Join(t.TempDir(), "{name}"),
		"attached": map[string]any{"enabled": true, "heartbeat_ms": 250, "suspect_ms": 600, "dead_ms": 1000}}
	text, err := json.Marshal(map[string]any{"fleet": section})
	require.NoError(t, err)
	file, err := config.ParseInstallation(text)
	require.NoError(t, err)
	site, err := settings.Parse([]byte(standin.Settings))
	require.NoError(t, err)
	cfg, err := file.Fleet.Options("n1", site, 192)
	require.NoError(t, err)
	return cfg
}

// Links take descriptors that clients and engines would else use, where front ends may attach.
func TestPeerLinksReduceFreeDescriptors(t *testing.T) {
	s := &Server{cfg: &config.Config{Sockets: 1000}, pool: &enginePool{}, listener: &clientListener{}}
	assert.Equal(t, 1000-reservedDescriptors, s.freeDescriptors())
	l, err := eventloop.NewLoop()
	require.NoError(t, err)
	t.Cleanup(l.Close)
	s.host = peering.NewHost(l)
	of := peering.Program{Host: &s.host, Seed: 1, Post: func(work func()) { work() }, Draining: func() bool { return false }}
	s.peering, err = peering.NewPeering(of, controlMember(t))
	require.NoError(t, err)
	t.Cleanup(s.peering.Close)
	assert.Equal(t, 2, s.peering.Descriptors(), "a link to each other control member")
	assert.Equal(t, 1000-reservedDescriptors-2, s.freeDescriptors())
}
