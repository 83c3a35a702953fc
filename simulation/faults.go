package simulation

import (
	"fmt"

	"chutechute/internal/monotime"
)

// randomFaults are the faults that InjectFaults draws from. All entries have the same probability, and some faults have
// two entries. Each fault gets two randomly drawn front ends, which may be the same one.
var randomFaults = [...]func(s *Simulation, a, b *FrontEnd){
	(*Simulation).crashOne,
	(*Simulation).crashOne,
	(*Simulation).pauseOne,
	(*Simulation).pauseOne,
	(*Simulation).partitionOneWay,
	(*Simulation).partitionOneWay,
	(*Simulation).partitionBothWays,
	(*Simulation).partitionInTwo,
	(*Simulation).slowNetwork,
	(*Simulation).toggleDuplicates,
	(*Simulation).toggleLongDelays,
	(*Simulation).pauseLeader,
	(*Simulation).crashAll,
}

// InjectFaults injects faults for a duration of true time, at intervals from half to one and a half times the given
// length, and then ends all faults. It empties one disk at a time, and the next one only when all replicas have caught
// up, since the replicated log does not survive the loss of more.
func (s *Simulation) InjectFaults(interval, duration monotime.Micros) {
	until := s.now + duration
	var inject func()
	inject = func() {
		if s.now >= until {
			s.Heal()
			return
		}
		s.injectRandomFault()
		s.after(s.random.between(interval/2, interval*3/2), inject)
	}
	s.after(interval, inject)
}

func (s *Simulation) injectRandomFault() {
	a, b := s.randomFrontEnd(), s.randomFrontEnd()
	inject := randomFaults[s.random.IntN(len(randomFaults))]
	inject(s, a, b)
}

// Heal ends all network faults, resumes paused front ends and starts those that do not run. Crash points have no effect
// from then on.
func (s *Simulation) Heal() {
	s.logFault("heal")
	s.healed = true
	s.network.heal()
	for _, f := range s.FrontEnds {
		f.resume()
		f.start()
	}
}

// crashOne crashes a front end and schedules its restart. It may empty the disk, but only if all replicas have caught
// up. Without durable disks, where each crash empties the disk, it crashes no front end otherwise.
func (s *Simulation) crashOne(f, _ *FrontEnd) {
	if f.process == nil {
		return
	}
	emptyDisk := !s.options.DurableDisks || s.random.oneIn(2)
	if emptyDisk && !s.allReplicasCaughtUp() {
		if !s.options.DurableDisks {
			return
		}
		emptyDisk = false
	}
	f.crash(emptyDisk)
	s.after(s.random.between(minRestartDelay, maxRestartDelay), f.start)
}

// crashAll crashes all front ends at the same time. It does nothing without durable disks, since the state of the
// replicated log would be lost.
func (s *Simulation) crashAll(_, _ *FrontEnd) {
	if !s.options.DurableDisks {
		return
	}
	for _, f := range s.FrontEnds {
		f.crash(false)
		s.after(s.random.between(minRestartDelay, second), f.start)
	}
}

func (s *Simulation) pauseOne(f, _ *FrontEnd) {
	f.pause()
	s.after(s.random.between(50*ms, 10*second), f.resume)
}

// pauseLeader pauses the first front end whose replica considers itself the leader.
func (s *Simulation) pauseLeader(_, _ *FrontEnd) {
	for _, f := range s.FrontEnds {
		if f.isRunning() && f.process.node.Replica().IsLeader() {
			f.pause()
			s.after(s.random.between(second, 6*second), f.resume)
			return
		}
	}
}

func (s *Simulation) partitionOneWay(from, to *FrontEnd) {
	s.partition(from, to, s.random.between(100*ms, 8*second))
}

func (s *Simulation) partitionBothWays(a, b *FrontEnd) {
	s.partition(a, b, s.random.between(100*ms, 8*second))
	s.partition(b, a, s.random.between(100*ms, 8*second))
}

// partitionInTwo splits the front ends at random into two groups that cannot reach each other.
func (s *Simulation) partitionInTwo(_, _ *FrontEnd) {
	duration := s.random.between(500*ms, 10*second)
	onFirstSide := map[*FrontEnd]bool{}
	for _, f := range s.FrontEnds {
		onFirstSide[f] = s.random.oneIn(2)
	}
	for _, from := range s.FrontEnds {
		for _, to := range s.FrontEnds {
			if onFirstSide[from] != onFirstSide[to] {
				s.partition(from, to, duration)
			}
		}
	}
}

// partition drops all messages from one front end to another for a duration.
func (s *Simulation) partition(from, to *FrontEnd, duration monotime.Micros) {
	if from == to {
		return
	}
	link := directedLink{from: from.index, to: to.index}
	s.logFault("partition from %s to %s", from.name, to.name)
	s.network.partitioned[link] = true
	s.after(duration, func() { delete(s.network.partitioned, link) })
}

func (s *Simulation) slowNetwork(_, _ *FrontEnd) {
	s.network.maxDelay = s.random.between(defaultMaxMessageDelay, 400*ms)
	s.logFault("message delay up to %d ms", s.network.maxDelay/ms)
	s.after(s.random.between(0, 4*second), func() { s.network.maxDelay = defaultMaxMessageDelay })
}

func (s *Simulation) toggleDuplicates(_, _ *FrontEnd) {
	s.network.duplicates = !s.network.duplicates
	s.logFault("message duplication: %v", s.network.duplicates)
}

func (s *Simulation) toggleLongDelays(_, _ *FrontEnd) {
	s.network.longDelays = !s.network.longDelays
	s.logFault("long message delays: %v", s.network.longDelays)
}

// logFault appends a message with the current time to the fault log.
func (s *Simulation) logFault(format string, args ...any) {
	s.FaultLog = append(s.FaultLog, fmt.Sprintf("%10.6f %s", seconds(s.now), fmt.Sprintf(format, args...)))
}
