package membership

import (
	"chutechute/fleet/membership"
	"chutechute/internal/monotime"
)

// Limits on how much the clocks of processes differ from virtual time.
const (
	maxClockDrift  = 0.001                  // relative error of the clock rate
	maxClockOffset = 1000 * monotime.Second // at the start of the run
)

// process is one run of the program on a member's machine.
type process struct {
	sim          *simulation
	member       *member
	incarnation  uint64
	generation   int // ordinal among the processes of its member, from 1
	clockOffset  monotime.Micros
	clockRate    float64
	paused       bool
	deferred     []func() // steps to execute when it is resumed
	backlogBytes int      // received by its operating system while it is paused
	// comparedDigest is the digest that the view had when it was last compared with the ground truth.
	comparedDigest uint64

	role     processRole      // control or frontEnd, whichever is set
	control  *controlProcess  // nil in an attached front end
	frontEnd *frontEndProcess // nil in a control member
}

// processRole is the part of a process that depends on the role of its member.
type processRole interface {
	// start schedules or runs the first tick.
	start()
	// tick runs the work that is due at the current time.
	tick()
	// view returns the view of the fleet.
	view() *membership.View
	// side returns which end of a link a process of this role is.
	side() side
	// allLinks returns the links to processes of the other role.
	allLinks() []*link
	// linkClosed handles the closing of a link, or a failed dial.
	linkClosed(l *link)
	// crashed handles the crash of the process or its machine.
	crashed(scope crashScope)
}

func newProcess(m *member) *process {
	s := m.sim
	p := &process{sim: s, member: m, generation: m.generation}
	p.incarnation = s.random.Uint64()>>2 | 1
	p.clockOffset = s.randomBetween(0, maxClockOffset)
	p.clockRate = 1 + maxClockDrift*(2*s.random.Float64()-1)
	return p
}

// start gives the process its role and begins its work.
func (p *process) start() {
	if p.member.role == membership.Control {
		p.control = newControlProcess(p)
		p.role = p.control
	} else {
		p.frontEnd = newFrontEndProcess(p)
		p.role = p.frontEnd
	}
	p.role.start()
}

// membershipConfig returns the configuration of a membership.Server or membership.Client.
func (p *process) membershipConfig() membership.Config {
	config := membership.Config{
		Name:        p.member.name,
		Zone:        p.member.zoneName(),
		Incarnation: p.incarnation,
		Seed:        p.sim.random.Uint64(),
	}
	for _, m := range p.sim.controlMembers {
		control := membership.ControlMember{Name: m.name, Zone: m.zoneName()}
		config.ControlMembers = append(config.ControlMembers, control)
	}
	return config
}

// localTime returns the time of the process's clock.
func (p *process) localTime() monotime.Micros {
	return p.clockOffset + monotime.Micros(float64(p.sim.now)*p.clockRate)
}

// simulationTime returns the virtual time at which the process's clock shows the local time, rounded up.
func (p *process) simulationTime(local monotime.Micros) monotime.Micros {
	return monotime.Micros(float64(local-p.clockOffset)/p.clockRate) + 1
}

// running reports whether the process has not ended. A paused process counts as running.
func (p *process) running() bool { return p.member.process == p }

// execute runs a step of the process. If the process is paused, the step runs when it is resumed; if it has ended, the
// step is dropped.
func (p *process) execute(step func()) {
	switch {
	case !p.running():
	case p.paused:
		p.deferred = append(p.deferred, step)
	default:
		startedAt := p.sim.cpuMeter.begin()
		step()
		p.sim.cpuMeter.end(startedAt, p.member.role)
		if p.running() {
			p.sim.groundTruth.compareOnDigestChange(p)
		}
	}
}

func (p *process) view() *membership.View { return p.role.view() }

func (p *process) side() side { return p.role.side() }

// eachLink calls a function for each link of the process, in a fixed order. The function may close links.
func (p *process) eachLink(call func(*link)) {
	list := append([]*link(nil), p.role.allLinks()...)
	for _, l := range list {
		call(l)
	}
}

// drainLinks sends the messages that are queued for the process, for as long as it reads.
func (p *process) drainLinks() {
	p.eachLink(func(l *link) { l.drain(p.side().other()) })
}
