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

// longOnly skips what measures: it is no part of CI.
func longOnly(t *testing.T) {
	if os.Getenv("CHUTECHUTE_LONG") == "" {
		t.Skip("measures: make scale-full")
	}
}

// taken is what a process has taken of the machine.
type taken struct {
	processor                      time.Duration
	residentBytes, descriptorCount float64
}

func takenBy(t *testing.T, pid int) (v taken) {
	var err error
	v.processor, err = procstat.ProcessorTime(pid)
	require.NoError(t, err)
	v.residentBytes, err = procstat.ResidentMemory(pid)
	require.NoError(t, err)
	v.descriptorCount, err = procstat.Descriptors(pid)
	require.NoError(t, err)
	return v
}

// micros is a span in microseconds.
func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

// The limits of front ends whose connections are counted: large enough for all sizes, and the same for each.
const (
	socketsEach    = 4 // limits.sockets a client connection, of which clients get a third
	capacityMB     = 768
	warmClients    = 20
	busyStatements = 12_000
	busyOneIn      = 10 // of the connections
	standInEngines = 8

	usersConnections = 22_000_000 / 2700 // of a front end, by the users' list
)

// connected gives so many connections that have been answered once, so that they may stay.
func connected(t *testing.T, count int, connect func() *testharness.Client) (list []*testharness.Client) {
	for range count {
		client := connect()
		require.True(t, client.Healthy())
		require.NoError(t, client.Conn.SetDeadline(time.Now().Add(5*time.Minute)))
		list = append(list, client)
	}
	return list
}

// atOnce is how many statements run at a time at most: a herd of hundreds is refused in part by a front end that knows no usual answer
// time yet, and would measure refusals.
const atOnce = 64

// askAll sends so many look-ups, over each client in turn, as many at once as there are clients, but no more than atOnce.
func askAll(t *testing.T, clients []*testharness.Client, statements int) {
	var all sync.WaitGroup
	workers := min(atOnce, len(clients))
	each := statements / workers
	for n := range workers {
		all.Go(func() {
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
	all.Wait()
	require.False(t, t.Failed())
}

// What client connections cost a front end: idle, and with statements over a tenth of them; long.
func TestCapacityOfConnections(t *testing.T) {
	longOnly(t)
	result := procstat.NewResult("connections", fmt.Sprintf("The real program, %d stand-in engines, limits.memory_mb %d; all connections' "+
		"resident bytes and descriptors as differences to %d connections, idle ones after one health call; then %d look-ups over a "+
		"tenth of them, with the front end's processor time; the kernel's memory for sockets is not in it; two runs a size.",
		standInEngines, capacityMB, warmClients, busyStatements))
	for range 2 {
		for _, count := range []int{100, 300, 1000, 3000, usersConnections} {
			r := start(t, standInEngines, testharness.SucceedAfterPolls(0, testharness.ResultRow),
				func(r *testharness.Harness) { r.SocketLimit, r.MemoryLimitMB = socketsEach*count+1024, capacityMB })
			pid := r.Cmd.Process.Pid
			askAll(t, connected(t, warmClients, r.NewClient), 400)
			before := takenBy(t, pid)
			clients := connected(t, count, r.NewClient)
			time.Sleep(300 * time.Millisecond) // what the last of them left to do
			idle := takenBy(t, pid)
			askAll(t, clients[:count/busyOneIn], busyStatements)
			busy := takenBy(t, pid)
			figures := map[string]float64{
				"idle resident bytes":    idle.residentBytes - before.residentBytes,
				"idle descriptors count": idle.descriptorCount - before.descriptorCount,
				"accept us":              micros(idle.processor-before.processor) / float64(count),
				"busy resident bytes":    busy.residentBytes - before.residentBytes,
				"statement processor us": micros(busy.processor-idle.processor) / busyStatements,
			}
			t.Logf("%5d connections: %v", count, figures)
			result.Points = append(result.Points, scale.Point{Axis: "connections", X: float64(count), Figures: figures})
			require.NoError(t, r.Cmd.Process.Kill())
			for _, client := range clients { // or this process runs out of descriptors
				client.Conn.Close()
			}
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// What idle client connections by TLS cost a front end; long.
func TestCapacityOfTLSConnections(t *testing.T) {
	longOnly(t)
	result := procstat.NewResult("connections-tls", fmt.Sprintf("The real program with TLS for clients, whole handshakes, limits.memory_mb %d; "+
		"all connections' resident bytes as differences to %d connections, after one health call each; two runs a size.",
		capacityMB, warmClients))
	for range 2 {
		for _, count := range []int{100, 300, 1000, 2000} {
			town := newTLSFixture(t, "none", "")
			r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), town.useInstallation,
				func(r *testharness.Harness) { r.SocketLimit, r.MemoryLimitMB = socketsEach*count+1024, capacityMB })
			config, _ := town.clientConfig("", town.ca)
			connect := func() *testharness.Client { return town.connect(r, config) }
			connected(t, warmClients, connect)
			before := takenBy(t, r.Cmd.Process.Pid)
			connected(t, count, connect)
			time.Sleep(300 * time.Millisecond)
			idle := takenBy(t, r.Cmd.Process.Pid)
			figures := map[string]float64{
				"idle resident bytes": idle.residentBytes - before.residentBytes,
				"handshake us":        micros(idle.processor-before.processor) / float64(count),
			}
			t.Logf("%5d TLS connections: %v", count, figures)
			result.Points = append(result.Points, scale.Point{Axis: "TLS connections", X: float64(count), Figures: figures})
			require.NoError(t, r.Cmd.Process.Kill())
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// What a reload costs a front end, by engines and by tenants in its configuration; long.
func TestCapacityOfReloads(t *testing.T) {
	longOnly(t)
	result := procstat.NewResult("reloads", "SIGHUP to the log's word that the configuration is in force, seen each millisecond; processor time "+
		"of the front end for one; the mean of five; two runs a size. settings themselves take effect at the next start only.")
	const reloads = 5
	for range 2 {
		for _, axis := range []string{"engines", "tenants"} {
			for _, count := range []int{64, 1024, 8192, 34000} {
				r := start(t, 1, testharness.SucceedAfterPolls(0, testharness.ResultRow), func(r *testharness.Harness) {
					r.MemoryLimitMB = capacityMB
					if axis == "tenants" {
						r.Settings["tenants"] = manyTenants(count)
					}
				})
				if axis == "engines" {
					r.NodeConfig["known"] = manyKnown(count)
				}
				r.WriteNodeConfig()
				info, err := os.Stat(r.NodeConfigPath)
				require.NoError(t, err)
				before, began := takenBy(t, r.Cmd.Process.Pid), time.Now()
				for n := range reloads {
					r.Signal(syscall.SIGHUP)
					awaitReloads(t, r, n+1)
				}
				span := time.Since(began) / reloads
				after := takenBy(t, r.Cmd.Process.Pid)
				figures := map[string]float64{
					"reload ms":           ms(span),
					"reload processor us": micros(after.processor-before.processor) / reloads,
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

// manyTenants are the settings' tenants, "t" among them.
func manyTenants(count int) (list []any) {
	for i := range count {
		name := fmt.Sprintf("tenant-%05d", i)
		if i == 0 {
			name = "t"
		}
		list = append(list, map[string]any{"name": name, "quota_per_s": 10, "share": 1})
	}
	return list
}

// manyKnown is a configuration's list of so many engines.
func manyKnown(count int) any {
	var targets []any
	for i := range count {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%08x", i), "endpoint": fmt.Sprintf("127.1.%d.%d:8080", i>>8, i&255),
			"az": "a", "model": "k", "pod_group": 0, "state": "in_service", "capacity_hint": 1, "boot_ms": 0})
	}
	hosts := map[string]any{"rev": 1, "all": true, "targets": targets}
	return map[string]any{"pos": 41, "entries": []any{map[string]any{"pos": 41, "hosts": hosts}}}
}

// awaitReloads waits until the front end's log tells of so many reloads.
func awaitReloads(t *testing.T, r *testharness.Harness, count int) {
	require.Eventually(t, func() bool {
		return strings.Count(r.Log.String(), "msg=reloaded") >= count
	}, testharness.WaitTimeout, time.Millisecond, "%s", r.Log)
}

// What loads on record cost the processes that keep it, by clients at once, and what they take there; long.
func TestCapacityOfLoads(t *testing.T) {
	longOnly(t)
	result := procstat.NewResult("loads", "Three processes of the real program, the record in memory only, stand-in engines that answer at once, "+
		"all on one machine; processor time of the front ends, the leader's among it; two runs a size.")
	for range 2 {
		f := testharness.NewFleet(t, program, 3)
		f.WaitForLeader(3)
		times(t, f, "warm", 3, 20)
		for _, clients := range []int{3, 12, 48, 96} {
			leader := f.WaitForLeader(3)
			all := func() (sum time.Duration) {
				for _, n := range f.FrontEnds {
					sum += takenBy(t, n.Cmd.Process.Pid).processor
				}
				return sum
			}
			loads := max(60, 2400/clients) * clients
			began, committed, allBefore, leaderBefore := time.Now(), commits(f), all(), takenBy(t, leader.Cmd.Process.Pid).processor
			served := len(times(t, f, fmt.Sprintf("many-%d", clients), clients, loads/clients))
			span := time.Since(began).Seconds()
			figures := map[string]float64{
				"loads /s":                  float64(served) / span,
				"commits /s":                (commits(f) - committed) / span,
				"a load, commits count":     (commits(f) - committed) / float64(served),
				"a load, leader us":         micros(takenBy(t, leader.Cmd.Process.Pid).processor-leaderBefore) / float64(served),
				"a load, all front ends us": micros(all()-allBefore) / float64(served),
			}
			t.Logf("%3d clients: %v", clients, figures)
			result.Points = append(result.Points, scale.Point{Axis: "clients", X: float64(clients), Figures: figures})
			status := f.WaitForLeader(3).RawStatus()
			held, bytes := status["loads"].(float64), status["load_bytes"].(float64)
			result.Points = append(result.Points, scale.Point{Axis: "loads on record", X: held,
				Figures: map[string]float64{"record bytes": bytes}})
			t.Logf("%.0f loads on record, %.0f bytes", held, bytes)
		}
		for _, n := range f.FrontEnds {
			n.Kill(true)
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// How long no load is served after the front end that leads the record is lost with what it holds, by front ends; long.
func TestCapacityOfPrimaryChanges(t *testing.T) {
	longOnly(t)
	const changes = 8
	result := procstat.NewResult("primary-changes", fmt.Sprintf("Processes of the real program, the record in memory only; from the kill of the "+
		"leader's process to the answer of a load through another front end, %d times a run, a dead leader started again after each; "+
		"two runs a size.", changes))
	for range 2 {
		for _, frontEnds := range []int{3, 5, 9, 15} {
			gaps := primaryChanges(t, frontEnds, changes)
			median, _ := quantiles(gaps)
			figures := map[string]float64{"median ms": ms(median), "most ms": ms(gaps[len(gaps)-1])}
			t.Logf("%2d front ends: %v", frontEnds, figures)
			result.Points = append(result.Points, scale.Point{Axis: "front ends", X: float64(frontEnds), Figures: figures})
		}
	}
	require.NoError(t, procstat.SaveResult(result))
}

// primaryChanges loses the leader of a fleet's record so many times, and gives how long no load was served after each.
func primaryChanges(t *testing.T, frontEnds, changes int) (gaps []time.Duration) {
	f := testharness.NewFleet(t, program, frontEnds)
	for round := range changes {
		leader := f.WaitForLeader(3) // copies, by default
		other := f.FrontEnds[(leader.Index+1)%frontEnds]
		leader.Kill(true)
		killed := time.Now()
		insist(t, f, other, load(fmt.Sprintf("after-%d", round), "", 0))
		gaps = append(gaps, time.Since(killed))
		leader.Start()
	}
	for _, n := range f.FrontEnds {
		n.Kill(true)
	}
	return gaps
}
