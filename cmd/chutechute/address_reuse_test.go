package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/testharness"
)

// States of an engine in records of the discovery service.
const (
	stateServing = 0
	stateRemoved = 2
)

// Guards against work for an engine that has gone and whose address a new engine has: the new process was sent it,
// beside its own, until the discovery service had told the end of the old one.
func TestNewEngineAtAListedAddress(t *testing.T) {
	for name, form := range map[string]struct {
		removeInSameEvent bool
		running           bool // a query runs on the old engine when the new one is listed
	}{
		"old engine still listed":                 {},
		"old engine still listed, a query runs":   {running: true},
		"old engine removed in the same event":    {removeInSameEvent: true},
		"removed in the same event, a query runs": {removeInSameEvent: true, running: true},
	} {
		t.Run(name, func(t *testing.T) {
			polls := 0
			if form.running {
				polls = 10
			}
			r := start(t, 1, testharness.SucceedAfterPolls(polls, testharness.ResultRow),
				func(r *testharness.Harness) { r.Args = []string{"serve", "--log-level", "debug"} })
			watch, last := r.AcceptDiscovery()
			old := r.Engines[0]
			successor := &testharness.StubEngine{Name: "s-000000ff", Addr: old.Addr}
			c := r.NewClient()
			c.SendLookup(1, "5000")
			r.WaitForRequests(1, "POST", "/")
			records := [][]byte{successor.DiscoveryRecord(stateServing)}
			if form.removeInSameEvent {
				records = append(records, old.DiscoveryRecord(stateRemoved))
			}
			_, err := watch.Write(testharness.DiscoveryFrame(last+1, 2, records...))
			require.NoError(t, err)
			r.WaitForLog("engine=" + successor.Name)
			before := len(r.Log.String())
			for n := range 20 {
				c.SendLookup(100+n, "5000")
				time.Sleep(20 * time.Millisecond)
			}
			for range 21 {
				assert.Equal(t, "answer", c.ReadReply().Kind)
			}
			sent := strings.Count(r.Log.String()[before:], `msg="attempt started"`)
			toOld := 0
			for line := range strings.Lines(r.Log.String()[before:]) {
				if strings.Contains(line, `msg="attempt started"`) && strings.Contains(line, "engine="+old.Name) {
					toOld++
				}
			}
			t.Logf("%d of %d attempts for the old engine were sent to the new process", toOld, sent)
			assert.Zero(t, toOld)
		})
	}
}
