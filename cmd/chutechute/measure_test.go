package main

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/certs"
	"chutechute/internal/testharness"
)

// cpu is the processor time that the front end has used, in clock ticks of 10 ms.
func cpu(t *testing.T, r *testharness.Harness) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.Cmd.Process.Pid))
	require.NoError(t, err)
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, err := strconv.Atoi(f[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(f[12])
	require.NoError(t, err)
	return float64(user+system) / 100
}

// What identity costs: requests a second and processor time for each, plain, with tokens and with TLS; handshakes a second;
// memory for each idle connection. It measures, so it is no part of CI.
func TestIdentityCost(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	requests := 30_000
	base := 0.0
	run := func(name string, r *testharness.Harness, c *testharness.Client, fields func(n int) []string) {
		ask := func(n int) {
			c.SendRequest("SELECT gate FROM ops_7.flights WHERE id = 4", append([]string{"call", testharness.RequestID(n), "op", "lookup", "ttl", "9000",
				"work", "10"}, fields(n)...)...)
		}
		require.NoError(t, c.Conn.SetDeadline(time.Now().Add(time.Minute)))
		before, began := cpu(t, r), time.Now()
		for n := range requests + 16 {
			if n < requests {
				ask(n)
			}
			if n >= 16 {
				require.Equal(t, "answer", c.ReadReply().Kind)
			}
		}
		each := (cpu(t, r) - before) / float64(requests) * 1e6
		if base == 0 {
			base = each
		}
		t.Logf("%-28s %6.0f requests a second, %5.1f us of the core each, %.2f times plain", name,
			float64(requests)/time.Since(began).Seconds(), each, each/base)
	}
	none := func(int) []string { return nil }
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	run("plain", r, r.NewClient(), none)

	o := newOffice(t)
	o.write(rightsOfAll, "limits: { checks_per_s: 1e6, checks_per_address_per_s: 1e6, cache_tokens: 20000 }")
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	one := o.sign("a", "desk-1", "")
	run("token, cached", r, r.NewClient(), func(int) []string { return []string{"token", one} })
	requests = 6000 // ticks of 10 ms are fine enough for what costs more
	many := make([]string, requests)
	for n := range many {
		many[n] = o.sign("a", "desk-1", fmt.Sprint(n))
	}
	run("token, not cached", r, r.NewClient(), func(n int) []string { return []string{"token", many[n]} })

	requests = 30_000
	w := newTown(t, "request", townRights)
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	config, _ := w.client("spiffe://town/desk/4", w.ca)
	run("mutual TLS", r, w.must(r, config), none)
	w = newTown(t, "none", "")
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
	config, _ = w.client("", w.ca)
	run("TLS", r, w.must(r, config), none)

	for _, resumed := range []bool{false, true} {
		config, _ := w.client("", w.ca)
		if resumed {
			config.ClientSessionCache = tls.NewLRUClientSessionCache(8)
			require.True(t, w.must(r, config).Healthy())
		}
		const shakes = 400
		before, began := cpu(t, r), time.Now()
		for range shakes {
			c := w.must(r, config)
			if resumed {
				require.True(t, c.Healthy()) // which brings the next ticket
			}
			c.Conn.Close()
		}
		t.Logf("handshakes, resumed %-5v       %6.0f a second one after another, %.0f us of the core each", resumed,
			shakes/time.Since(began).Seconds(), (cpu(t, r)-before)/shakes*1e6)
	}

	for name, connect := range map[string]func(r *testharness.Harness, w *town) *testharness.Client{
		"plain": func(r *testharness.Harness, _ *town) *testharness.Client { return r.NewClient() },
		"TLS":   func(r *testharness.Harness, w *town) *testharness.Client { return w.must(r, config) },
	} {
		r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
		if name == "TLS" {
			r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), w.installed)
		}
		for range 20 {
			require.True(t, connect(r, w).Healthy())
		}
		before := r.PeakMemoryMB()
		const idle = 300
		for range idle {
			require.True(t, connect(r, w).Healthy())
		}
		t.Logf("idle connections, %-10s %6.1f KB each (of the peak)", name, float64(r.PeakMemoryMB()-before)*1024/idle)
	}
	began := time.Now()
	leaf, err := w.ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, For: time.Hour})
	require.NoError(t, err)
	require.NoError(t, leaf.Write(w.cert, w.key))
	for {
		c := w.must(r, config)
		if c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Cmp(leaf.Certificate.SerialNumber) == 0 {
			break
		}
		require.Less(t, time.Since(began), time.Minute)
	}
	t.Logf("a pair's change to its force: %s, with a look each 20 ms", time.Since(began).Round(time.Millisecond))
}

// Answer times of a good caller beside 10,000 distinct bad tokens a second from another address, as a ratio to those without, in
// one run. It measures, so it is no part of CI.
func TestFloodAnswerTimes(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	o := newOffice(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), o.installed)
	good := o.sign("a", "desk-1", "")
	c := r.NewClient()
	require.NoError(t, c.Conn.SetDeadline(time.Now().Add(time.Minute)))
	n := 0
	times := func() (median, most time.Duration) {
		var all []time.Duration
		for range 1500 {
			n++
			began := time.Now()
			with(c, n, "lookup", "SELECT 1 FROM s_1.t", good)
			require.Equal(t, "answer", c.ReadReply().Kind)
			all = append(all, time.Since(began))
		}
		slices.Sort(all)
		return all[len(all)/2], all[len(all)*99/100]
	}
	times()
	median, most := times()
	conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).Dial("tcp4", r.Addr)
	require.NoError(t, err)
	defer conn.Close()
	var sent, answers atomic.Int64
	var stop atomic.Bool
	go func() { // reads at full speed
		b := make([]byte, 64<<10)
		for {
			k, err := conn.Read(b)
			if err != nil {
				return
			}
			answers.Add(int64(bytes.Count(b[:k], []byte("never_ran"))))
		}
	}()
	began := time.Now()
	go func() {
		bad := &testharness.Client{T: t, Conn: conn}
		for !stop.Load() {
			if want := int64(time.Since(began).Seconds() * 10_000); sent.Load() < want && sent.Load()-answers.Load() < 30 {
				k := sent.Add(1)
				with(bad, 1_000_000+int(k), "lookup", "SELECT 1 FROM s_1.t", fmt.Sprintf("%s%08d", good[:len(good)-8], k))
			} else {
				time.Sleep(50 * time.Microsecond)
			}
		}
	}()
	floodMedian, floodMost := times()
	rate := float64(sent.Load()) / time.Since(began).Seconds()
	stop.Store(true)
	t.Logf("alone: median %s, 99%% %s; beside %.0f bad tokens a second: median %s (%.2f times), 99%% %s (%.2f times)", median, most, rate,
		floodMedian, float64(floodMedian)/float64(median), floodMost, float64(floodMost)/float64(most))
}
