package wal_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"chutechute/fleet/budget"
	"chutechute/fleet/budget/account"
	"chutechute/fleet/idempotency"
	"chutechute/fleet/replication"
	"chutechute/fleet/replication/wal"
	"chutechute/internal/golden"
	"chutechute/internal/monotime"
	"chutechute/internal/raftlog"
	"chutechute/scheduler"
)

const (
	second    = 1_000_000
	tick      = 50_000
	owner     = "legon/n1"
	earlierDisk = "testdata/earlier-version"
)

// onlyCopy is a record's one copy, on a folder.
type onlyCopy struct {
	t       *testing.T
	now     monotime.Micros
	replica *replication.Replica
	loads   *idempotency.Registry
	budgets *budget.Authority
	store   *wal.Store
	answers map[uint64]replication.Response
	seq     uint64
}

// everybody is a view of processes in which all are there.
type everybody struct{}

func (everybody) PresumedDead(replication.Incarnation) bool { return false }
func (everybody) Superseded(replication.Incarnation) bool   { return false }
func (everybody) Unreachable(replication.Incarnation) bool  { return false }
func (everybody) Live() []replication.Incarnation           { return nil }

func openCopy(t *testing.T, folder string) *onlyCopy {
	s, disk, err := wal.Open(folder, owner, func() uint64 { return 1<<40 + 5 })
	require.NoError(t, err)
	c := &onlyCopy{t: t, now: 1000 * second, store: s, answers: map[uint64]replication.Response{},
		loads:   idempotency.NewRegistry(idempotency.Options{MaxBytes: 1 << 20, Retention: 60 * second, OrphanTimeout: 3 * second}),
		budgets: budget.NewAuthority(budget.Options{Instances: 100})}
	c.replica = replication.New(replication.Config{ID: s.ReplicaID(), StateMachines: []replication.StateMachine{c.loads, c.budgets}, Replicas: 1, TickInterval: tick, ReplaceAfter: 6 * second,
		SnapshotLogBytes: 1500, Logger: raftlog.New()})
	require.NoError(t, c.replica.Recover(c.now, disk))
	c.carryOut()
	return c
}

// carryOut writes what is to be saved until nothing is left.
func (c *onlyCopy) carryOut() {
	for {
		list := c.replica.Actions()
		if len(list) == 0 {
			return
		}
		for _, action := range list {
			switch action := action.(type) {
			case replication.Save:
				err := c.store.Write([]replication.Save{action})
				require.NoError(c.t, err)
				c.replica.Persisted(c.now, action.Token, err)
			case replication.Reply:
				c.answers[action.Response.Sequence] = action.Response
			}
		}
	}
}

func (c *onlyCopy) pass(span monotime.Micros) {
	for until := c.now + span; c.now < until; c.now += tick {
		c.replica.Tick(c.now, []replication.Member{{ID: c.store.ReplicaID(), Name: "n1", Zone: "a"}}, everybody{})
		c.carryOut()
	}
}

func (c *onlyCopy) ask(kind uint32, asker replication.Incarnation, body []byte) []byte {
	c.seq++
	c.replica.Propose(c.now, replication.Command{StateMachine: kind, Version: 1, Proposer: asker, Sequence: c.seq, Body: body})
	c.carryOut()
	require.Equal(c.t, replication.Committed, c.answers[c.seq].Result)
	return c.answers[c.seq].Body
}

func (c *onlyCopy) askLoads(asker replication.Incarnation, command idempotency.Command) idempotency.Response {
	v, err := idempotency.DecodeResponse(c.ask(c.loads.ID(), asker, command.Encode()))
	require.NoError(c.t, err)
	return v
}

// held is all that the copy holds, a line each.
func (c *onlyCopy) held() []string {
	index, sum := c.replica.LastApplied()
	voters, learners := c.replica.Members()
	notes, err := json.Marshal(c.loads.Records())
	require.NoError(c.t, err)
	standing, err := json.Marshal(c.budgets.Status(c.now, ""))
	require.NoError(c.t, err)
	return []string{
		fmt.Sprintf("number %d group %d term %d applied %d sum %x", c.store.ReplicaID(), c.replica.Group(), c.replica.Term(), index, sum),
		fmt.Sprintf("copies %v %v", voters, learners), string(notes), string(standing),
		fmt.Sprintf("loads %x", c.loads.AppendSnapshot(nil)), fmt.Sprintf("budgets %x", c.budgets.AppendSnapshot(nil)),
	}
}

// write makes a folder with a snapshot, a log after it and a write that was cut short. It made earlierDisk, once.
func writeFolder(t *testing.T, folder string) {
	c := openCopy(t, folder)
	require.NoError(t, c.replica.Bootstrap(c.now, 77, []replication.Member{{ID: c.store.ReplicaID(), Name: "n1", Zone: "a"}}))
	c.carryOut()
	c.pass(3 * second)
	take := func(asker replication.Incarnation, once, key string) uint64 {
		return c.askLoads(asker, idempotency.Command{Op: idempotency.Register, IdempotencyKey: once, OrderKey: key, Tenant: "desk", Class: "load", StatementDigest: []byte(once),
			RequestID: "call-" + once, TTL: 25 * second}).Epoch
	}
	set := &budget.Set{Version: 3, Lease: 2 * second, MaxFrontEnds: 5, Specs: []budget.Spec{
		{Name: "places", Kind: account.Concurrency, Total: budget.Amount{Capacity: 6000}, MaxAttemptDuration: 25 * second, MinPart: 1000},
		{Name: "rate", Kind: account.Rate, Total: budget.Amount{Capacity: 8000, Rate: 6000}, Reserve: 700, MinPart: 1000}}}
	holder := budget.NewLeaseHolder(budget.LeaseHolderConfig{Name: "n1", Set: set, MinReportInterval: second / 50}, askBudgets{c}, wantsAll{})
	holder.Start(c.now)
	for i := range 20 {
		once := fmt.Sprintf("once-%02d", i)
		asker := replication.Incarnation(5 + i%3)
		epoch := take(asker, once, fmt.Sprintf("key-%d", i%4))
		c.askLoads(asker, idempotency.Command{Op: idempotency.AuthorizeAttempt, IdempotencyKey: once, Epoch: epoch, Attempt: 1, Engine: "s-00000001", RequestID: "call-" + once})
		if i%3 == 0 {
			c.askLoads(asker, idempotency.Command{Op: idempotency.Complete, IdempotencyKey: once, Epoch: epoch, Outcome: idempotency.Served, Rows: []byte("rows of " + once)})
		}
		holder.Tick(c.now)
		c.carryOut()
		c.pass(second / 2)
	}
	require.NoError(t, c.store.Close())
	files, err := filepath.Glob(filepath.Join(folder, "log*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	log, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files[0], log[:len(log)-7], 0o600))
}

// askBudgets puts a holder's questions to the copy.
type askBudgets struct{ c *onlyCopy }

func (a askBudgets) Propose(_ monotime.Micros, kind, _ uint32, body []byte, done func(replication.Response)) uint64 {
	done(replication.Response{Result: replication.Committed, Body: a.c.ask(kind, 5, body)})
	return a.c.seq
}

func (askBudgets) Cancel(uint64) {}

// The folder of a front end as an earlier version wrote it: its snapshot, its log, commands of both kinds, and a last write
// that was cut short. All that it held is there.
func TestFolderOfAnEarlierVersion(t *testing.T) {
	if _, err := os.Stat(earlierDisk); os.IsNotExist(err) && os.Getenv("CHUTECHUTE_GOLDEN_CREATE") != "" {
		require.NoError(t, os.MkdirAll(earlierDisk, 0o700))
		writeFolder(t, earlierDisk)
	}
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(filepath.Join(folder, "disk"), os.DirFS(earlierDisk)))
	c := openCopy(t, filepath.Join(folder, "disk"))
	require.Empty(t, c.store.QuarantinedPath)
	held := append([]string{fmt.Sprintf("cut off %d bytes", c.store.TruncatedBytes)}, c.held()...)
	golden.Lines(t, "testdata/earlier-version.txt", held)
	c.pass(3 * second) // it goes on with it
	require.True(t, c.replica.IsLeader())
	require.Equal(t, idempotency.Served, c.askLoads(99, idempotency.Command{Op: idempotency.Inspect, IdempotencyKey: "once-00"}).Phase)
	require.NoError(t, c.store.Close())
}

// wantsAll is a spender that wants some of both budgets.
type wantsAll struct{}

func (wantsAll) BudgetDemands(monotime.Micros) []scheduler.BudgetDemand {
	return []scheduler.BudgetDemand{{Budget: "places", Want: 3000, InUse: 1000}, {Budget: "rate", Want: 5000}}
}

func (wantsAll) GrantBudgets(monotime.Micros, budget.Grant) {}
