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

// On SIGHUP a new discovery address takes effect at once: the watch resumes from the last event received, and open
// requests are not affected. An invalid configuration is logged with its key, and the old one stays in force. SIGHUP
// once terminated the process.
func TestReload(t *testing.T) {
	r := start(t, 2, testharness.SucceedAfterPolls(3, testharness.ResultRow))
	old, _ := r.AcceptDiscovery()
	_, err := old.Write(testharness.DiscoveryFrame(42, 2, r.Engines[0].DiscoveryRecord(1)))
	require.NoError(t, err)
	c := r.NewClient()
	for name, journal := range map[string]any{"config: journal: .*nowhere": "nowhere", "config: .*cannot unmarshal": 7} {
		sendUnorderedLoad(c, len(name))
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
	sendUnorderedLoad(c, 3)
	r.WaitForRequests(3, "POST", "/")
	r.Signal(syscall.SIGHUP)
	conn, last := r.AcceptDiscovery()
	assert.EqualValues(t, 42, last)
	assert.True(t, r.NewClient().Healthy())
	_, err = old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the old connection was not closed")
	_, err = conn.Write(testharness.DiscoveryFrame(43, 2, r.Engines[0].DiscoveryRecord(0),
		r.Engines[1].DiscoveryRecord(1)))
	require.NoError(t, err)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	require.Eventually(t, func() bool {
		r.Signal(syscall.SIGUSR1)
		return strings.Contains(r.Log.String(), "frames from the journal                       2")
	}, testharness.WaitTimeout, 10*time.Millisecond)
	sendUnorderedLoad(c, 4)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, r.Engines[0].Name, r.Requests("POST", "/")[3].Engine)
	r.WaitForLog("take effect at the next start\" keys=[seed]")
	r.Signal(syscall.SIGHUP) // a reload doesn't interrupt a graceful shutdown
	r.Signal(syscall.SIGTERM)
	r.Signal(syscall.SIGHUP)
	assert.NoError(t, <-r.Exited)
}

// During a graceful shutdown the health method responds unhealthy, new clients and open requests are still served, and
// the process exits without an error.
func TestGracefulShutdown(t *testing.T) {
	var release atomic.Bool
	r := start(t, 1, func(r *testharness.Harness, w http.ResponseWriter, c testharness.EngineRequest) {
		if !release.Load() {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		testharness.RespondResult(w, testharness.ResultRow)
	})
	existing := r.NewClient()
	sendUnorderedLoad(existing, 1)
	r.WaitForRequests(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	var c *testharness.Client // connects during the shutdown
	require.Eventually(t, func() bool { c = r.NewClient(); return !c.Healthy() },
		testharness.WaitTimeout, time.Millisecond)
	sendUnorderedLoad(c, 2)
	r.WaitForRequests(2, "POST", "/")
	release.Store(true)
	assert.Equal(t, "answer", c.ReadReply().Kind)
	assert.Equal(t, "answer", existing.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
	assert.Contains(t, r.Log.String(), "answers served                                2")
}

// A graceful shutdown answers requests whose queries don't end before the process may be killed.
func TestGracefulShutdownAnswersUnfinishedRequests(t *testing.T) {
	r := start(t, 1, testharness.SucceedAfterPolls(1000, testharness.ResultRow))
	c := r.NewClient()
	sendUnorderedLoad(c, 1)
	r.WaitForRequests(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	assert.Equal(t, "shed", c.ReadReply().Kind)
	assert.NoError(t, <-r.Exited)
}

// The error for an invalid configuration names the key.
func TestConfigurationErrorsNameTheKey(t *testing.T) {
	nodeConfig := func(settings map[string]any) map[string]any {
		return map[string]any{"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1", "settings": settings}
	}
	class := func(name string, extra map[string]any) any {
		c := map[string]any{"name": name, "repeat": "safe", "on_time": 1, "give_up": 5}
		maps.Copy(c, extra)
		return c
	}
	siteSettings := func(classes ...any) map[string]any {
		return map[string]any{"balancers": 1, "classes": classes, "host_types": []any{"k"}, "failure_domains": []any{"a"}}
	}
	with := func(s map[string]any, key string, value any) map[string]any { s[key] = value; return s }
	for key, config := range map[string]map[string]any{
		"settings.balancers": nodeConfig(map[string]any{}),
		"settings.classes":   nodeConfig(map[string]any{"balancers": 1}),
		"listen":             {"listen": "nowhere"},
		"journal":            {"listen": "127.0.0.1:0", "journal": "x"},
		"seed":               {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "?"},
		"limits.sockets": {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
			"limits": map[string]any{"sockets": 3}},
		"settings": {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1"},
		`settings.classes\[0\].name: "c" stands twice`: nodeConfig(siteSettings(class("c", nil), class("c", nil))),
		`settings.classes\[0\].window: class "c" is keyed`: nodeConfig(siteSettings(
			class("c", map[string]any{"repeat": "keyed", "group": "all"}))),
		`settings.tenants\[0\].name: "t" stands twice`: nodeConfig(with(siteSettings(class("c", nil)), "tenants",
			[]any{map[string]any{"name": "t"}, map[string]any{"name": "t"}})),
		"settings.rules.cold_from: 1.5": nodeConfig(with(siteSettings(class("c", nil)), "rules",
			map[string]any{"cold_from": 1.5})),
		`class "c": unknown repeat "odd"`: {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "seed": "1",
			"settings": map[string]any{"classes": []any{map[string]any{"name": "c", "repeat": "odd"}}}},
	} {
		r := &testharness.Harness{T: t, Program: program, Log: &testharness.LogBuffer{}, Exited: make(chan error, 1)}
		r.StartProcess(config)
		assert.Error(t, <-r.Exited)
		assert.Regexp(t, "config: .*"+key, r.Log.String())
	}
}
