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
	tickInterval = 50 * monotime.Millisecond
	owner        = "legon/n1"
	frontEnd     = "n1"
	zone         = "a"
	groupID      = 77
	// earlierFolder is a folder that an earlier version wrote.
	earlierFolder = "testdata/earlier-version"
	// tornBytes is how many bytes of the last record are missing in earlierFolder.
	tornBytes = 7
)

// singleReplica is the only replica of a Raft group, with its store.
type singleReplica struct {
	t         *testing.T
	now       monotime.Micros
	replica   *replication.Replica
	requests  *idempotency.Registry
	budgets   *budget.Authority
	store     *wal.Store
	responses map[uint64]replication.Response
	sequence  uint64
}

// allLive is a failure detector that reports no process as dead or unreachable.
type allLive struct{}

func (allLive) PresumedDead(replication.Incarnation) bool { return false }
func (allLive) Superseded(replication.Incarnation) bool   { return false }
func (allLive) Unreachable(replication.Incarnation) bool  { return false }
func (allLive) Live() []replication.Incarnation           { return nil }

func openReplica(t *testing.T, folder string) *singleReplica {
	store, persisted, err := wal.Open(folder, owner, func() uint64 { return 1<<40 + 5 })
	require.NoError(t, err)
	r := &singleReplica{
		t:         t,
		now:       1000 * monotime.Second,
		store:     store,
		responses: map[uint64]replication.Response{},
		requests: idempotency.NewRegistry(idempotency.Options{
			MaxBytes:      1 << 20,
			Retention:     60 * monotime.Second,
			OrphanTimeout: 3 * monotime.Second,
		}),
		budgets: budget.NewAuthority(budget.Options{MaxSubjects: 100}),
	}
	r.replica = replication.New(replication.Config{
		ID:               store.ReplicaID(),
		StateMachines:    []replication.StateMachine{r.requests, r.budgets},
		Replicas:         1,
		TickInterval:     tickInterval,
		ReplaceAfter:     6 * monotime.Second,
		SnapshotLogBytes: 1500,
		Logger:           raftlog.New(),
	})
	require.NoError(t, r.replica.Recover(r.now, persisted))
	r.perform()
	return r
}

// perform performs the replica's actions until there are none left.
func (r *singleReplica) perform() {
	for {
		actions := r.replica.Actions()
		if len(actions) == 0 {
			return
		}
		for _, action := range actions {
			switch action := action.(type) {
			case replication.Save:
				err := r.store.Write([]replication.Save{action})
				require.NoError(r.t, err)
				r.replica.Persisted(r.now, action.Token, err)
			case replication.Reply:
				r.responses[action.Response.Sequence] = action.Response
			}
		}
	}
}

func (r *singleReplica) member() replication.Member {
	return replication.Member{ID: r.store.ReplicaID(), Name: frontEnd, Zone: zone}
}

// advance advances the time by a duration, tick by tick.
func (r *singleReplica) advance(duration monotime.Micros) {
	for until := r.now + duration; r.now < until; r.now += tickInterval {
		r.replica.Tick(r.now, []replication.Member{r.member()}, allLive{})
		r.perform()
	}
}

// propose proposes a command and returns the body of the response.
func (r *singleReplica) propose(stateMachine uint32, proposer replication.Incarnation, body []byte) []byte {
	r.sequence++
	r.replica.Propose(r.now, replication.Command{
		StateMachineID: stateMachine, Version: 1, Proposer: proposer, Sequence: r.sequence, Body: body,
	})
	r.perform()
	require.Equal(r.t, replication.Committed, r.responses[r.sequence].Result)
	return r.responses[r.sequence].Body
}

func (r *singleReplica) proposeRequest(
	proposer replication.Incarnation, command idempotency.Command,
) idempotency.Response {
	response, err := idempotency.DecodeResponse(r.propose(r.requests.ID(), proposer, command.Encode()))
	require.NoError(r.t, err)
	return response
}

// describe returns the whole state of the replica, as lines.
func (r *singleReplica) describe() []string {
	index, checksum := r.replica.LastApplied()
	voters, learners := r.replica.Members()
	records, err := json.Marshal(r.requests.Records())
	require.NoError(r.t, err)
	budgets, err := json.Marshal(r.budgets.Status(r.now, ""))
	require.NoError(r.t, err)
	return []string{
		fmt.Sprintf("number %d group %d term %d applied %d sum %x",
			r.store.ReplicaID(), r.replica.GroupID(), r.replica.Term(), index, checksum),
		fmt.Sprintf("copies %v %v", voters, learners),
		string(records),
		string(budgets),
		fmt.Sprintf("loads %x", r.requests.AppendSnapshot(nil)),
		fmt.Sprintf("budgets %x", r.budgets.AppendSnapshot(nil)),
	}
}

// register registers a request and returns its epoch.
func (r *singleReplica) register(proposer replication.Incarnation, idempotencyKey, orderKey string) uint64 {
	return r.proposeRequest(proposer, idempotency.Command{
		Op:              idempotency.Register,
		IdempotencyKey:  idempotencyKey,
		OrderKey:        orderKey,
		Tenant:          "desk",
		Class:           "load",
		StatementDigest: []byte(idempotencyKey),
		RequestID:       "call-" + idempotencyKey,
		ClientTimeout:   uint64(25 * monotime.Second),
	}).Epoch
}

// runRequest registers a request and authorizes its attempt. Every third request is completed.
func (r *singleReplica) runRequest(i int) {
	idempotencyKey := fmt.Sprintf("once-%02d", i)
	proposer := replication.Incarnation(5 + i%3)
	epoch := r.register(proposer, idempotencyKey, fmt.Sprintf("key-%d", i%4))
	r.proposeRequest(proposer, idempotency.Command{
		Op:             idempotency.AuthorizeAttempt,
		IdempotencyKey: idempotencyKey,
		Epoch:          epoch,
		Attempt:        1,
		Engine:         "s-00000001",
		RequestID:      "call-" + idempotencyKey,
	})
	if i%3 == 0 {
		r.proposeRequest(proposer, idempotency.Command{
			Op:             idempotency.Complete,
			IdempotencyKey: idempotencyKey,
			Epoch:          epoch,
			Outcome:        idempotency.Served,
			Rows:           []byte("rows of " + idempotencyKey),
		})
	}
}

// leaseHolder returns a lease holder for two budgets of the replica's authority.
func (r *singleReplica) leaseHolder() *budget.LeaseHolder {
	set := &budget.Set{Version: 3, Lease: 2 * monotime.Second, MaxFrontEnds: 5, Specs: []budget.Spec{
		{
			Name:               "places",
			Kind:               account.Concurrency,
			Total:              budget.Amount{Capacity: 6000},
			MaxAttemptDuration: 25 * monotime.Second,
			MinAllocation:      1000,
		},
		{
			Name:          "rate",
			Kind:          account.Rate,
			Total:         budget.Amount{Capacity: 8000, Rate: 6000},
			StaticShare:   700,
			MinAllocation: 1000,
		},
	}}
	config := budget.LeaseHolderConfig{Name: frontEnd, Set: set, MinReportInterval: monotime.Second / 50}
	return budget.NewLeaseHolder(config, budgetProposer{r}, constantDemand{})
}

// writeFolder writes a folder with a snapshot, a log after it and a torn record. It created earlierFolder.
func writeFolder(t *testing.T, folder string) {
	r := openReplica(t, folder)
	require.NoError(t, r.replica.Bootstrap(r.now, groupID, []replication.Member{r.member()}))
	r.perform()
	r.advance(3 * monotime.Second)
	holder := r.leaseHolder()
	holder.Start(r.now)
	for i := range 20 {
		r.runRequest(i)
		holder.Tick(r.now)
		r.perform()
		r.advance(monotime.Second / 2)
	}
	require.NoError(t, r.store.Close())
	files, err := filepath.Glob(filepath.Join(folder, "log*"))
	require.NoError(t, err)
	require.Len(t, files, 1)
	log, err := os.ReadFile(files[0])
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(files[0], log[:len(log)-tornBytes], 0o600))
}

// budgetProposer proposes a lease holder's commands to the replica.
type budgetProposer struct{ r *singleReplica }

func (p budgetProposer) Propose(
	_ monotime.Micros, stateMachine, _ uint32, body []byte, done func(replication.Response),
) uint64 {
	done(replication.Response{Result: replication.Committed, Body: p.r.propose(stateMachine, 5, body)})
	return p.r.sequence
}

func (budgetProposer) Cancel(uint64) {}

// constantDemand is a consumer whose demand for both budgets does not change.
type constantDemand struct{}

func (constantDemand) BudgetDemands(monotime.Micros) []scheduler.BudgetDemand {
	return []scheduler.BudgetDemand{{Budget: "places", Demand: 3000, InUse: 1000}, {Budget: "rate", Demand: 5000}}
}

func (constantDemand) GrantBudgets(monotime.Micros, budget.Grant) {}

// A folder that an earlier version wrote must stay readable. It has a snapshot, a log with commands of both state
// machines, and a torn record at the end. The whole state is restored, and the replica continues as the leader.
func TestFolderOfAnEarlierVersion(t *testing.T) {
	if _, err := os.Stat(earlierFolder); os.IsNotExist(err) && os.Getenv("CHUTECHUTE_GOLDEN_CREATE") != "" {
		require.NoError(t, os.MkdirAll(earlierFolder, 0o700))
		writeFolder(t, earlierFolder)
	}
	folder := filepath.Join(t.TempDir(), "disk")
	require.NoError(t, os.CopyFS(folder, os.DirFS(earlierFolder)))
	r := openReplica(t, folder)
	require.Empty(t, r.store.QuarantinedPath)
	lines := append([]string{fmt.Sprintf("cut off %d bytes", r.store.TruncatedBytes)}, r.describe()...)
	golden.Lines(t, "testdata/earlier-version.txt", lines)
	r.advance(3 * monotime.Second)
	require.True(t, r.replica.IsLeader())
	inspect := idempotency.Command{Op: idempotency.Inspect, IdempotencyKey: "once-00"}
	require.Equal(t, idempotency.Served, r.proposeRequest(99, inspect).Phase)
	require.NoError(t, r.store.Close())
}
