package main

import (
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// SIGHUP takes over a new journal address at once, from the last event known, while all goes on: it ended the
// program before. A file that can't be used is logged with its key and the old one stays in force.
func TestReload(t *testing.T) {
	r := start(t, 2, testharness.SucceedAfterPolls(3, testharness.ResultRow))
	old, _ := r.AcceptDiscovery()
	_, err := old.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1)))
	require.NoError(t, err)
	c := r.NewClient()
	for name, journal := range map[string]any{"config: journal: .*nowhere": "nowhere", "config: .*cannot unmarshal": 7} {
		load2(c, len(name))
		r.NodeConfig["journal"] = journal
		r.WriteNodeConfig()
		r.Signal(syscall.SIGHUP)
		require.Eventually(t, func() bool { return regexp.MustCompile(name).MatchString(r.Log.String()) },
			testharness.WaitTimeout, time.Millisecond)
		assert.Equal(t, "answer", c.ReadReply().Kind)
	}
	journal, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer journal.Close()
	r.DiscoveryListener, r.NodeConfig["journal"], r.NodeConfig["seed"] = journal, journal.Addr().String(), "77"
	r.WriteNodeConfig()
	load2(c, 3)
	r.WaitForRequests(3, "POST", "/")
	r.Signal(syscall.SIGHUP)
	conn, last := r.AcceptDiscovery()
	assert.EqualValues(t, 42, last)
	assert.True(t, r.NewClient().Healthy())
	_, err = old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the old connection is kept")
	_, err = conn.Write(testharness.DiscoveryFrame(43, 2, r.Engines[0].DiscoveryRecord(0), r.Engines[1].DiscoveryRecord(1)))
	require.NoError(t, err)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	require.Eventually(t, func() bool {
		r.Signal(syscall.SIGUSR1)
		return strings.Contains(r.Log.String(), "frames from the journal                       2")
	}, testharness.WaitTimeout, 10*time.Millisecond)
	load2(c, 4)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, r.Engines[0].Name, r.Requests("POST", "/")[3].Engine)
	r.WaitForLog("take effect at the next start\" keys=[seed]")
	r.Signal(syscall.SIGHUP) // a planned end goes on whatever else is told
	r.Signal(syscall.SIGTERM)
	r.Signal(syscall.SIGHUP)
	assert.NoError(t, <-r.Exited)
}

// At a planned restart health turns bad, newcomers and open requests are served, and the exit is clean.
func TestPlannedRestart(t *testing.T) {
	var release atomic.Bool
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if !release.Load() {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		testharness.RespondResult(w, testharness.ResultRow)
	})
	old := r.NewClient()
	load2(old, 1)
	r.WaitForRequests(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	var c *testharness.Client // a newcomer
	require.Eventually(t, func() bool { c = r.NewClient(); return !c.Healthy() }, testharness.WaitTimeout, time.Millisecond)
	load2(c, 2)
	r.WaitForRequests(2, "POST", "/")
	release.Store(true)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, "answer", old.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
	assert.Contains(t, r.Log.String(), "answers served                                2")
}

// What can't end before the process may be killed is answered all the same.
func TestPlannedRestartAnswersWhatCannotEnd(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(1000, testharness.ResultRow))
	c := r.NewClient()
	load2(c, 1)
	r.WaitForRequests(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	assert.Equal(t, "shed", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// A configuration that can't be used is refused by the name of the faulty key.
func TestConfigurationErrorsNameTheKey(t *testing.T) {
	usable := func(settings map[string]any) map[string]any {
		return map[string]any{"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1", "settings": settings}
	}
	class := func(name string, more map[string]any) any {
		c := map[string]any{"name": name, "repeat": "safe", "on_time": 1, "give_up": 5}
		maps.Copy(c, more)
		return c
	}
	site := func(classes ...any) map[string]any {
		return map[string]any{"balancers": 1, "classes": classes, "host_types": []any{"k"}, "failure_domains": []any{"a"}}
	}
	with := func(s map[string]any, key string, value any) map[string]any { s[key] = value; return s }
	for key, config := range map[string]map[string]any{
		"settings.balancers": usable(map[string]any{}),
		"settings.classes":   usable(map[string]any{"balancers": 1}),
		"listen":             {"listen": "nowhere"},
		"journal":            {"listen": "127.0.0.1:0", "journal": "x"},
		"seed":               {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "?"},
		"limits.sockets": {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
			"limits": map[string]any{"sockets": 3}},
		"settings": {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1"},
		`settings.classes\[0\].name: "c" stands twice`:     usable(site(class("c", nil), class("c", nil))),
		`settings.classes\[0\].window: class "c" is keyed`: usable(site(class("c", map[string]any{"repeat": "keyed", "group": "all"}))),
		`settings.tenants\[0\].name: "t" stands twice`: usable(with(site(class("c", nil)), "tenants",
			[]any{map[string]any{"name": "t"}, map[string]any{"name": "t"}})),
		"settings.rules.cold_from: 1.5": usable(with(site(class("c", nil)), "rules", map[string]any{"cold_from": 1.5})),
		`class "c": unknown repeat "odd"`: {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
			"settings": map[string]any{"classes": []any{map[string]any{"name": "c", "repeat": "odd"}}}},
	} {
		r := &testharness.Harness{T: t, Program: program, Log: &testharness.LogBuffer{}, Exited: make(chan error, 1)}
		r.StartProcess(config)
		assert.Error(t, <-r.Exited)
		assert.Regexp(t, "config: .*"+key, r.Log.String())
	}
}
