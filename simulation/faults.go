package simulation

import (
	"fmt"

	"chutechute/internal/monotime"
)

// randomFaults are the faults that InjectFaults draws from, with equal probability. Each is given two front ends
// drawn at random, which may be the same.
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

// InjectFaults injects a fault at intervals of about the given length for a duration of true time, and ends all faults
// then. No more disks are emptied than the replicated log can bear: one at a time, and the next one only once all
// replicas have caught up again.
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

// Heal ends all faults. None is injected any more.
func (s *Simulation) Heal() {
	s.logFault("heal")
	s.healed = true
	s.network.heal()
	for _, f := range s.FrontEnds {
		f.resume()
		f.start()
	}
}

// crashOne crashes a front end and starts it again, with an empty disk where that does no harm.
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

// crashAll crashes all front ends at the same time, which only durable disks outlive.
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

// pauseLeader pauses the first front end that takes itself for the leader.
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

// partitionInTwo partitions the front ends into two sides.
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

// partition drops what one front end sends to another for a duration.
func (s *Simulation) partition(from, to *FrontEnd, duration monotime.Micros) {
	if from == to {
		return
	}
	way := direction{from: from.index, to: to.index}
	s.logFault("partition from %s to %s", from.name, to.name)
	s.network.partitioned[way] = true
	s.after(duration, func() { delete(s.network.partitioned, way) })
}

func (s *Simulation) slowNetwork(_, _ *FrontEnd) {
	s.network.maxDelay = s.random.between(defaultMaxMessageDelay, 400*ms)
	s.logFault("messages take up to %d ms", s.network.maxDelay/ms)
	s.after(s.random.between(0, 4*second), func() { s.network.maxDelay = defaultMaxMessageDelay })
}

func (s *Simulation) toggleDuplicates(_, _ *FrontEnd) {
	s.network.duplicates = !s.network.duplicates
	s.logFault("duplicates of messages: %v", s.network.duplicates)
}

func (s *Simulation) toggleLongDelays(_, _ *FrontEnd) {
	s.network.longDelays = !s.network.longDelays
	s.logFault("long delays of messages: %v", s.network.longDelays)
}

// logFault adds a line to the fault log.
func (s *Simulation) logFault(format string, args ...any) {
	s.FaultLog = append(s.FaultLog, fmt.Sprintf("%10.6f %s", seconds(s.now), fmt.Sprintf(format, args...)))
}
