package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"chutechute/internal/procstat"
	"chutechute/internal/scale"
	"chutechute/internal/testharness"
)

// skipUnlessLong skips a measurement, which is not part of CI.
func skipUnlessLong(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
}

// processUsage is what a process uses of the machine.
type processUsage struct {
	processorTime                  time.Duration
	residentBytes, descriptorCount float64
}

// usageOf returns what a process uses now.
func usageOf(t *testing.T, pid int) (v processUsage) {
	var err error
	v.processorTime, err = procstat.ProcessorTime(pid)
	require.NoError(t, err)
	v.residentBytes, err = procstat.ResidentMemory(pid)
	require.NoError(t, err)
	v.descriptorCount, err = procstat.Descriptors(pid)
	require.NoError(t, err)
	return v
}

// micros returns a duration in microseconds.
func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// Limits and load of the front ends whose client connections are measured. The limits suffice for all sizes and are
// the same for each.
const (
	socketsPerClient  = 4 // limits.sockets per client connection; clients get a third of the limit
	capacityMemoryMB  = 768
	warmClients       = 20
	busyStatements    = 12_000
	busyClientDivisor = 10 // one in this many connections is busy
	stubEngines       = 8

	connectionsPerFrontEnd = 22_000_000 / 2700 // client connections per front end, from the users' figures
)

// connectClients opens connections and gets the answer to a health check on each: a front end may close a connection
// that has had no answer.
func connectClients(t *testing.T, count int, connect func() *testharness.Client) (list []*testharness.Client) {
	for range count {
		client := connect()
		require.True(t, client.Healthy())
		require.NoError(t, client.Conn.SetDeadline(time.Now().Add(5*time.Minute)))
		list = append(list, client)
	}
	return list
}

// maxConcurrentStatements is how many statements are in flight at most. A front end that has no estimates yet
// rejects part of a burst of hundreds, so that the rejections would be measured.
const maxConcurrentStatements = 64

// runLookups sends lookups over the clients in turn. As many are in flight as there are clients, but no more than
// maxConcurrentStatements.
func runLookups(t *testing.T, clients []*testharness.Client, statements int) {
	var generators sync.WaitGroup
	workers := min(maxConcurrentStatements, len(clients))
	each := statements / workers
	for n := range workers {
		generators.Go(func() {
			client := n
			for i := range each {
				clients[client].SendLookup(n*each+i+1, "5000")
				if p, err := clients[client].TryReadReply(); err != nil || p.Kind != "answer" {
					t.Errorf("connection %d, statement %d: %v, %v", client, i, p.Kind, err)
					return
				}
				if client += workers; client >= len(clients) {
					client = n
				}
			}
		})
	}
	generators.Wait()
	require.False(t, t.Failed())
}

// Measures what client connections cost a front end: idle ones, and with statements over a tenth of them.
func TestCapacityOfConnections(t *testing.T) {
	skipUnlessLong(t)
	result := procstat.NewResult("connections", fmt.Sprintf(
		"The real program, %d stub engines, limits.memory_mb %d; resident bytes and descriptors of all connections as "+
			"differences to %d connections, idle ones after one health check; then %d look-ups over a tenth of them, with "+
			"the front end's processor time; without the kernel's memory for sockets; two runs per size.",
		stubEngines, capacityMemoryMB, warmClients, busyStatements))
	for range 2 {
		for _, count := range []int{100, 300, 1000, 3000, connectionsPerFrontEnd} {
			r := start(t, stubEngines, testharness.SucceedAfterPolls(0, testharness.ResultRow),
				func(r *testharness.Harness) {
					r.SocketLimit, r.MemoryLimitMB = socketsPerClient*count+1024, capacityMemoryMB
				})
			pid := r.Cmd.Process.Pid
			runLookups(t, connectClients(t, warmClients, r.NewClient), 400)
			before := usageOf(t, pid)
			clients := connectClients(t, count, r.NewClient)
			time.Sleep(300 * time.Millisecond) // lets the front end finish its work on the last connections
			idle := usageOf(t, pid)
			runLookups(t, clients[:count/busyClientDivisor], busyStatements)
			busy := usageOf(t, pid)
			figures := map[string]float64{
				"idle resident bytes":    idle.residentBytes - before.residentBytes,
				"idle descriptors count": idle.descriptorCount - before.descriptorCount,
				"accept us":              micros(idle.processorTime-before.processorTime) / float64(count),
				"busy resident bytes":    busy.residentBytes - before.residentBytes,
				"statement processor us": micros(busy.processorTime-idle.processorTime) / busyStatements,
			}
			t.Logf("%5d connections: %v", count, figures)
			result.Points = append(result.Points, scale.Point{Axis: "connections", X: float64(count), Figures: figures})
			require.NoError(t, r.Cmd.Process.Kill())
			for _, client := range clients { // or the test process runs out of descriptors
				client.Conn.Close()
			}
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// Measures what idle TLS client connections cost a front end.
func TestCapacityOfTLSConnections(t *testing.T) {
	skipUnlessLong(t)
	result := procstat.NewResult("connections-tls", fmt.Sprintf(
		"The real program with TLS for clients, full handshakes, limits.memory_mb %d; resident bytes of all "+
			"connections as differences to %d connections, after one health check each; two runs per size.",
		capacityMemoryMB, warmClients))
	for range 2 {
		for _, count := range []int{100, 300, 1000, 2000} {
			fixture := newTLSFixture(t, "none", "")
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), fixture.useInstallation,
				func(r *testharness.Harness) {
					r.SocketLimit, r.MemoryLimitMB = socketsPerClient*count+1024, capacityMemoryMB
				})
			config, _ := fixture.clientConfig("", fixture.ca)
			connect := func() *testharness.Client { return fixture.connect(r, config) }
			connectClients(t, warmClients, connect)
			before := usageOf(t, r.Cmd.Process.Pid)
			connectClients(t, count, connect)
			time.Sleep(300 * time.Millisecond)
			idle := usageOf(t, r.Cmd.Process.Pid)
			figures := map[string]float64{
				"idle resident bytes": idle.residentBytes - before.residentBytes,
				"handshake us":        micros(idle.processorTime-before.processorTime) / float64(count),
			}
			t.Logf("%5d TLS connections: %v", count, figures)
			result.Points = append(result.Points, scale.Point{Axis: "TLS connections", X: float64(count), Figures: figures})
			require.NoError(t, r.Cmd.Process.Kill())
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// Measures what a reload costs a front end, by the number of engines and of tenants in its configuration.
func TestCapacityOfReloads(t *testing.T) {
	skipUnlessLong(t)
	result := procstat.NewResult("reloads", "SIGHUP to the log line of the reload, seen each millisecond; processor time "+
		"of the front end per reload; the mean of five; two runs per size. The settings take effect at the next start only.")
	const reloads = 5
	for range 2 {
		for _, axis := range []string{"engines", "tenants"} {
			for _, count := range []int{64, 1024, 8192, 34000} {
				r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
					r.MemoryLimitMB = capacityMemoryMB
					if axis == "tenants" {
						r.Settings["tenants"] = tenantSettings(count)
					}
				})
				if axis == "engines" {
					r.NodeConfig["known"] = engineList(count)
				}
				r.WriteNodeConfig()
				info, err := os.Stat(r.NodeConfigPath)
				require.NoError(t, err)
				before, startedAt := usageOf(t, r.Cmd.Process.Pid), time.Now()
				for n := range reloads {
					r.Signal(syscall.SIGHUP)
					waitForReloads(t, r, n+1)
				}
				span := time.Since(startedAt) / reloads
				after := usageOf(t, r.Cmd.Process.Pid)
				figures := map[string]float64{
					"reload ms":           ms(span),
					"reload processor us": micros(after.processorTime-before.processorTime) / reloads,
					"file bytes":          float64(info.Size()),
					"resident more bytes": after.residentBytes - before.residentBytes,
				}
				t.Logf("%5d %s: %v", count, axis, figures)
				result.Points = append(result.Points, scale.Point{Axis: axis, X: float64(count), Figures: figures})
				require.NoError(t, r.Cmd.Process.Kill())
			}
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// tenantSettings returns the settings of the given number of tenants, one of which is "t".
func tenantSettings(count int) (list []any) {
	for i := range count {
		name := fmt.Sprintf("tenant-%05d", i)
		if i == 0 {
			name = "t"
		}
		list = append(list, map[string]any{"name": name, "quota_per_s": 10, "share": 1})
	}
	return list
}

// engineList returns the value of "known" in a configuration that lists the given number of engines.
func engineList(count int) any {
	var targets []any
	for i := range count {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", i),
			"endpoint": fmt.Sprintf("127.1.%d.%d:8080", i>>8, i&255),
			"az":       "a", "model": "k", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	hosts := map[string]any{"rev": 1, "all": true, "targets": targets}
	return map[string]any{"pos": 41, "entries": []any{map[string]any{"pos": 41, "hosts": hosts}}}
}

// waitForReloads waits until the front end has logged the given number of reloads.
func waitForReloads(t *testing.T, r *testharness.Harness, count int) {
	require.Eventually(t, func() bool {
		return strings.Count(r.Log.String(), `msg="configuration reloaded"`) >= count
	}, testharness.WaitTimeout, time.Millisecond, "%s", r.Log)
}

// Measures what loads cost the front ends that replicate them, by the number of concurrent clients, and how many
// bytes they take in the replicated state.
func TestCapacityOfLoads(t *testing.T) {
	skipUnlessLong(t)
	result := procstat.NewResult("loads", "Three processes of the real program on one machine, replicated log in memory "+
		"only, stub engines that answer at once; processor time of the front ends, including the leader; two runs per size.")
	for range 2 {
		f := testharness.NewFleet(t, program, 3)
		f.WaitForLeader(3)
		measureLoads(t, f, "warm", 3, 20)
		for _, clients := range []int{3, 12, 48, 96} {
			leader := f.WaitForLeader(3)
			totalCPU := func() (sum time.Duration) {
				for _, n := range f.FrontEnds {
					sum += usageOf(t, n.Cmd.Process.Pid).processorTime
				}
				return sum
			}
			loads := max(60, 2400/clients) * clients
			startedAt, committed, totalBefore, leaderBefore :=
				time.Now(), commitCount(f), totalCPU(), usageOf(t, leader.Cmd.Process.Pid).processorTime
			served := len(measureLoads(t, f, fmt.Sprintf("many-%d", clients), clients, loads/clients))
			span := time.Since(startedAt).Seconds()
			figures := map[string]float64{
				"loads /s":              float64(served) / span,
				"commits /s":            (commitCount(f) - committed) / span,
				"a load, commits count": (commitCount(f) - committed) / float64(served),
				"a load, leader us": micros(usageOf(t, leader.Cmd.Process.Pid).processorTime-leaderBefore) /
					float64(served),
				"a load, all front ends us": micros(totalCPU()-totalBefore) / float64(served),
			}
			t.Logf("%3d clients: %v", clients, figures)
			result.Points = append(result.Points, scale.Point{Axis: "clients", X: float64(clients), Figures: figures})
			status := f.WaitForLeader(3).RawStatus()
			loadCount, bytes := status["loads"].(float64), status["load_bytes"].(float64)
			result.Points = append(result.Points, scale.Point{Axis: "loads on record", X: loadCount,
				Figures: map[string]float64{"record bytes": bytes}})
			t.Logf("%.0f loads in the replicated state, %.0f bytes", loadCount, bytes)
		}
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// Measures how long no load is served after the leader of the replicated log is lost with its disk, by the number of
// front ends.
func TestCapacityOfPrimaryChanges(t *testing.T) {
	skipUnlessLong(t)
	const changes = 8
	result := procstat.NewResult("primary-changes", fmt.Sprintf("Processes of the real program, the "+
		"replicated log in memory only; from the kill of the leader's process to the answer of a load through another "+
		"front end, %d times per run, the killed leader started again after each; two runs per size.", changes))
	for range 2 {
		for _, frontEnds := range []int{3, 5, 9, 15} {
			gaps := leaderChangeGaps(t, frontEnds, changes)
			median, _ := quantiles(gaps)
			figures := map[string]float64{"median ms": ms(median), "most ms": ms(gaps[len(gaps)-1])}
			t.Logf("%2d front ends: %v", frontEnds, figures)
			result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(frontEnds), Figures: figures})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// leaderChangeGaps kills the leader of the replicated log the given number of times, and returns for each how long no
// load was served.
func leaderChangeGaps(t *testing.T, frontEnds, changes int) (gaps []time.Duration) {
	f := testharness.NewFleet(t, program, frontEnds)
	for round := range changes {
		leader := f.WaitForLeader(3) // the default number of replicas
		other := f.FrontEnds[(leader.Index+1)%frontEnds]
		leader.Kill(true)
		killed := time.Now()
		sendUntilServed(t, f, other, newLoad(fmt.Sprintf("after-%d", round), "", 0))
		gaps = append(gaps, time.Since(killed))
		leader.Start()
	}
	for _, n := range f.FrontEnds {
		n.Kill(true)
	}
	return gaps
}
