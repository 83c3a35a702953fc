package main

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"chutechute/internal/history"
	"chutechute/internal/standin"
)

// budgets sets a fleet's.
func budgets(version int, list ...map[string]any) func(*standin.Fleet) {
	return func(f *standin.Fleet) {
		f.Section["budgets"] = map[string]any{"version": version, "lease_ms": 1000, "list": list}
	}
}

func quota(rate, burst float64) map[string]any {
	return map[string]any{"name": "quota", "tenant": "t", "rate": rate, "burst": burst}
}

// within is how long before an engine sees a query the front end may have spent for it: the quarter second for which that is
// good, and as much again for a loop and an engine that share a core with all others.
const within = 500_000

func ofTenant(e history.Event) float64 {
	if strings.Contains(e.Body, "tenant=t") {
		return 1
	}
	return 0
}

// spent fails the test where engines saw more than a rate allows, and gives how much of it they saw in a span.
func spent(t *testing.T, f *standin.Fleet, rate, burst float64, from, to int64) (share float64) {
	t.Helper()
	events := f.Record.Events()
	list := history.Spendings(events, within, ofTenant)
	for _, b := range history.CheckRate(list, rate, burst) {
		t.Errorf("%s", b)
		for _, e := range history.Around(events, b, 20) {
			t.Logf("  %s", e)
		}
	}
	n := 0.0
	for _, s := range list {
		if s.Event.At >= from && s.Event.At < to {
			n++
		}
	}
	share = n / (rate * float64(to-from) / 1e6)
	t.Logf("%.2f of the whole in use", share)
	return share
}

// A tenant asks three front ends for more than the fleet gives it. One machine is lost with its disk, and comes back: engines
// never see more than the whole, and the whole is in use again once the lost lease is over.
func TestHolderLostWithItsDisk(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting, budgets(1, quota(60, 12)))
	f.Leader(3)
	var all sync.WaitGroup
	stop := make(chan struct{})
	for i, n := range f.Fronts {
		n.Offer(&all, stop, "t", []float64{90, 40, 10}[i], 5)
	}
	time.Sleep(4 * time.Second)
	from := f.Record.Now()
	time.Sleep(3 * time.Second)
	to := f.Record.Now()
	f.Fronts[0].Kill(true)
	time.Sleep(2500 * time.Millisecond)
	from2 := f.Record.Now()
	time.Sleep(2 * time.Second)
	to2 := f.Record.Now()
	f.Fronts[0].Start()
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	assert.Greater(t, spent(t, f, 60, 12, from, to), 0.85, "of the whole before")
	assert.Greater(t, spent(t, f, 60, 12, from2, to2), 0.7, "of the whole after the loss, of which two ask for 50")
}
