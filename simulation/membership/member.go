package membership

import (
	"slices"

	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
	"chutechute/internal/scale"
)

// member is the machine of one front end of either role. It outlives its processes.
type member struct {
	sim    *simulation
	index  int // in simulation.members
	name   string
	zone   int
	region int
	role   membership.Role

	process       *process          // nil if none runs
	generation    int               // of the latest process, from 1; 0 before the first
	startsAndEnds []monotime.Micros // when processes started and ended, alternately
	resumedAt     monotime.Micros   // when a process was last resumed after a pause; 0 if never

	// Faults.
	poweredOff           bool // the machine neither answers a dial nor resets a connection
	readRate             int  // bytes a second that it reads from each connection; 0 for no limit
	readStalled          bool // it reads nothing
	queueLimit           int  // bytes that may be queued for it at the other end of a connection
	isolated             bool // partitioned from all other members
	isolatedFromAttached bool // a control member partitioned from all attached front ends

	traffic    memberTraffic
	burstTimes burstTimes
}

func (m *member) zoneName() string { return scale.ZoneName(m.zone) }

// responsive reports whether a process runs and is not paused.
func (m *member) responsive() bool { return m.process != nil && !m.process.paused }

// start starts a process unless one runs.
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

// crashScope is what crashes.
type crashScope uint8

const (
	processCrash crashScope = iota // the system resets the connections of the process
	machineCrash                   // peers are not notified of anything
)

// crash ends the process without notice.
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

// pause stops the process; what arrives for it waits until it is resumed.
func (m *member) pause() {
	if !m.responsive() {
		return
	}
	m.process.paused = true
	m.sim.groundTruth.stopWaitingFor(m.index)
	m.process.eachLink(func(l *link) { l.scheduleSilenceTimeout(m.process.side().other()) })
}

// resume lets a paused process continue, with all that arrived meanwhile.
func (m *member) resume() {
	p := m.process
	if p == nil || !p.paused {
		return
	}
	p.paused = false
	m.resumedAt = m.sim.now
	deferred := p.deferred
	p.deferred, p.backlogBytes = nil, 0
	if m.sim.random.IntN(2) == 0 { // a process may read its clock before it reads what has arrived
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

// ranAt reports whether a process ran at a time.
func (m *member) ranAt(when monotime.Micros) bool {
	index, exact := slices.BinarySearch(m.startsAndEnds, when)
	if exact {
		index++
	}
	return index%2 == 1
}
