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

// Six control members over real links: each has a link to and from each other, what one side sends the others take, and a heartbeat
// tells of all others. One that is killed and started is seen by all.
func TestSixControlMembers(t *testing.T) {
	o := options(t, scale.Shape{Controls: 6, Zones: 3, Seconds: 3, Seed: 6}, "")
	o.Changes = 1
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
	assert.Greater(t, size, 5*15.0, "five reports of a name, a number and an age")
	assert.Less(t, size, 200.0)
	assert.Equal(t, 1.0, points["ends seen by all, count"])
}

// Attached front ends keep two links each, whatever their number, and at rest send little over them. One that is killed and started
// is seen by all of both roles.
func TestAttachedFrontEnds(t *testing.T) {
	o := options(t, scale.Shape{FrontEnds: 20, Controls: 4, Zones: 2, Seconds: 3, Seed: 9}, "")
	o.Changes, o.Start = 1, time.Second
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

// A script's faults befall whom it names, and the fleet is whole again after them.
func TestScriptOfFaults(t *testing.T) {
	o := options(t, scale.Shape{Controls: 5, Zones: 2, Seconds: 4, Seed: 7},
		"100ms restart control 2; 200ms kill control 1 for 500ms; 300ms stop control 5 for 400ms; 1s restart zone b over 200ms")
	r, err := Run(o)
	require.NoError(t, err)
	assert.Equal(t, 4, r.Spread.Count+r.Spread.Unreached, "four starts: control 2 twice, as it is of zone b, 1 and 4")
	assert.Zero(t, r.Spread.Unreached)
}

// What can't be run is refused with the flag before anything starts.
func TestRefusedBeforeAnythingStarts(t *testing.T) {
	good := scale.Shape{Controls: 5, Zones: 2, Seconds: 2, Seed: 8}
	for flag, change := range map[string]func(*Options){
		"--control:": func(o *Options) { o.Shape.Controls = 0 },
		"--real:":    func(o *Options) { o.Real = 5 },
		"--program:": func(o *Options) { o.Real, o.Program = 1, "/nowhere/chutechute" },
		"--changes:": func(o *Options) { o.Changes = -1 },
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

// A fleet beyond the machine's limits is refused with the limit's name.
func TestNeedsGrowWithTheFleet(t *testing.T) {
	o := options(t, scale.Shape{Controls: 53, FrontEnds: 2700, Zones: 23, Seconds: 2}, "")
	n := newPlan(o).needs(o)
	assert.Equal(t, "front-ends", n.Flag)
	err := n.Check(scale.Limits{Descriptors: 100, Ports: n.Ports, Processes: n.Processes, MemoryBytes: n.MemoryBytes})
	var limit *scale.LimitError
	require.ErrorAs(t, err, &limit)
	assert.Contains(t, limit.Limit, "RLIMIT_NOFILE")
}

// All front ends are planned once; a process has one role and a bounded number of them.
func TestPlan(t *testing.T) {
	o := options(t, scale.Shape{Controls: 53, FrontEnds: 2700, Zones: 23}, "")
	o.Real = 3
	p := newPlan(o)
	seen := map[string]bool{}
	for _, group := range p.groups {
		most := mostControlsAProcess
		if group[0].attached {
			most = mostAttachedAProcess
		}
		assert.LessOrEqual(t, len(group), most)
		for _, f := range group {
			assert.Equal(t, group[0].attached, f.attached)
			assert.False(t, seen[f.name])
			seen[f.name] = true
		}
	}
	assert.Len(t, seen, 2697)
	assert.Len(t, p.real, 3)
	assert.Len(t, p.section(o.Shape)["members"], 53)
}

// A worker refuses what it can't do, and ends with its input.
func TestWorkerEndsWithItsInput(t *testing.T) {
	requests, in := io.Pipe()
	out, replies := io.Pipe()
	over := make(chan error, 1)
	go func() { over <- Work(requests, replies, time.Minute) }()
	c := newClient(in, out)
	for _, q := range []request{{Op: opStart, Member: "c001"}, {Op: opKill, Member: "c001"}, {Op: opPause, Member: "c001"},
		{Op: "dance"}, {Op: opSetup, Section: json.RawMessage(`{"fleet": {"quota": 1}}`)}} {
		_, err := c.ask(q)
		assert.Error(t, err, q.Op)
	}
	r, err := c.ask(request{Op: opAwait, Change: &peering.Change{Name: "c001"}})
	require.NoError(t, err)
	assert.Zero(t, r.SeenAt, "none is here to see it")
	in.Close()
	select {
	case err := <-over:
		assert.NoError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the worker goes on")
	}
}

// Over a span control members start first, since the others attach to them; at once the processes take turns. All start once.
func TestStartOrder(t *testing.T) {
	o := options(t, scale.Shape{Controls: 25, FrontEnds: 700, Zones: 3}, "")
	p := newPlan(o)
	r := &run{o: o, plan: p}
	for _, group := range p.groups {
		r.hollows = append(r.hollows, &hollows{fronts: group})
	}
	turns := r.startOrder()
	assert.Len(t, turns, 700)
	assert.False(t, turns[0].attached)
	assert.True(t, turns[len(p.groups)-1].attached)
	o.Over = time.Second
	order := r.startOrder()
	assert.ElementsMatch(t, turns, order)
	for i, f := range order {
		assert.Equal(t, i >= 25, f.attached)
	}
}
