package sockets

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"chutechute/internal/peering"
	"chutechute/internal/scale"
)

func options(t *testing.T, shape scale.Shape, script string) *Options {
	t.Helper()
	faults, err := scale.ParseFaults(script)
	require.NoError(t, err)
	return &Options{Shape: shape, Faults: faults, Script: script, Progress: t.Logf}
}

// In a fleet of six control members each has a link to and from each other one, messages are sent and received, and a
// heartbeat has reports on all others. The end and the start of one are seen by all.
func TestSixControlMembers(t *testing.T) {
	o := options(t, scale.Shape{Controls: 6, Zones: 3, Seconds: 3, Seed: 6}, "")
	o.RestartCount = 1
	r, err := Run(o)
	require.NoError(t, err)
	require.Len(t, r.Roles, 1)
	f := r.Roles[0]
	assert.Equal(t, scale.RoleControl, f.Role)
	assert.Equal(t, 6, f.Members)
	assert.Equal(t, 10.0, f.Connections)
	assert.Positive(t, f.MessagesIn)
	assert.Positive(t, f.FramingIn)
	assert.Zero(t, r.Spread.Unreached)
	assert.Equal(t, 1, r.Spread.Count)
	points := map[string]float64{}
	for _, p := range r.Points {
		for name, value := range p.Figures {
			points[name] = value
		}
	}
	size := points["a control member, a heartbeat's payload bytes"]
	assert.Greater(t, size, 5*15.0, "five reports of a name, an incarnation and an age")
	assert.Less(t, size, 200.0)
	assert.Equal(t, 1.0, points["ends seen by all, count"])
}

// Attached front ends have two links each, whatever their number, and little traffic while nothing changes. The end and
// the start of one are seen by all front ends of both roles.
func TestAttachedFrontEnds(t *testing.T) {
	o := options(t, scale.Shape{FrontEnds: 20, Controls: 4, Zones: 2, Seconds: 3, Seed: 9}, "")
	o.RestartCount, o.StartWindow = 1, time.Second
	r, err := Run(o)
	require.NoError(t, err)
	require.Len(t, r.Roles, 2)
	control, attached := r.Roles[0], r.Roles[1]
	assert.Equal(t, scale.RoleFrontEnd, attached.Role)
	assert.Equal(t, 16, attached.Members)
	assert.Equal(t, 2.0, attached.Connections)
	assert.Equal(t, 4, control.Members)
	assert.Equal(t, 2*3+2*16/4.0, control.Connections)
	assert.Positive(t, attached.BytesIn)
	assert.Less(t, attached.BytesIn+attached.FramingIn+attached.BytesOut+attached.FramingOut, 1000.0)
	assert.Equal(t, 1, r.Spread.Count)
}

// Faults affect the targets that the script names, and afterwards all front ends see all others again.
func TestFaultScriptIsCarriedOut(t *testing.T) {
	o := options(t, scale.Shape{Controls: 5, Zones: 2, Seconds: 4, Seed: 7},
		"100ms restart control 2; 200ms kill control 1 for 500ms; 300ms stop control 5 for 400ms; "+
			"1s restart zone b over 200ms")
	r, err := Run(o)
	require.NoError(t, err)
	assert.Equal(t, 4, r.Spread.Count+r.Spread.Unreached,
		"four starts: control 1, control 4, and twice control 2, which is in zone b")
	assert.Zero(t, r.Spread.Unreached)
}

// Invalid options are rejected with an error that names the flag, before anything is started.
func TestInvalidOptionsAreRejectedBeforeTheStart(t *testing.T) {
	good := scale.Shape{Controls: 5, Zones: 2, Seconds: 2, Seed: 8}
	for flag, change := range map[string]func(*Options){
		"--control:": func(o *Options) { o.Shape.Controls = 0 },
		"--real:":    func(o *Options) { o.RealControls = 5 },
		"--program:": func(o *Options) { o.RealControls, o.Program = 1, "/nowhere/chutechute" },
		"--changes:": func(o *Options) { o.RestartCount = -1 },
		`"cut"`: func(o *Options) {
			o.Faults = []scale.Fault{{Kind: scale.Cut, Target: scale.Target{Kind: scale.TargetAll}}}
		},
		"--faults:":   func(o *Options) { o.Faults = []scale.Fault{{At: time.Hour, Kind: scale.Heal}} },
		"--seconds: ": func(o *Options) { o.Shape.Seconds = 0 },
	} {
		o := options(t, good, "")
		change(o)
		assert.ErrorContains(t, Check(o), flag)
		_, err := Run(o)
		assert.ErrorContains(t, err, flag)
	}
}

// The error for a fleet that exceeds a limit of the machine names the limit.
func TestLargeFleetExceedsTheLimits(t *testing.T) {
	o := options(t, scale.Shape{Controls: 53, FrontEnds: 2700, Zones: 23, Seconds: 2}, "")
	needed := newPlan(o).requirements(o)
	assert.Equal(t, "front-ends", needed.Flag)
	err := needed.Check(scale.Limits{Descriptors: 100, Ports: needed.Ports, Processes: needed.Processes,
		MemoryBytes: needed.MemoryBytes})
	var limit *scale.LimitError
	require.ErrorAs(t, err, &limit)
	assert.Contains(t, limit.Limit, "RLIMIT_NOFILE")
}

// The plan has each front end once, and each worker has a limited number of front ends, all of one role.
func TestPlan(t *testing.T) {
	o := options(t, scale.Shape{Controls: 53, FrontEnds: 2700, Zones: 23}, "")
	o.RealControls = 3
	p := newPlan(o)
	seen := map[string]bool{}
	for _, frontEnds := range p.workers {
		maxSize := maxControlsPerWorker
		if frontEnds[0].attached {
			maxSize = maxAttachedPerWorker
		}
		assert.LessOrEqual(t, len(frontEnds), maxSize)
		for _, f := range frontEnds {
			assert.Equal(t, frontEnds[0].attached, f.attached)
			assert.False(t, seen[f.name])
			seen[f.name] = true
		}
	}
	assert.Len(t, seen, 2697)
	assert.Len(t, p.real, 3)
	assert.Len(t, p.fleetSection(o.Shape)["members"], 53)
}

// A worker replies with an error to an invalid request, and ends at the end of its input.
func TestWorkerEndsWithItsInput(t *testing.T) {
	requests, in := io.Pipe()
	out, replies := io.Pipe()
	exited := make(chan error, 1)
	go func() { exited <- RunWorker(requests, replies, time.Minute) }()
	c := newClient(in, out)
	for _, q := range []request{{Op: opStart, Member: "c001"}, {Op: opKill, Member: "c001"}, {Op: opPause, Member: "c001"},
		{Op: "dance"}, {Op: opSetup, Section: json.RawMessage(`{"fleet": {"quota": 1}}`)}} {
		_, err := c.call(q)
		assert.Error(t, err, q.Op)
	}
	r, err := c.call(request{Op: opAwait, Change: &peering.Change{Name: "c001"}})
	require.NoError(t, err)
	assert.Zero(t, r.SeenAt, "no front end is running that could see it")
	in.Close()
	select {
	case err := <-exited:
		assert.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the worker is still running")
	}
}

// If all start at once, the order takes one front end of each worker in turn. If the starts are spread over a time,
// control members come first, since the others attach to them. Each front end starts once.
func TestStartOrder(t *testing.T) {
	o := options(t, scale.Shape{Controls: 25, FrontEnds: 700, Zones: 3}, "")
	p := newPlan(o)
	r := &run{opts: o, plan: p}
	for _, frontEnds := range p.workers {
		r.workers = append(r.workers, &workerHandle{frontEnds: frontEnds})
	}
	inTurns := r.startOrder()
	assert.Len(t, inTurns, 700)
	assert.False(t, inTurns[0].attached)
	assert.True(t, inTurns[len(p.workers)-1].attached)
	o.StartSpread = time.Second
	order := r.startOrder()
	assert.ElementsMatch(t, inTurns, order)
	for i, f := range order {
		assert.Equal(t, i >= 25, f.attached)
	}
}
