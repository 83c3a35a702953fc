package membership

import (
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// member is one front end's machine, of either role. It persists when its processes end.
type member struct {
	sim    *simulation
	index  int // in simulation.members
	name   string
	zone   int
	region int
	role   membership.Role

	process       *process          // nil if none runs
	generation    int               // of the latest process, from 1; 0 before the first
	startsAndEnds []monotime.Micros // times of starts and ends of processes, alternating
	resumedAt     monotime.Micros   // when a paused process was last resumed; 0 if never

	// Faults.
	poweredOff           bool // the machine is down: it neither answers dials nor resets connections
	readRate             int  // bytes read from each connection per second; 0 for no limit
	readStalled          bool // it reads nothing
	queueLimit           int  // bytes that the other end of each connection may queue for it
	isolated             bool // partitioned from all other members
	isolatedFromAttached bool // partitioned from all attached front ends; for control members

	traffic    memberTraffic
	burstTimes burstTimes
}

func (m *member) zoneName() string { return scale.ZoneName(m.zone) }

// responsive reports whether a process is running and not paused.
func (m *member) responsive() bool { return m.process != nil && !m.process.paused }

// start starts a process, unless one is running.
func (m *member) start() {
	if m.process != nil {
		return
	}
	m.poweredOff = false
	m.generation++
	m.startsAndEnds = append(m.startsAndEnds, m.sim.now)
	p := newProcess(m)
	m.process = p
	m.sim.groundTruth.recordStart(p)
	p.start()
}

// crashScope is what crashes: only a process, or its whole machine.
type crashScope uint8

const (
	processCrash crashScope = iota // the operating system resets the connections of the process
	machineCrash                   // connections are not reset
)

// crash ends the process without a graceful shutdown.
func (m *member) crash(scope crashScope) {
	p := m.process
	if scope == machineCrash {
		m.poweredOff = true
	}
	if p == nil {
		return
	}
	m.process = nil
	m.startsAndEnds = append(m.startsAndEnds, m.sim.now)
	p.deferred = nil
	m.sim.groundTruth.recordEnd(p)
	p.role.crashed(scope)
}

// restart crashes the process and starts the next one after restartDownTime.
func (m *member) restart() {
	m.crash(processCrash)
	m.sim.scheduleAfter(restartDownTime, m.start)
}

// pause suspends the process. Steps that become due wait until it is resumed.
func (m *member) pause() {
	if !m.responsive() {
		return
	}
	m.process.paused = true
	m.sim.groundTruth.stopWaitingFor(m.index)
	m.process.eachLink(func(l *link) { l.scheduleSilenceTimeout(m.process.side().other()) })
}

// resume continues a paused process, which executes the steps deferred meanwhile.
func (m *member) resume() {
	p := m.process
	if p == nil || !p.paused {
		return
	}
	p.paused = false
	m.resumedAt = m.sim.now
	deferred := p.deferred
	p.deferred, p.backlogBytes = nil, 0
	if m.sim.random.IntN(2) == 0 { // the process may read its clock before the messages that have arrived
		p.execute(p.role.tick)
	}
	for _, run := range deferred {
		p.execute(run)
	}
	p.drainLinks()
}

// resumeReading ends a read stall.
func (m *member) resumeReading() {
	m.readStalled = false
	if m.process != nil {
		m.process.drainLinks()
	}
}

// ranAt reports whether a process was running at a time.
func (m *member) ranAt(when monotime.Micros) bool {
	index, exact := slices.BinarySearch(m.startsAndEnds, when)
	if exact {
		index++
	}
	return index%2 == 1
}
