package sockets

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chutechute/internal/scale"
)

// faultStep is one action of a fault on one front end.
type faultStep struct {
	at          time.Duration // since the start of the measured part
	description string
	apply       func() error
}

// faultSteps returns the steps of all faults of the script, sorted by time.
func (r *run) faultSteps() (list []faultStep) {
	random := rand.New(rand.NewPCG(r.opts.Shape.Seed, 1))
	for _, f := range r.opts.Faults {
		targets := r.targets(f.Target, random)
		for n, target := range targets {
			at := f.At + time.Duration(float64(f.Over)*float64(n)/float64(len(targets)))
			list = append(list, r.targetSteps(f, target, at)...)
		}
	}
	slices.SortStableFunc(list, func(a, b faultStep) int { return int(a.at - b.at) })
	return list
}

// checkSupported rejects faults that are possible in virtual time only.
func checkSupported(list []scale.Fault) error {
	for i, f := range list {
		if f.Kind == scale.Cut || f.Kind == scale.Heal {
			return &scale.ScriptError{Fault: i + 1, Word: f.Kind.String(),
				Reason: "requires --virtual: links over sockets cannot be interrupted"}
		}
	}
	return nil
}

// targetSteps returns the steps of a fault on one of its targets.
func (r *run) targetSteps(f scale.Fault, target *frontEnd, at time.Duration) []faultStep {
	describe := func(action string) string { return fmt.Sprintf("%s %s", action, target.name) }
	switch f.Kind {
	case scale.Kill:
		list := []faultStep{{at, describe("kill"), func() error { return r.killAndTrack(target) }}}
		if f.For > 0 {
			list = append(list, faultStep{at + f.For, describe("start"), func() error { return r.startAndTrack(target) }})
		}
		return list
	case scale.Restart:
		return []faultStep{{at, describe("restart"), func() error { return r.restartAndTrack(target) }}}
	case scale.Stop:
		return []faultStep{{at, describe("stop"), func() error { return r.pause(target, f.For) }}}
	}
	return nil
}

// targets returns the front ends that a fault affects.
func (r *run) targets(t scale.Target, random *rand.Rand) (list []*frontEnd) {
	all := r.plan.frontEnds
	switch t.Kind {
	case scale.TargetControl:
		return all[t.Number-1 : t.Number]
	case scale.TargetAttached:
		n := r.opts.Shape.Controls + t.Number
		return all[n-1 : n]
	case scale.TargetShare:
		count := int(math.Ceil(float64(len(all)) * t.Percent / 100))
		for _, i := range random.Perm(len(all))[:count] {
			list = append(list, all[i])
		}
	case scale.TargetZone:
		for _, f := range all {
			if f.zone == t.Zone {
				list = append(list, f)
			}
		}
	case scale.TargetAll:
		list = all
	}
	return list
}

// playFaults carries out the steps at their times, and returns at the end of the measured part. Steps that are
// due later are skipped.
func (r *run) playFaults(list []faultStep, start time.Time) error {
	for _, s := range list {
		if s.at >= r.opts.Shape.MeasuredDuration() {
			break
		}
		time.Sleep(time.Until(start.Add(s.at)))
		r.opts.Progress("%6.2f s %s", time.Since(start).Seconds(), s.description)
		if err := s.apply(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(start.Add(r.opts.Shape.MeasuredDuration())))
	return nil
}

// measureChanges kills and starts front ends one by one, so that no two changes overlap and delay each other: attached
// front ends if there are any, control members otherwise. Each is a different one, because changes of one front end are
// propagated at a limited rate.
func (r *run) measureChanges() error {
	var candidates []*frontEnd
	for _, h := range r.workers {
		if h.frontEnds[0].attached == (r.opts.Shape.Attached() > 0) {
			candidates = append(candidates, h.frontEnds...)
		}
	}
	random := rand.New(rand.NewPCG(r.opts.Shape.Seed, 2))
	for _, i := range random.Perm(len(candidates))[:min(r.opts.RestartCount, len(candidates))] {
		f := candidates[i]
		if err := r.killAndTrack(f); err != nil {
			return err
		}
		if r.tracker.awaitAll() > 0 {
			return nil // a further change would have to wait too
		}
		if err := r.startAndTrack(f); err != nil {
			return err
		}
		if r.tracker.awaitAll() > 0 {
			return nil
		}
	}
	return nil
}
