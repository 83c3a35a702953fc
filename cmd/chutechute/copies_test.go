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
	"chutechute/internal/standin"
)

// load is a load that takes so many milliseconds.
func load(once, key string, ms int) standin.Try {
	return standin.Try{Once: once, Key: key, Statement: fmt.Sprintf("INSERT INTO s_1.t -- ms=%d", ms), TTL: 8 * time.Second}
}

func lasting(f *standin.Fleet) { f.Lasting = true }

// insist repeats a load through a front end until it is served.
func insist(t *testing.T, f *standin.Fleet, n *standin.Front, try standin.Try) standin.Reply {
	t.Helper()
	for until := time.Now().Add(standin.Patience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if p := f.Load(n, try); p.What == history.Answer {
			return p
		}
	}
	require.Fail(t, "not served", "%+v through %s", try, n.Name)
	return standin.Reply{}
}

// Three front ends with the record in memory only. One machine after another is lost and replaced, until no original one is
// left: every outcome that was told is found through any of them, the same bytes, and nothing runs again.
func TestMachineLostWithItsDisk(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3)
	f.Leader(3)
	told := map[string]string{}
	for round, n := range f.Fronts {
		try := load(fmt.Sprintf("once-%d", round), "k", 30)
		told[try.Once] = insist(t, f, n, try).Body()
		n.Kill(true)
		for _, other := range f.Fronts {
			if other != n {
				for once, body := range told {
					assert.Equal(t, body, insist(t, f, other, load(once, "k", 30)).Body())
				}
			}
		}
		n.Start()
		f.Leader(3)
	}
	assert.Len(t, history.Runs(f.Record.Events()), 3)
	f.Check()
}

// A front end is lost with its disk at each interesting point of a load, and the client repeats through another. Nothing runs
// twice at once, nothing runs after its outcome was told, and what had not begun is served.
func TestOwnerLostAtEachPoint(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	f.Leader(3)
	points := []struct {
		name   string
		reach  func(once string) // waits until the load is there
		served bool              // a repeat has to be served
	}{
		{"taken", func(string) { time.Sleep(2 * time.Millisecond) }, false},
		{"waits for its turn", func(string) { time.Sleep(200 * time.Millisecond) }, true},
		{"begun", func(once string) {
			f.Until(func(e history.Event) bool { return e.What == history.Began && e.Once == once })
		}, false},
		{"over at the engine", func(once string) {
			f.Until(func(e history.Event) bool { return e.What == history.Ended && e.Once == once })
		}, false},
		{"told", func(once string) {
			f.Until(func(e history.Event) bool { return e.What == history.Answered && e.Once == once })
		}, true},
	}
	for i, p := range points {
		owner, other := f.Fronts[i%3], f.Fronts[(i+1)%3]
		f.Did("point: %s", p.name)
		key := fmt.Sprintf("key-%d", i)
		var first sync.WaitGroup
		if p.name == "waits for its turn" { // behind one that another front end runs
			first.Go(func() { f.Load(f.Fronts[(i+2)%3], load("before", key, 800)) })
			f.Until(func(e history.Event) bool { return e.What == history.Began && e.Once == "before" })
		}
		try := load("once-"+fmt.Sprint(i), key, 100)
		first.Go(func() { f.Load(owner, try) })
		p.reach(try.Once)
		owner.Kill(true)
		if p.served {
			insist(t, f, other, try)
		} else {
			f.Load(other, try)
		}
		first.Wait()
		owner.Start()
		f.Leader(3)
	}
	f.Check()
}

// A client repeats at once through all front ends: one run, the same bytes for all. The same key with another statement is
// refused, and the log names it.
func TestRepeatsAtOnceAndForeignStatement(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	f.Leader(3)
	var all sync.WaitGroup
	bodies := make([]string, 6)
	for i := range bodies {
		all.Go(func() {
			if p := f.Load(f.Fronts[i%3], load("once", "k", 300)); p.What == history.Answer {
				bodies[i] = p.Body()
			}
		})
	}
	all.Wait()
	for _, b := range bodies {
		assert.NotEmpty(t, b)
		assert.Equal(t, bodies[0], b)
	}
	assert.Len(t, history.Runs(f.Record.Events()), 1)
	other := load("once", "k", 301)
	assert.Equal(t, history.Shed, f.Load(f.Fronts[1], other).What)
	f.Fronts[1].AwaitLog(`reused with another statement.*idempotency_key=once`)
	f.Check()
}

// Without a majority a load that has not begun is refused, one whose outcome can't be kept by its deadline is failed, and
// look-ups go on as ever. Once there is a majority again all is found.
func TestNoMajority(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	f.Leader(3)
	n := f.Fronts[0]
	var all sync.WaitGroup
	all.Go(func() {
		try := load("under-way", "k", 1500)
		try.TTL = 3 * time.Second
		assert.Equal(t, history.Fault, f.Load(n, try).What)
	})
	f.Until(func(e history.Event) bool { return e.What == history.Began })
	f.Part(true, f.Fronts[:1], f.Fronts[1:])
	f.Part(true, f.Fronts[1:2], f.Fronts[2:])
	try := load("new", "", 10)
	try.TTL = 2 * time.Second
	assert.Equal(t, history.Shed, f.Load(n, try).What)
	look := n.Lookup()
	assert.Equal(t, history.Answer, look)
	all.Wait()
	f.Part(false, f.Fronts[:1], f.Fronts[1:])
	f.Part(false, f.Fronts[1:2], f.Fronts[2:])
	kept := insist(t, f, f.Fronts[2], load("under-way", "k", 1500)).Body()
	assert.Equal(t, kept, insist(t, f, n, load("under-way", "k", 1500)).Body())
	f.Check()
}

// The leader is cut off one way, stands still, and hears only one neighbour, in turn, while loads come. It may believe what it
// will: nothing runs twice, and what it had in hand does not begin after others have decided.
func TestLeaderCutAndStopped(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	var all sync.WaitGroup
	stop := make(chan struct{})
	defer func() { close(stop); all.Wait() }()
	leader := f.Leader(3)
	for i, n := range f.Fronts {
		all.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				try := load(fmt.Sprintf("once-%d-%d", i, k), fmt.Sprintf("key-%d", k%2), 20)
				try.TTL = 3 * time.Second
				if p := f.Load(n, try); p.What != history.Answer && k%2 == 0 {
					f.Load(f.Fronts[(i+1)%3], try)
				}
			}
		})
	}
	f.Mute(leader, true)
	time.Sleep(2 * time.Second)
	f.Mute(leader, false)
	leader = f.Leader(3)
	leader.Stop()
	time.Sleep(5 * time.Second)
	leader.Continue()
	leader = f.Leader(3)
	f.Deafen(leader, true)
	time.Sleep(2 * time.Second)
	f.Deafen(leader, false)
	f.Leader(3)
	insist(t, f, f.Fronts[0], load("last", "key-0", 10))
	f.Check()
}

// One way flaps every 300 ms: commits go on in between, and no storm of elections comes of it.
func TestFlappingLink(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3)
	leader := f.Leader(3)
	other := f.Fronts[(leader.N+1)%3]
	before := elections(f)
	served := 0
	for i := range 20 {
		f.Way(leader, other).Cut(i%2 == 0)
		f.Way(other, leader).Cut(i%2 == 0)
		until := time.Now().Add(300 * time.Millisecond)
		try := load(fmt.Sprintf("once-%d", i), "k", 5)
		try.TTL = 2 * time.Second
		if f.Load(other, try).What == history.Answer {
			served++
		}
		time.Sleep(time.Until(until))
	}
	assert.GreaterOrEqual(t, served, 10, "of 20")
	assert.LessOrEqual(t, elections(f)-before, 12.0, "in 20 cuts")
	f.Check()
}

func elections(f *standin.Fleet) (n float64) {
	for _, x := range f.Fronts {
		if s := x.Status(); s != nil {
			n += s["elections"].(float64)
		}
	}
	return n
}

// All processes are killed at one instant: with folders all that was told is there. A file that was cut or flipped meanwhile
// is set aside, and its front end comes back as an empty disk that others fill.
func TestAllKilledAtOnceAndSpoiltFile(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	f.Leader(3)
	told := insist(t, f, f.Fronts[0], load("once", "k", 20)).Body()
	for _, n := range f.Fronts {
		n.Kill(false)
	}
	file := filepath.Join(f.Fronts[2].Folder, "log")
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	b[len(b)/2] ^= 0x10
	require.NoError(t, os.WriteFile(file, b, 0o600))
	f.Did("flip a bit of %s", file)
	for _, n := range f.Fronts {
		n.Start()
	}
	f.Leader(3)
	f.Fronts[2].AwaitLog("was set aside")
	for _, n := range f.Fronts {
		assert.Equal(t, told, insist(t, f, n, load("once", "k", 20)).Body())
	}
	f.Check()
}

// A disk is full on one copy, then on two: the copy steps down at once, and its front end goes on. With two the record has no
// majority: loads are refused, look-ups served. With room again and a restart all is there.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting, func(f *standin.Fleet) { f.Section["replace_s"] = 600 })
	f.Leader(3)
	told := insist(t, f, f.Fronts[0], load("once", "k", 20)).Body()
	for i, n := range f.Fronts[:2] {
		n.Full(true)
		for k := 0; n.Logged("is no copy any more") == 0; k++ {
			require.Less(t, k, 400)
			try := load(fmt.Sprintf("fill-%d-%d", i, k), "", 1)
			try.TTL = time.Second
			f.Load(f.Fronts[2], try)
		}
		if i == 0 {
			insist(t, f, n, load("one-left", "k", 10))
		}
	}
	try := load("two-left", "", 10)
	try.TTL = 1500 * time.Millisecond
	assert.Equal(t, history.Shed, f.Load(f.Fronts[2], try).What)
	assert.Equal(t, history.Answer, f.Fronts[0].Lookup())
	for _, n := range f.Fronts[:2] {
		n.Kill(false)
		n.Start()
	}
	f.Leader(3)
	for _, n := range f.Fronts {
		assert.Equal(t, told, insist(t, f, n, load("once", "k", 20)).Body())
	}
	f.Check()
}

// badDisk is the store's sync on a disk that takes half a second, or fails once and then succeeds, as files in the folder say.
const badDisk = `package wal

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

// The leader's disk takes half a second for each sync: the other two are a majority without it, and loads go on. Then a sync of
// it fails once: the copy ends at once and does not try again, though the disk would, and its front end goes on.
func TestSlowAndFailingDiskOfTheLeader(t *testing.T) {
	t.Parallel()
	bad := standin.Variant(t, "fleet/replication/wal/sync.go", badDisk)
	f := standin.NewFleet(t, bad, 3, lasting)
	leader := f.Leader(3)
	require.NoError(t, os.WriteFile(filepath.Join(leader.Folder, "slow"), nil, 0o600))
	f.Did("the disk of %s is slow", leader.Name)
	began := time.Now()
	for i := range 10 {
		insist(t, f, f.Fronts[i%3], load(fmt.Sprintf("once-%d", i), "k", 5))
	}
	// Thirty commits, each of which would take half a second at least.
	assert.Less(t, time.Since(began), 10*500*time.Millisecond)
	require.NoError(t, os.WriteFile(filepath.Join(leader.Folder, "fail"), nil, 0o600))
	f.Did("a sync of %s fails", leader.Name)
	insist(t, f, f.Fronts[(leader.N+1)%3], load("after", "k", 5))
	leader.AwaitLog("is no copy any more")
	assert.Equal(t, "failed", leader.Status()["role"])
	insist(t, f, leader, load("through-it", "k", 5))
	assert.Equal(t, 1, leader.Logged("is no copy any more"))
	f.Check()
}

// A lost disk comes back under its name while the leader is cut off: it gets no vote, so there are never two leaders of one
// term, and it is a copy again only once the rest has made it one.
func TestDiskLostUnderItsOldName(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	leader := f.Leader(3)
	a, b := f.Fronts[(leader.N+1)%3], f.Fronts[(leader.N+2)%3]
	told := insist(t, f, leader, load("once", "k", 20)).Body()
	f.Part(true, []*standin.Front{leader}, []*standin.Front{a, b})
	a.Kill(true)
	a.Start()
	try := load("during", "", 10)
	try.TTL = 2 * time.Second
	for _, n := range f.Fronts {
		assert.Equal(t, history.Shed, f.Load(n, try).What, "through %s", n.Name)
	}
	assert.NotEqual(t, "leader", a.Status()["role"])
	assert.NotEqual(t, "leader", b.Status()["role"], "with the vote of an empty disk")
	f.Part(false, []*standin.Front{leader}, []*standin.Front{a, b})
	f.Leader(3)
	assert.Equal(t, told, insist(t, f, a, load("once", "k", 20)).Body())
	f.Check()
}

// Five copies, two lost at once with their disks, one of them the leader and holder of the load.
func TestTwoOfFiveLost(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 5, lasting, func(f *standin.Fleet) { f.Section["copies"] = 5 })
	leader := f.Leader(5)
	other := f.Fronts[(leader.N+1)%5]
	told := insist(t, f, leader, load("once", "k", 20)).Body()
	leader.Kill(true)
	other.Kill(true)
	rest := f.Fronts[(leader.N+2)%5]
	assert.Equal(t, told, insist(t, f, rest, load("once", "k", 20)).Body())
	leader.Start()
	other.Start()
	f.Leader(5)
	assert.Equal(t, told, insist(t, f, other, load("once", "k", 20)).Body())
	f.Check()
}

// What passes between front ends is delayed, doubled and stalled half open: links are made anew, and the rules hold.
func TestBadWays(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3)
	f.Leader(3)
	for _, a := range f.Fronts {
		for _, b := range f.Fronts {
			if a != b {
				f.Way(a, b).Slow(10*time.Millisecond, 40*time.Millisecond, 0)
				f.Way(a, b).Twice(true)
			}
		}
	}
	for i := range 10 {
		insist(t, f, f.Fronts[i%3], load(fmt.Sprintf("once-%d", i), "k", 10))
	}
	leader := f.Leader(3)
	other := f.Fronts[(leader.N+1)%3]
	f.Way(leader, other).Stall(true)
	f.Did("stall %s to %s", leader.Name, other.Name)
	insist(t, f, other, load("stalled", "k", 10))
	f.Way(leader, other).Stall(false)
	f.Leader(3)
	f.Check()
}

// A ring in which each hears only its neighbour: what can't go directly goes by way of the third, and loads are served.
func TestRingOfThree(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3)
	f.Leader(3)
	for i, n := range f.Fronts {
		f.Did("cut %s to %s", f.Fronts[(i+1)%3].Name, n.Name)
		f.Way(f.Fronts[(i+1)%3], n).Cut(true)
	}
	for i, n := range f.Fronts {
		insist(t, f, n, load(fmt.Sprintf("once-%d", i), "k", 10))
	}
	f.Check()
}

// Operators ask a front end about its fleet, and a configuration that can't be used is named by its key.
func TestFleetCommands(t *testing.T) {
	t.Parallel()
	f := standin.NewFleet(t, program, 3, lasting)
	f.Leader(3)
	insist(t, f, f.Fronts[0], load("once-shown", "k", 10))
	run := func(args ...string) string {
		cmd := exec.Command(program, append([]string{"fleet", "--socket", f.Fronts[0].Admin}, args...)...)
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
