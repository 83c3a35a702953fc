package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/history"
	"chutechute/internal/testharness"
)

// newLoad returns a load with an idempotency key and an order key ("" for none) that runs for runTimeMS milliseconds.
func newLoad(idempotencyKey, orderKey string, runTimeMS int) testharness.LoadRequest {
	return testharness.LoadRequest{IdempotencyKey: idempotencyKey, OrderKey: orderKey,
		Statement: fmt.Sprintf("INSERT INTO s_1.t -- ms=%d", runTimeMS), ClientTimeout: 8 * time.Second}
}

// withDurableStorage has control members store the replicated log on disk.
func withDurableStorage(f *testharness.Fleet) { f.Durable = true }

// sendUntilServed repeats a load through a front end until it is served, and returns the response.
func sendUntilServed(
	t *testing.T, f *testharness.Fleet, n *testharness.FrontEnd, load testharness.LoadRequest,
) testharness.Reply {
	t.Helper()
	for end := time.Now().Add(testharness.WaitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if reply := f.SendLoad(n, load); reply.Kind == history.Succeeded {
			return reply
		}
	}
	require.Fail(t, "not served", "%+v through %s", load, n.Name)
	return testharness.Reply{}
}

// Known outcomes must survive the loss of every machine that held them, if one is lost at a time. The front ends
// hold the replicated log in memory only. Each is killed and replaced in turn, until no original process is left.
// Each outcome that a client got is found through every front end with the same rows, and no load runs again.
func TestMachineLostWithItsDisk(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3)
	f.WaitForLeader(3)
	outcomes := map[string]string{}
	for round, n := range f.FrontEnds {
		load := newLoad(fmt.Sprintf("once-%d", round), "k", 30)
		outcomes[load.IdempotencyKey] = sendUntilServed(t, f, n, load).Rows()
		n.Kill(true)
		for _, other := range f.FrontEnds {
			if other != n {
				for idempotencyKey, rows := range outcomes {
					assert.Equal(t, rows, sendUntilServed(t, f, other, newLoad(idempotencyKey, "k", 30)).Rows())
				}
			}
		}
		n.Start()
		f.WaitForLeader(3)
	}
	assert.Len(t, history.Executions(f.History.Events()), 3)
	f.CheckHistory()
}

// A load must not run twice concurrently, nor after a client got its outcome, when its owner is lost with its disk
// and the client repeats it through another front end. The owner is killed in each phase of a load. The repeat of
// a load that is still queued, or whose client got its outcome, must be served.
func TestOwnerLostAtEachPoint(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	phases := []struct {
		name         string
		waitFor      func(idempotencyKey string) // waits until the load is in this phase
		mustBeServed bool                        // the repeat must be served
	}{
		{"received", func(string) { time.Sleep(2 * time.Millisecond) }, false},
		{"waiting", func(string) { time.Sleep(200 * time.Millisecond) }, true},
		{"started", func(idempotencyKey string) {
			f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && e.IdempotencyKey == idempotencyKey
			})
		}, false},
		{"finished at the engine", func(idempotencyKey string) {
			f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.ExecutionFinished && e.IdempotencyKey == idempotencyKey
			})
		}, false},
		{"answered", func(idempotencyKey string) {
			f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.RequestEnded && e.IdempotencyKey == idempotencyKey
			})
		}, true},
	}
	for i, phase := range phases {
		owner, other := f.FrontEnds[i%3], f.FrontEnds[(i+1)%3]
		f.LogStep("phase: %s", phase.name)
		key := fmt.Sprintf("key-%d", i)
		var first sync.WaitGroup
		if phase.name == "waiting" { // behind a load that another front end runs
			first.Go(func() { f.SendLoad(f.FrontEnds[(i+2)%3], newLoad("before", key, 800)) })
			f.WaitForEvent(func(e history.Event) bool {
				return e.Kind == history.ExecutionStarted && e.IdempotencyKey == "before"
			})
		}
		load := newLoad("once-"+fmt.Sprint(i), key, 100)
		first.Go(func() { f.SendLoad(owner, load) })
		phase.waitFor(load.IdempotencyKey)
		owner.Kill(true)
		if phase.mustBeServed {
			sendUntilServed(t, f, other, load)
		} else {
			f.SendLoad(other, load)
		}
		first.Wait()
		owner.Start()
		f.WaitForLeader(3)
	}
	f.CheckHistory()
}

// A load that is sent concurrently through all front ends must run once, with the same rows for every client. The
// same key with another statement is rejected, and a log line names the key.
func TestConcurrentRepeatsAndReusedKey(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	var clients sync.WaitGroup
	rows := make([]string, 6)
	for i := range rows {
		clients.Go(func() {
			if reply := f.SendLoad(f.FrontEnds[i%3], newLoad("once", "k", 300)); reply.Kind == history.Succeeded {
				rows[i] = reply.Rows()
			}
		})
	}
	clients.Wait()
	for _, got := range rows {
		assert.NotEmpty(t, got)
		assert.Equal(t, rows[0], got)
	}
	assert.Len(t, history.Executions(f.History.Events()), 1)
	reused := newLoad("once", "k", 301)
	assert.Equal(t, history.Rejected, f.SendLoad(f.FrontEnds[1], reused).Kind)
	f.FrontEnds[1].WaitForLog(`reused with another statement.*idempotency_key=once`)
	f.CheckHistory()
}

// Without a majority a load that has not started must be rejected, and one whose outcome cannot be committed by its
// deadline must fail; lookups are served as before. With a majority again, the outcome is found through every front
// end.
func TestNoMajority(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	n := f.FrontEnds[0]
	var clients sync.WaitGroup
	clients.Go(func() {
		load := newLoad("under-way", "k", 1500)
		load.ClientTimeout = 3 * time.Second
		assert.Equal(t, history.Failed, f.SendLoad(n, load).Kind)
	})
	f.WaitForEvent(func(e history.Event) bool { return e.Kind == history.ExecutionStarted })
	f.SetPartition(true, f.FrontEnds[:1], f.FrontEnds[1:])
	f.SetPartition(true, f.FrontEnds[1:2], f.FrontEnds[2:])
	load := newLoad("new", "", 10)
	load.ClientTimeout = 2 * time.Second
	assert.Equal(t, history.Rejected, f.SendLoad(n, load).Kind)
	lookup := n.SendLookup()
	assert.Equal(t, history.Succeeded, lookup)
	clients.Wait()
	f.SetPartition(false, f.FrontEnds[:1], f.FrontEnds[1:])
	f.SetPartition(false, f.FrontEnds[1:2], f.FrontEnds[2:])
	rows := sendUntilServed(t, f, f.FrontEnds[2], newLoad("under-way", "k", 1500)).Rows()
	assert.Equal(t, rows, sendUntilServed(t, f, n, newLoad("under-way", "k", 1500)).Rows())
	f.CheckHistory()
}

// The leader of the replicated log must not start loads on outdated state. Under a stream of loads it is
// partitioned in the outbound direction, then paused for 5 s, then partitioned in the inbound direction. No load runs
// twice, and the leader starts no load that another front end has taken over or completed meanwhile.
func TestLeaderPartitionedAndPaused(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	defer func() { close(stop); clients.Wait() }()
	leader := f.WaitForLeader(3)
	for i, n := range f.FrontEnds {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				load := newLoad(fmt.Sprintf("once-%d-%d", i, k), fmt.Sprintf("key-%d", k%2), 20)
				load.ClientTimeout = 3 * time.Second
				if reply := f.SendLoad(n, load); reply.Kind != history.Succeeded && k%2 == 0 {
					f.SendLoad(f.FrontEnds[(i+1)%3], load)
				}
			}
		})
	}
	f.SetOutboundPartition(leader, true)
	time.Sleep(2 * time.Second)
	f.SetOutboundPartition(leader, false)
	leader = f.WaitForLeader(3)
	leader.Pause()
	time.Sleep(5 * time.Second)
	leader.Resume()
	leader = f.WaitForLeader(3)
	f.SetInboundPartition(leader, true)
	time.Sleep(2 * time.Second)
	f.SetInboundPartition(leader, false)
	f.WaitForLeader(3)
	sendUntilServed(t, f, f.FrontEnds[0], newLoad("last", "key-0", 10))
	f.CheckHistory()
}

// A link that flaps every 300 ms must not stop commits, nor cause more than 12 elections in 10 partitions.
func TestFlappingLink(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3)
	leader := f.WaitForLeader(3)
	other := f.FrontEnds[(leader.Index+1)%3]
	before := electionCount(f)
	served := 0
	for i := range 20 {
		f.Proxy(leader, other).SetCut(i%2 == 0)
		f.Proxy(other, leader).SetCut(i%2 == 0)
		until := time.Now().Add(300 * time.Millisecond)
		load := newLoad(fmt.Sprintf("once-%d", i), "k", 5)
		load.ClientTimeout = 2 * time.Second
		if f.SendLoad(other, load).Kind == history.Succeeded {
			served++
		}
		time.Sleep(time.Until(until))
	}
	assert.GreaterOrEqual(t, served, 10, "of 20")
	assert.LessOrEqual(t, electionCount(f)-before, 12.0, "in 10 partitions")
	f.CheckHistory()
}

// electionCount returns the number of elections that all front ends have counted.
func electionCount(f *testharness.Fleet) (n float64) {
	for _, x := range f.FrontEnds {
		if s := x.RawStatus(); s != nil {
			n += s["elections"].(float64)
		}
	}
	return n
}

// All outcomes that clients got must survive when all processes are killed at the same time and have durable
// storage. A write-ahead log in which a bit was flipped meanwhile is quarantined, and its front end comes back with
// an empty disk that the others fill.
func TestAllKilledAtOnceAndCorruptLog(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	rows := sendUntilServed(t, f, f.FrontEnds[0], newLoad("once", "k", 20)).Rows()
	for _, n := range f.FrontEnds {
		n.Kill(false)
	}
	file := filepath.Join(f.FrontEnds[2].StorageDir, "log")
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	b[len(b)/2] ^= 0x10
	require.NoError(t, os.WriteFile(file, b, 0o600))
	f.LogStep("flip a bit in %s", file)
	for _, n := range f.FrontEnds {
		n.Start()
	}
	f.WaitForLeader(3)
	f.FrontEnds[2].WaitForLog("folder quarantined")
	for _, n := range f.FrontEnds {
		assert.Equal(t, rows, sendUntilServed(t, f, n, newLoad("once", "k", 20)).Rows())
	}
	f.CheckHistory()
}

// A replica with a full disk must stop being one at once, while its front end continues to serve. The disk fills up
// on one replica, then on a second one. Without a majority loads are rejected and lookups are served. With free
// space and after a restart all outcomes are found.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage,
		func(f *testharness.Fleet) { f.FleetSettings["replace_s"] = 600 })
	f.WaitForLeader(3)
	rows := sendUntilServed(t, f, f.FrontEnds[0], newLoad("once", "k", 20)).Rows()
	for i, n := range f.FrontEnds[:2] {
		n.SetDiskFull(true)
		for k := 0; n.LogMatches("no longer has a replica") == 0; k++ {
			require.Less(t, k, 400)
			load := newLoad(fmt.Sprintf("fill-%d-%d", i, k), "", 1)
			load.ClientTimeout = time.Second
			f.SendLoad(f.FrontEnds[2], load)
		}
		if i == 0 {
			sendUntilServed(t, f, n, newLoad("one-left", "k", 10))
		}
	}
	load := newLoad("two-left", "", 10)
	load.ClientTimeout = 1500 * time.Millisecond
	assert.Equal(t, history.Rejected, f.SendLoad(f.FrontEnds[2], load).Kind)
	assert.Equal(t, history.Succeeded, f.FrontEnds[0].SendLookup())
	for _, n := range f.FrontEnds[:2] {
		n.Kill(false)
		n.Start()
	}
	f.WaitForLeader(3)
	for _, n := range f.FrontEnds {
		assert.Equal(t, rows, sendUntilServed(t, f, n, newLoad("once", "k", 20)).Rows())
	}
	f.CheckHistory()
}

// faultySync replaces the source file of the write-ahead log's fsync. The sync takes half a second while the folder
// has a file named slow, and fails once if it has a file named fail.
const faultySync = `package wal

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

func fsync(f *os.File) error {
	dir := filepath.Dir(f.Name())
	if os.Remove(filepath.Join(dir, "fail")) == nil {
		return errors.New("a sync that failed")
	}
	if _, err := os.Stat(filepath.Join(dir, "slow")); err == nil {
		time.Sleep(500 * time.Millisecond)
	}
	return f.Sync()
}
`

// A slow disk of the leader must not slow down commits, since the other two replicas are a majority. After a single
// failed sync the replica must stop at once and not try again, although the disk would succeed; its front end
// continues to serve.
func TestSlowAndFailingDiskOfTheLeader(t *testing.T) {
	t.Parallel()
	faulty := testharness.BuildVariant(t, "fleet/replication/wal/sync.go", faultySync)
	f := testharness.NewFleet(t, faulty, 3, withDurableStorage)
	leader := f.WaitForLeader(3)
	require.NoError(t, os.WriteFile(filepath.Join(leader.StorageDir, "slow"), nil, 0o600))
	f.LogStep("slow down the disk of %s", leader.Name)
	startedAt := time.Now()
	for i := range 10 {
		sendUntilServed(t, f, f.FrontEnds[i%3], newLoad(fmt.Sprintf("once-%d", i), "k", 5))
	}
	// Three commits for each of the ten loads; with each waiting for the slow disk this would take 15 s.
	assert.Less(t, time.Since(startedAt), 10*500*time.Millisecond)
	require.NoError(t, os.WriteFile(filepath.Join(leader.StorageDir, "fail"), nil, 0o600))
	f.LogStep("fail a sync of %s", leader.Name)
	sendUntilServed(t, f, f.FrontEnds[(leader.Index+1)%3], newLoad("after", "k", 5))
	leader.WaitForLog("no longer has a replica")
	assert.Equal(t, "failed", leader.RawStatus()["role"])
	sendUntilServed(t, f, leader, newLoad("through-it", "k", 5))
	assert.Equal(t, 1, leader.LogMatches("no longer has a replica"))
	f.CheckHistory()
}

// A front end that comes back with an empty disk under its old name must not vote, or there could be two leaders in
// one term. It comes back while the leader is partitioned from the others, and becomes a replica again
// only once the others have made it one.
func TestEmptyDiskUnderAnOldNameDoesNotVote(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	leader := f.WaitForLeader(3)
	a, b := f.FrontEnds[(leader.Index+1)%3], f.FrontEnds[(leader.Index+2)%3]
	rows := sendUntilServed(t, f, leader, newLoad("once", "k", 20)).Rows()
	f.SetPartition(true, []*testharness.FrontEnd{leader}, []*testharness.FrontEnd{a, b})
	a.Kill(true)
	a.Start()
	load := newLoad("during", "", 10)
	load.ClientTimeout = 2 * time.Second
	for _, n := range f.FrontEnds {
		assert.Equal(t, history.Rejected, f.SendLoad(n, load).Kind, "through %s", n.Name)
	}
	assert.NotEqual(t, "leader", a.RawStatus()["role"])
	assert.NotEqual(t, "leader", b.RawStatus()["role"], "elected with the vote of an empty disk")
	f.SetPartition(false, []*testharness.FrontEnd{leader}, []*testharness.FrontEnd{a, b})
	f.WaitForLeader(3)
	assert.Equal(t, rows, sendUntilServed(t, f, a, newLoad("once", "k", 20)).Rows())
	f.CheckHistory()
}

// With five replicas, outcomes must survive the loss of two with their disks, one of them the leader and owner of
// the load.
func TestTwoOfFiveLost(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 5, withDurableStorage,
		func(f *testharness.Fleet) { f.FleetSettings["copies"] = 5 })
	leader := f.WaitForLeader(5)
	other := f.FrontEnds[(leader.Index+1)%5]
	rows := sendUntilServed(t, f, leader, newLoad("once", "k", 20)).Rows()
	leader.Kill(true)
	other.Kill(true)
	rest := f.FrontEnds[(leader.Index+2)%5]
	assert.Equal(t, rows, sendUntilServed(t, f, rest, newLoad("once", "k", 20)).Rows())
	leader.Start()
	other.Start()
	f.WaitForLeader(5)
	assert.Equal(t, rows, sendUntilServed(t, f, other, newLoad("once", "k", 20)).Rows())
	f.CheckHistory()
}

// Front ends must connect anew and keep their guarantees when messages between them are delayed and duplicated, and
// when a path stalls in one direction.
func TestDelayedDuplicatedAndStalledMessages(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3)
	f.WaitForLeader(3)
	for _, a := range f.FrontEnds {
		for _, b := range f.FrontEnds {
			if a != b {
				f.Proxy(a, b).SetDelay(10*time.Millisecond, 40*time.Millisecond, 0)
				f.Proxy(a, b).SetDuplicating(true)
			}
		}
	}
	for i := range 10 {
		sendUntilServed(t, f, f.FrontEnds[i%3], newLoad(fmt.Sprintf("once-%d", i), "k", 10))
	}
	leader := f.WaitForLeader(3)
	other := f.FrontEnds[(leader.Index+1)%3]
	f.Proxy(leader, other).SetStalled(true)
	f.LogStep("stall %s to %s", leader.Name, other.Name)
	sendUntilServed(t, f, other, newLoad("stalled", "k", 10))
	f.Proxy(leader, other).SetStalled(false)
	f.WaitForLeader(3)
	f.CheckHistory()
}

// Loads must be served when each front end is reached from only one neighbor: messages that cannot be sent directly
// are relayed by the third front end.
func TestOneWayRingRelaysMessages(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3)
	f.WaitForLeader(3)
	for i, n := range f.FrontEnds {
		f.LogStep("partition %s to %s", f.FrontEnds[(i+1)%3].Name, n.Name)
		f.Proxy(f.FrontEnds[(i+1)%3], n).SetCut(true)
	}
	for i, n := range f.FrontEnds {
		sendUntilServed(t, f, n, newLoad(fmt.Sprintf("once-%d", i), "k", 10))
	}
	f.CheckHistory()
}

// The fleet commands must show the status, the members and the loads of a fleet.
func TestFleetCommands(t *testing.T) {
	t.Parallel()
	f := testharness.NewFleet(t, program, 3, withDurableStorage)
	f.WaitForLeader(3)
	sendUntilServed(t, f, f.FrontEnds[0], newLoad("once-shown", "k", 10))
	run := func(args ...string) string {
		cmd := exec.Command(program, append([]string{"fleet", "--socket", f.FrontEnds[0].AdminSocket}, args...)...)
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, "%s", out)
		return string(out)
	}
	assert.Regexp(t, `role +(leader|voter)`, run("status"))
	assert.Regexp(t, `n2 +b +alive +up`, run("members"))
	assert.Regexp(t, `once-shown +k +load +served`, run("ledger"))
	var s map[string]any
	require.NoError(t, json.Unmarshal([]byte(run("status", "--json")), &s))
	assert.Equal(t, true, s["lasting"])
}
