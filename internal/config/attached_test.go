package config

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/settings"
	"chutechute/internal/standin"
)

// fleetOf is a section of three members with further keys, as the named front end has it.
func fleetOf(t *testing.T, name, further string) (*Peers, error) {
	t.Helper()
	s, err := settings.Parse([]byte(standin.Settings))
	require.NoError(t, err)
	file, err := ParseInstallation([]byte(`{"fleet": {"enabled": true, "site": "x", "members": [{"name": "n1", "address": "127.0.0.1:1",
		"zone": "a"}, {"name": "n2", "address": "127.0.0.1:2"}, {"name": "n3", "address": "127.0.0.1:3"}]` + further + `}}`))
	if err != nil {
		return nil, err
	}
	return file.Fleet.Options(name, s, 192)
}

// Each setting that attached front ends can't go by is refused with the key that is at fault.
func TestAttachedNameTheFaultyKey(t *testing.T) {
	const on = `, "attached": {"enabled": true}`
	for _, c := range []struct{ name, further, want string }{
		{"x1", ``, `fleet.members: this front end, "x1", is not among them`},
		{"x1", `, "attached": {"enabled": false}`, `fleet.members: this front end, "x1", is not among them`},
		{"n1", `, "zone": "a"`, "fleet.zone: stands without"},
		{"n1", `, "zone": "b"` + on, "fleet.zone"},
		{"x1", on + `, "zone": "` + strings.Repeat("z", 65) + `"`, "fleet.zone"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": 100}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": -1}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "heartbeat_ms": 1e9}`, "fleet.attached.heartbeat_ms"},
		{"x1", `, "attached": {"enabled": true, "suspect_ms": 1999}`, "fleet.attached.suspect_ms"},
		{"x1", `, "attached": {"enabled": true, "dead_ms": 3000}`, "fleet.attached.dead_ms"},
		{"x1", `, "attached": {"enabled": true, "dead_ms": 1e9}`, "fleet.attached.dead_ms"},
		{"n1", `, "attached": {"enabled": true, "most": 3}`, "fleet.attached.most"},
		{"n1", `, "attached": {"enabled": true, "most": 16385}`, "fleet.attached.most"},
		{"n1", `, "attached": {"enabled": true, "more": 1}`, "more"},
		{"n1", on + `, "budgets": {"version": 1, "list": []}`, "fleet.budgets"},
		{"x1", on + `, "budgets": {"version": 1, "list": []}`, "fleet.budgets"},
		{"x1", on + `, "orphan_s": 3`, "fleet.orphan_s"},
		{"", on, "fleet.attached: the name"},
		{"x 1", on, "fleet.attached: the name"},
		{strings.Repeat("x", 65), on, "fleet.attached: the name"},
		{"x1", on + `, "copies": 2`, "fleet.copies"},
		{"x1", on + `, "tick_ms": -1`, "fleet.tick_ms"},
	} {
		_, err := fleetOf(t, c.name, c.further)
		if assert.Error(t, err, "%q %s", c.name, c.further) {
			assert.Contains(t, err.Error(), c.want)
		}
	}
}

// The bound of the members says why it is one.
func TestTooManyMembersSaysWhy(t *testing.T) {
	f := Fleet{Enabled: true, Site: "x"}
	for i := range maxMembers + 1 {
		f.Members = append(f.Members, FleetMember{Name: fmt.Sprintf("n%d", i), Address: "127.0.0.1:1"})
	}
	_, err := f.Options("n0", &settings.Settings{}, 192)
	require.ErrorContains(t, err, "fleet.members: 81 are above 80")
	assert.ErrorContains(t, err, "square")
	assert.ErrorContains(t, err, "fleet.attached")
}

// A front end that is not among the members is attached, keeps no record, and agrees with the members on the section.
func TestAttachedFrontEnd(t *testing.T) {
	const on = `, "folder": "/disk", "admin": "/{name}.sock", "attached": {"enabled": true, "dead_ms": 5000}`
	a, err := fleetOf(t, "x1", on+`, "zone": "b"`)
	require.NoError(t, err)
	m, err := fleetOf(t, "n1", on+`, "orphan_s": 7`)
	require.NoError(t, err)
	assert.Equal(t, a.Digest, m.Digest, "the zone and orphan_s are each front end's own")
	assert.Len(t, a.Others, 3)
	assert.Empty(t, a.Folder)
	assert.Equal(t, "/x1.sock", a.Admin)
	require.True(t, a.Attached.Here)
	require.False(t, m.Attached.Here)
	cfg := a.Attached.Config
	assert.Equal(t, []string{"x1", "b"}, []string{cfg.Name, cfg.Zone})
	assert.Equal(t, []monotime.Micros{1_000_000, 2_500_000, 5_000_000}, []monotime.Micros{cfg.HeartbeatInterval, cfg.SuspectAfter, cfg.DeadAfter})
	assert.Equal(t, membership.DefaultMaxEntries, cfg.MaxEntries)
	assert.Equal(t, []membership.ControlMember{{Name: "n1", Zone: "a"}, {Name: "n2"}, {Name: "n3"}}, cfg.ControlMembers)
	assert.Equal(t, "a", m.Attached.Config.Zone)

	small, err := fleetOf(t, "x1", on+`, "ledger_mb": 30`)
	require.NoError(t, err, "a bound of the record is none of a front end that keeps none")
	assert.NotNil(t, small)

	explicit, err := fleetOf(t, "n1", `, "attached": {"enabled": true, "heartbeat_ms": 1000, "suspect_ms": 2500, "dead_ms": 5000, "most": 8192}`)
	require.NoError(t, err)
	assert.Equal(t, m.Digest, explicit.Digest, "defaults are agreed on as what they stand for")
	other, err := fleetOf(t, "n1", `, "attached": {"enabled": true}`)
	require.NoError(t, err)
	assert.NotEqual(t, m.Digest, other.Digest)
}

// Where no front ends may attach, the members agree on what they agreed on before there was such a section, byte for byte.
func TestDigestWithoutAttachedIsAsBefore(t *testing.T) {
	for further, want := range map[string]string{
		``: "05f242dad7f1ae55",
		`, "orphan_s": 5, "copies": 1, "ledger_mb": 2`: "d7b683c41457f849",
	} {
		for _, off := range []string{``, `, "attached": {"enabled": false, "most": 5}`} {
			p, err := fleetOf(t, "n1", further+off)
			require.NoError(t, err)
			assert.Equal(t, want, hex.EncodeToString(p.Digest))
			assert.Nil(t, p.Attached)
		}
	}
}
