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

	"chutechute/internal/standin"
)

// SIGHUP takes over a new journal address at once, from the last event known, while all goes on: it ended the
// program before. A file that can't be used is logged with its key and the old one stays in force.
func TestReload(t *testing.T) {
	r := start(t, 2, standin.Store(3, standin.Row))
	old, _ := r.Accept()
	_, err := old.Write(standin.Frame(42, 2, r.Engines[0].Record(1)))
	require.NoError(t, err)
	c := r.Client()
	for name, journal := range map[string]any{"config: journal: .*nowhere": "nowhere", "config: .*cannot unmarshal": 7} {
		load2(c, len(name))
		r.Config["journal"] = journal
		r.Write()
		r.Signal(syscall.SIGHUP)
		require.Eventually(t, func() bool { return regexp.MustCompile(name).MatchString(r.Log.String()) },
			standin.Patience, time.Millisecond)
		assert.Equal(t, "answer", c.Read().What)
	}
	journal, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer journal.Close()
	r.Journal, r.Config["journal"], r.Config["seed"] = journal, journal.Addr().String(), "77"
	r.Write()
	load2(c, 3)
	r.Await(3, "POST", "/")
	r.Signal(syscall.SIGHUP)
	conn, last := r.Accept()
	assert.EqualValues(t, 42, last)
	assert.True(t, r.Client().Healthy())
	_, err = old.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the old connection is kept")
	_, err = conn.Write(standin.Frame(43, 2, r.Engines[0].Record(0), r.Engines[1].Record(1)))
	require.NoError(t, err)
	assert.Equal(t, "answer", c.Read().What)
	require.Eventually(t, func() bool {
		r.Signal(syscall.SIGUSR1)
		return strings.Contains(r.Log.String(), "frames from the journal                       2")
	}, standin.Patience, 10*time.Millisecond)
	load2(c, 4)
	assert.Equal(t, "answer", c.Read().What)
	assert.Equal(t, r.Engines[0].Name, r.Got("POST", "/")[3].Engine)
	r.AwaitLog("take effect at the next start\" keys=[seed]")
	r.Signal(syscall.SIGHUP) // a planned end goes on whatever else is told
	r.Signal(syscall.SIGTERM)
	r.Signal(syscall.SIGHUP)
	assert.NoError(t, <-r.Exited)
}

// At a planned restart health turns bad, newcomers and open requests are served, and the exit is clean.
func TestPlannedRestart(t *testing.T) {
	var release atomic.Bool
	r := start(t, 1, func(r *standin.Rig, w http.ResponseWriter, c standin.Call) {
		if !release.Load() {
			time.Sleep(20 * time.Millisecond)
			w.WriteHeader(202)
			return
		}
		standin.Serve(w, standin.Row)
	})
	old := r.Client()
	load2(old, 1)
	r.Await(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	var c *standin.Client // a newcomer
	require.Eventually(t, func() bool { c = r.Client(); return !c.Healthy() }, standin.Patience, time.Millisecond)
	load2(c, 2)
	r.Await(2, "POST", "/")
	release.Store(true)
	assert.Equal(t, "answer", c.Read().What)
	assert.Equal(t, "answer", old.Read().What)
	assert.NoError(t, <-r.Exited)
	assert.Contains(t, r.Log.String(), "answers served                                2")
}

// What can't end before the process may be killed is answered all the same.
func TestPlannedRestartAnswersWhatCannotEnd(t *testing.T) {
	r := start(t, 1, standin.Store(1000, standin.Row))
	c := r.Client()
	load2(c, 1)
	r.Await(1, "POST", "/")
	r.Signal(syscall.SIGTERM)
	assert.Equal(t, "shed", c.Read().What)
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
		r := &standin.Rig{T: t, Program: program, Log: &standin.LockedBuffer{}, Exited: make(chan error, 1)}
		r.Run(config)
		assert.Error(t, <-r.Exited)
		assert.Regexp(t, "config: .*"+key, r.Log.String())
	}
}
