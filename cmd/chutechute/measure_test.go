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

// cpuSeconds returns the processor time that the front end has used, in seconds. It advances in clock ticks of 10 ms.
func cpuSeconds(t *testing.T, r *testharness.Harness) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.Cmd.Process.Pid))
	require.NoError(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	return float64(user+system) / 100
}

// Measures the cost of authentication: requests per second and processor time per request without it, with tokens and
// with TLS; TLS handshakes per second; memory per idle connection; and the time until a new certificate is served. As a
// measurement it is not part of CI.
func TestIdentityCost(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	requests := 30_000
	plainMicros := 0.0
	run := func(name string, r *testharness.Harness, c *testharness.Client, fields func(n int) []string) {
		send := func(n int) {
			c.SendRequest("SELECT gate FROM ops_7.flights WHERE id = 4",
				append([]string{"call", testharness.RequestID(n), "op", "lookup", "ttl", "9000",
					"work", "10"}, fields(n)...)...)
		}
		require.NoError(t, c.Conn.SetDeadline(time.Now().Add(time.Minute)))
		before, started := cpuSeconds(t, r), time.Now()
		for n := range requests + 16 {
			if n < requests {
				send(n)
			}
			if n >= 16 {
				require.Equal(t, "answer", c.ReadReply().Kind)
			}
		}
		micros := (cpuSeconds(t, r) - before) / float64(requests) * 1e6
		if plainMicros == 0 {
			plainMicros = micros
		}
		t.Logf("%-28s %6.0f requests per second, %5.1f us of processor time each, %.2f times plain", name,
			float64(requests)/time.Since(started).Seconds(), micros, micros/plainMicros)
	}
	noFields := func(int) []string { return nil }
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
	run("plain", r, r.NewClient(), noFields)

	issuer := newTokenFixture(t)
	issuer.writeInstallation(defaultRights,
		"limits: { checks_per_s: 1e6, checks_per_address_per_s: 1e6, cache_tokens: 20000 }")
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	cachedToken := issuer.signToken("a", "desk-1", "")
	run("token, cached", r, r.NewClient(), func(int) []string { return []string{"token", cachedToken} })
	requests = 6000 // enough for ticks of 10 ms, as each costs more
	tokens := make([]string, requests)
	for n := range tokens {
		tokens[n] = issuer.signToken("a", "desk-1", fmt.Sprint(n))
	}
	run("token, not cached", r, r.NewClient(), func(n int) []string { return []string{"token", tokens[n]} })

	requests = 30_000
	tlsFront := newTLSFixture(t, "request", certificateRights)
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), tlsFront.useInstallation)
	config, _ := tlsFront.clientConfig("spiffe://town/desk/4", tlsFront.ca)
	run("mutual TLS", r, tlsFront.connect(r, config), noFields)
	tlsFront = newTLSFixture(t, "none", "")
	r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), tlsFront.useInstallation)
	config, _ = tlsFront.clientConfig("", tlsFront.ca)
	run("TLS", r, tlsFront.connect(r, config), noFields)

	for _, resumed := range []bool{false, true} {
		config, _ := tlsFront.clientConfig("", tlsFront.ca)
		if resumed {
			config.ClientSessionCache = tls.NewLRUClientSessionCache(8)
			require.True(t, tlsFront.connect(r, config).Healthy())
		}
		const handshakes = 400
		before, started := cpuSeconds(t, r), time.Now()
		for range handshakes {
			c := tlsFront.connect(r, config)
			if resumed {
				require.True(t, c.Healthy()) // receives the session ticket for the next handshake
			}
			c.Conn.Close()
		}
		t.Logf("handshakes, resumed %-5v       %6.0f per second one after another, %.0f us of processor time each", resumed,
			handshakes/time.Since(started).Seconds(), (cpuSeconds(t, r)-before)/handshakes*1e6)
	}

	for name, connect := range map[string]func(r *testharness.Harness, tlsFront *tlsFixture) *testharness.Client{
		"plain": func(r *testharness.Harness, _ *tlsFixture) *testharness.Client { return r.NewClient() },
		"TLS": func(r *testharness.Harness, tlsFront *tlsFixture) *testharness.Client {
			return tlsFront.connect(r, config)
		},
	} {
		r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow))
		if name == "TLS" {
			r = start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), tlsFront.useInstallation)
		}
		for range 20 {
			require.True(t, connect(r, tlsFront).Healthy())
		}
		before := r.PeakMemoryMB()
		const idle = 300
		for range idle {
			require.True(t, connect(r, tlsFront).Healthy())
		}
		t.Logf("idle connections, %-10s %6.1f KB of peak memory each", name, float64(r.PeakMemoryMB()-before)*1024/idle)
	}
	started := time.Now()
	leaf, err := tlsFront.ca.Leaf(certs.Request{Name: "front", DNS: []string{"front"}, Lifetime: time.Hour})
	require.NoError(t, err)
	require.NoError(t, leaf.Write(tlsFront.cert, tlsFront.key))
	for {
		c := tlsFront.connect(r, config)
		if c.Conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Cmp(leaf.Certificate.SerialNumber) == 0 {
			break
		}
		require.Less(t, time.Since(started), time.Minute)
	}
	t.Logf("new certificate served after %s, with files checked every 20 ms", time.Since(started).Round(time.Millisecond))
}

// Measures the response times of a caller with a valid token while another address sends 10,000 distinct invalid tokens
// per second, as a ratio to those without such load in the same run. As a measurement it is not part of CI.
func TestFloodAnswerTimes(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make measure")
	}
	issuer := newTokenFixture(t)
	r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), issuer.useInstallation)
	validToken := issuer.signToken("a", "desk-1", "")
	c := r.NewClient()
	require.NoError(t, c.Conn.SetDeadline(time.Now().Add(time.Minute)))
	n := 0
	responseTimes := func() (median, p99 time.Duration) {
		var durations []time.Duration
		for range 1500 {
			n++
			started := time.Now()
			sendWithToken(c, n, "lookup", "SELECT 1 FROM s_1.t", validToken)
			require.Equal(t, "answer", c.ReadReply().Kind)
			durations = append(durations, time.Since(started))
		}
		slices.Sort(durations)
		return durations[len(durations)/2], durations[len(durations)*99/100]
	}
	responseTimes()
	median, p99 := responseTimes()
	conn, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).Dial("tcp4", r.Addr)
	require.NoError(t, err)
	defer conn.Close()
	var sent, answers atomic.Int64
	var stop atomic.Bool
	go func() { // counts responses as fast as they arrive
		b := make([]byte, 64<<10)
		for {
			k, err := conn.Read(b)
			if err != nil {
				return
			}
			answers.Add(int64(bytes.Count(b[:k], []byte("never_ran"))))
		}
	}()
	started := time.Now()
	go func() {
		flooder := &testharness.Client{T: t, Conn: conn}
		for !stop.Load() {
			if due := int64(time.Since(started).Seconds() * 10_000); sent.Load() < due && sent.Load()-answers.Load() < 30 {
				k := sent.Add(1)
				sendWithToken(flooder, 1_000_000+int(k), "lookup", "SELECT 1 FROM s_1.t",
					fmt.Sprintf("%s%08d", validToken[:len(validToken)-8], k))
			} else {
				time.Sleep(50 * time.Microsecond)
			}
		}
	}()
	floodMedian, floodP99 := responseTimes()
	rate := float64(sent.Load()) / time.Since(started).Seconds()
	stop.Store(true)
	t.Logf("alone: median %s, 99%% %s; with %.0f invalid tokens per second: median %s (%.2f times), 99%% %s (%.2f times)",
		median, p99, rate,
		floodMedian, float64(floodMedian)/float64(median), floodP99, float64(floodP99)/float64(p99))
}
