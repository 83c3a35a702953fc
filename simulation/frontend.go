package simulation

import (
	"fmt"

	"chutechute/internal/monotime"
)

// FrontEnd is one front end of the fleet: its name, clock and disk, and its process while one runs.
type FrontEnd struct {
	simulation    *Simulation
	index         int
	name          string
	zone          string
	clock         clock
	lastReplicaID uint64 // the replica ID of the last disk; 0 before the first disk
	disk          *disk
	process       *process // nil if none runs
}

func newFrontEnd(s *Simulation, index int) *FrontEnd {
	return &FrontEnd{
		simulation: s,
		index:      index,
		name:       fmt.Sprintf("n%d", index+1),
		zone:       string(rune('a' + index%zoneCount)),
		clock: clock{
			offset: s.random.between(0, maxClockOffset),
			rate:   1 + s.options.MaxClockDrift*(2*s.random.Float64()-1),
		},
	}
}

// isRunning reports whether the front end has a process that is not paused.
func (f *FrontEnd) isRunning() bool { return f.process != nil && !f.process.paused }

// now returns the time of the front end's clock.
func (f *FrontEnd) now() monotime.Micros { return f.clock.at(f.simulation.now) }

// start starts a process, unless one runs.
func (f *FrontEnd) start() {
	if f.process != nil {
		return
	}
	p, err := newProcess(f)
	if err != nil {
		f.simulation.fail(err)
		return
	}
	f.process = p
	p.tick()
}

// newDisk returns an empty disk with a new replica ID.
func (f *FrontEnd) newDisk() *disk {
	id := f.simulation.random.id()
	if f.simulation.options.Mutation.ReuseReplicaID && f.lastReplicaID != 0 {
		id = f.lastReplicaID
	}
	f.lastReplicaID = id
	return &disk{replicaID: id}
}

// crash ends the process, if one runs, and may empty its disk.
func (f *FrontEnd) crash(emptyDisk bool) {
	if f.process == nil {
		return
	}
	f.simulation.logFault("crash %s, disk emptied: %v", f.name, emptyDisk)
	f.process = nil
	if emptyDisk {
		f.disk = nil
	}
}

// pause suspends the process, if one runs, as when a virtual machine is suspended.
func (f *FrontEnd) pause() {
	if f.isRunning() {
		f.simulation.logFault("pause %s", f.name)
		f.process.paused = true
	}
}

// resume continues a paused process and runs the functions that were deferred while it was paused.
func (f *FrontEnd) resume() {
	p := f.process
	if p == nil || !p.paused {
		return
	}
	f.simulation.logFault("resume %s", f.name)
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, handle := range deferred {
		handle()
	}
	p.runTurn()
}

// String describes the state of the front end for the messages of failed tests.
func (f *FrontEnd) String() string {
	if f.process == nil {
		return f.name + ": not running"
	}
	replica := f.process.node.Replica()
	index, checksum := replica.LastApplied()
	voters, learners := replica.Members()
	return fmt.Sprintf("%s: paused=%v leader=%v voter=%v term=%d applied=%d checksum=%x "+
		"voters=%v learners=%v requests=%+v err=%v",
		f.name, f.process.paused, replica.IsLeader(), replica.IsVoter(), replica.Term(), index, checksum,
		voters, learners, f.process.idempotency.Records(), replica.Err())
}
