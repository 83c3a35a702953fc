package membership

import (
	"slices"

	"chutechute/internal/monotime"
)

// Scenario is a hard case that a script of faults can't say, or that has a name since it is asked for.
type Scenario struct {
	Name               string
	About              string
	Seconds            float64 // of the measured part, where nothing else is asked for
	coldStart          bool    // the measured part begins as the whole fleet does
	forbidsFalseDeaths bool    // nobody is ever to be held for dead who runs
	inject             func(*simulation)
}

// Scenarios is all that have names.
func Scenarios() []Scenario { return slices.Clone(scenarios) }

// Named is the scenario of a name.
func Named(name string) (Scenario, bool) {
	place := slices.IndexFunc(scenarios, func(c Scenario) bool { return c.Name == name })
	if place < 0 {
		return Scenario{}, false
	}
	return scenarios[place], true
}

// Spans of the scenarios.
const (
	zoneDownTime             = 30 * monotime.Second        // until a lost zone is back
	controlDownTime          = 60 * monotime.Second        // until a lost control member is back
	rollingFirstDownTime     = 20 * monotime.Second        // until the first of a rolling restart is back
	rollingStart             = 40 * monotime.Second        // when its front ends have returned, in part
	rollingInterval          = 2500 * monotime.Millisecond // between two restarts
	successiveLossDelay      = 10 * monotime.Second        // until a zone's next control member is lost
	partitionDuration        = 60 * monotime.Second
	restartDownTime          = monotime.Second // from a restarted process's end to the next one's start
	flapInterval             = 3 * monotime.Second
	flapDuration             = 4 * minute
	partitionRestartInterval = 30 * monotime.Second // between two changes on each side of a cut
	pauseDuration            = 10 * monotime.Second
	lossyRate                = 0.01
	lossyDelay               = 300 * monotime.Millisecond
	// What is sent to a slow reader finds room only for one message more while others wait.
	stalledQueueLimit     = 64
	readStallDuration     = 1500 * monotime.Millisecond // for which it takes nothing, every other time
	stalledReaderDuration = 60 * monotime.Second
	// slowReadRate is bytes a second of one that reads less than its heartbeats are answered with.
	slowReadRate   = 15
	slowQueueLimit = 512
)

var scenarios = []Scenario{
	{Name: "rest", Seconds: 120, forbidsFalseDeaths: true, inject: func(*simulation) {}, About: "nothing happens"},
	{Name: "start", Seconds: 60, coldStart: true, forbidsFalseDeaths: true, inject: startAtOnce, About: "the whole fleet starts in one instant"},
	{Name: "zone", Seconds: 90, forbidsFalseDeaths: true, inject: injectZoneLoss,
		About: "a zone and its control members lost in one instant, and back together"},
	{Name: "restarts", Seconds: 60, forbidsFalseDeaths: true, inject: restartOneInTen,
		About: "a tenth of the attached front ends restarted within 10 s"},
	{Name: "flap", Seconds: 300, forbidsFalseDeaths: true, inject: injectFlapping, About: "one attached front end that restarts every 3 s for 4 minutes"},
	{Name: "deaths", Seconds: 60, forbidsFalseDeaths: true, inject: injectDeaths,
		About: "one attached front end in a hundred dies within 30 s, for good"},
	{Name: "regions", Seconds: 3600, forbidsFalseDeaths: true, inject: injectRegionPartition,
		About: "two regions lose each other for an hour, with changes in both"},
	{Name: "split", Seconds: 3600, inject: injectSplit, About: "two regions lose all others for an hour, with changes on both sides"},
	{Name: "control", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlLoss, About: "a control member lost, and back after a minute"},
	{Name: "controls", Seconds: 120, forbidsFalseDeaths: true, inject: injectSuccessiveControlLoss,
		About: "a control member lost, its zone's others 10 s later, and back after a minute"},
	{Name: "rolling", Seconds: 180, forbidsFalseDeaths: true, inject: injectRollingRestart,
		About: "a control member lost for 20 s, and then all others restarted one by one"},
	{Name: "deaf", Seconds: 120, forbidsFalseDeaths: true, inject: injectControlIsolation,
		About: "a control member cut off from all attached front ends, and not from the rest, for a minute"},
	{Name: "both", Seconds: 120, forbidsFalseDeaths: true, inject: injectHomePartition,
		About: "an attached front end cut off from both its control members at once, and from no other, for a minute"},
	{Name: "lossy", Seconds: 3600, forbidsFalseDeaths: true, inject: injectLoss,
		About: "an hour with a hundredth of the messages lost and all up to 300 ms late"},
	{Name: "disorder", Seconds: 60, forbidsFalseDeaths: true, inject: injectReordering,
		About: "a tenth restarted while a hundredth of the messages are lost and all come late and out of turn"},
	{Name: "chaos", Seconds: 90, inject: injectChaos, About: "anything that can fail fails at random"},
	{Name: "stopped", Seconds: 60, forbidsFalseDeaths: true, inject: injectPauses, About: "an attached front end and a control member stand still for 10 s"},
	{Name: "slow", Seconds: 90, forbidsFalseDeaths: true, inject: injectStalledReader,
		About: "an attached front end that takes nothing every other 1.5 s while a tenth are restarted"},
	{Name: "trickle", Seconds: 90, forbidsFalseDeaths: true, inject: injectSlowReader,
		About: "an attached front end that reads 15 bytes a second while a tenth are restarted"},
}

func startAtOnce(s *simulation) {
	s.markTrigger("start")
	s.startAll(0)
}

func injectLoss(s *simulation) { s.network.lossRate, s.network.maxExtraDelay = lossyRate, lossyDelay }

// startAll starts whoever is down: attached front ends over a span, control members in the first tenth of it.
func (s *simulation) startAll(over monotime.Micros) {
	for _, p := range s.controlMembers {
		s.scheduleAfter(s.randomBetween(0, over/10), p.start)
	}
	for _, p := range s.attachedFrontEnds {
		s.scheduleAfter(s.randomBetween(over/10, over), p.start)
	}
}

// zoneToLose is the last zone: at full size one of those with two control members and 117 attached front ends.
func (s *simulation) zoneToLose() int { return s.shape.Zones - 1 }

func injectZoneLoss(s *simulation) {
	var lost []*member
	for _, p := range s.members {
		if p.zone == s.zoneToLose() {
			lost = append(lost, p)
		}
	}
	s.scheduleAfter(monotime.Second, func() {
		s.markTrigger("zone lost")
		for _, p := range lost {
			p.crash(true)
		}
	})
	s.scheduleAfter(monotime.Second+zoneDownTime, func() {
		s.markTrigger("zone back")
		for _, p := range lost {
			p.start()
		}
	})
}

// restart ends a process and starts the next one.
func (p *member) restart() {
	p.crash(false)
	p.sim.scheduleAfter(restartDownTime, p.start)
}

// drawAttached draws so many attached front ends.
func (s *simulation) drawAttached(count int) (list []*member) {
	for _, i := range s.rng.Perm(len(s.attachedFrontEnds))[:min(count, len(s.attachedFrontEnds))] {
		list = append(list, s.attachedFrontEnds[i])
	}
	return list
}

func restartOneInTen(s *simulation) {
	s.markTrigger("restarts")
	for _, p := range s.drawAttached(len(s.attachedFrontEnds) / 10) {
		s.scheduleAfter(s.randomBetween(0, 10*monotime.Second), p.restart)
	}
}

func injectFlapping(s *simulation) {
	p := s.attachedFrontEnds[0]
	for _, c := range s.controlMembers {
		s.groundTruth.observedFlaps[[2]int{c.index, p.index}] = 0
	}
	for at := monotime.Second; at < flapDuration; at += flapInterval {
		s.scheduleAfter(at, p.restart)
	}
}

func injectDeaths(s *simulation) {
	for _, p := range s.drawAttached(max(1, len(s.attachedFrontEnds)/100)) {
		s.scheduleAfter(s.randomBetween(0, 30*monotime.Second), func() { p.crash(false) })
	}
}

// restartPeriodically restarts an attached front end of each group every so often, as long as the measured part lasts.
func (s *simulation) restartPeriodically(groups ...[]*member) {
	for _, group := range groups {
		for at := partitionRestartInterval; at < s.measuredDuration(); at += partitionRestartInterval {
			p := group[s.rng.IntN(len(group))]
			s.scheduleAfter(at, p.restart)
		}
	}
}

// attachedIn is the attached front ends of some.
func (s *simulation) attachedIn(which func(*member) bool) (list []*member) {
	for _, p := range s.attachedFrontEnds {
		if which(p) {
			list = append(list, p)
		}
	}
	return list
}

func injectRegionPartition(s *simulation) {
	s.network.partitionedRegions[[2]int{0, 1}] = true
	s.network.partitionChanged()
	in := func(region int) []*member { return s.attachedIn(func(p *member) bool { return p.region == region }) }
	s.restartPeriodically(in(0), in(1))
}

func injectSplit(s *simulation) {
	few := func(p *member) bool { return p.region < 2 && p.region < s.shape.Zones-1 }
	s.network.partitionSide = few
	s.network.partitionChanged()
	s.restartPeriodically(s.attachedIn(few), s.attachedIn(func(p *member) bool { return !few(p) }))
}

func injectControlLoss(s *simulation) {
	lost := s.controlMembers[0]
	s.scheduleAfter(monotime.Second, func() {
		s.markTrigger("control member lost")
		lost.crash(false)
	})
	s.scheduleAfter(monotime.Second+controlDownTime, func() {
		s.markTrigger("control member back")
		lost.start()
	})
}

func injectSuccessiveControlLoss(s *simulation) {
	first := s.controlMembers[0]
	for _, p := range s.controlMembers {
		if p.zone != first.zone {
			continue
		}
		at := monotime.Second
		if p != first {
			at += successiveLossDelay
		}
		s.scheduleAfter(at, func() {
			s.markTrigger(p.name + " lost")
			p.crash(false)
		})
		s.scheduleAfter(at+controlDownTime, p.start)
	}
}

func injectRollingRestart(s *simulation) {
	lost := s.controlMembers[0]
	s.scheduleAfter(monotime.Second, func() { lost.crash(false) })
	s.scheduleAfter(monotime.Second+rollingFirstDownTime, lost.start)
	for i, p := range s.controlMembers[1:] {
		s.scheduleAfter(rollingStart+monotime.Micros(i)*rollingInterval, p.restart)
	}
}

func injectControlIsolation(s *simulation) {
	p := s.controlMembers[0]
	s.scheduleAfter(monotime.Second, func() {
		s.markTrigger("control member deaf")
		p.isolatedFromAttached = true
		s.network.partitionChanged()
	})
	s.scheduleAfter(monotime.Second+partitionDuration, func() {
		s.markTrigger("control member hears again")
		p.isolatedFromAttached = false
	})
}

func injectHomePartition(s *simulation) {
	p := s.attachedFrontEnds[0]
	s.scheduleAfter(monotime.Second, func() {
		p.process.eachLink(func(l *link) { s.network.partitionedMembers[[2]int{l.target.index, p.index}] = true })
		s.network.partitionChanged()
	})
	s.scheduleAfter(monotime.Second+partitionDuration, func() { clear(s.network.partitionedMembers) })
}

func injectReordering(s *simulation) {
	injectLoss(s)
	s.network.reorder = true
	restartOneInTen(s)
}

func injectPauses(s *simulation) {
	for _, p := range []*member{s.attachedFrontEnds[0], s.controlMembers[0]} {
		s.scheduleAfter(monotime.Second, p.pause)
		s.scheduleAfter(monotime.Second+pauseDuration, p.resume)
	}
}

func injectStalledReader(s *simulation) {
	p := s.attachedFrontEnds[0]
	p.queueLimit = stalledQueueLimit
	for at := monotime.Micros(0); at < stalledReaderDuration; at += 2 * readStallDuration {
		s.scheduleAfter(at, func() { p.readStalled = true })
		s.scheduleAfter(at+readStallDuration, p.resumeReading)
	}
	restartOneInTen(s)
}

// resumeReading has a member that took nothing take what waits for it.
func (p *member) resumeReading() {
	p.readStalled = false
	if p.process != nil {
		p.process.eachLink(func(l *link) { l.drain(p.process.side().other()) })
	}
}

func injectSlowReader(s *simulation) {
	s.attachedFrontEnds[0].readRate, s.attachedFrontEnds[0].queueLimit = slowReadRate, slowQueueLimit
	restartOneInTen(s)
}

// endFaults ends all faults but deaths that were to last.
func (s *simulation) endFaults() {
	s.network.healPartitions()
	s.network.lossRate, s.network.maxExtraDelay, s.network.reorder = 0, 0, false
	for _, p := range s.members {
		p.readRate, p.queueLimit = 0, defaultQueueLimit
		p.resume()
		p.resumeReading()
	}
}
