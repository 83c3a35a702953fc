package sockets

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chutechute/internal/scale"
)

// step is one front end's part in a fault.
type step struct {
	at   time.Duration
	text string
	do   func() error
}

// steps are the faults of the script in the order of their times.
func (r *run) steps() (list []step) {
	random := rand.New(rand.NewPCG(r.o.Shape.Seed, 1))
	for _, f := range r.o.Faults {
		targets := r.targets(f.Target, random)
		for n, target := range targets {
			at := f.At + time.Duration(float64(f.Over)*float64(n)/float64(len(targets)))
			list = append(list, r.stepsOf(f, target, at)...)
		}
	}
	slices.SortStableFunc(list, func(a, b step) int { return int(a.at - b.at) })
	return list
}

// checkFaults refuses the faults that only virtual time has.
func checkFaults(list []scale.Fault) error {
	for i, f := range list {
		if f.Kind == scale.Cut || f.Kind == scale.Heal {
			return &scale.ScriptError{Fault: i + 1, Word: f.Kind.String(),
				Reason: "only with --virtual: nothing stands between links over sockets"}
		}
	}
	return nil
}

// stepsOf is what one target of a fault goes through.
func (r *run) stepsOf(f scale.Fault, target *front, at time.Duration) []step {
	name := func(what string) string { return fmt.Sprintf("%s %s", what, target.name) }
	switch f.Kind {
	case scale.Kill:
		list := []step{{at, name("kill"), func() error { return r.lose(target) }}}
		if f.For > 0 {
			list = append(list, step{at + f.For, name("start"), func() error { return r.bring(target) }})
		}
		return list
	case scale.Restart:
		return []step{{at, name("restart"), func() error { return r.restart(target) }}}
	case scale.Stop:
		return []step{{at, name("stop"), func() error { return r.pause(target, f.For) }}}
	}
	return nil
}

// targets are the front ends that a fault befalls.
func (r *run) targets(t scale.Target, random *rand.Rand) (list []*front) {
	all := r.plan.fronts
	switch t.Kind {
	case scale.TargetControl:
		return all[t.Number-1 : t.Number]
	case scale.TargetAttached:
		n := r.o.Shape.Controls + t.Number
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

// play goes through the steps, and returns at the end of the measured part.
func (r *run) play(list []step, began time.Time) error {
	for _, s := range list {
		if s.at >= r.o.Shape.MeasuredDuration() {
			break
		}
		time.Sleep(time.Until(began.Add(s.at)))
		r.o.Progress("%6.2f s %s", time.Since(began).Seconds(), s.text)
		if err := s.do(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(r.o.Shape.MeasuredDuration())))
	return nil
}

// changes kills and starts front ends of the last role one by one, so that how soon others see it is not blurred by another change. Each
// is another one, as changes about one name are told at a bounded rate only.
func (r *run) changes() error {
	var candidates []*front
	for _, h := range r.hollows {
		if h.fronts[0].attached == (r.o.Shape.Attached() > 0) {
			candidates = append(candidates, h.fronts...)
		}
	}
	random := rand.New(rand.NewPCG(r.o.Shape.Seed, 2))
	for _, i := range random.Perm(len(candidates))[:min(r.o.Changes, len(candidates))] {
		f := candidates[i]
		if err := r.lose(f); err != nil {
			return err
		}
		if r.watch.settle() > 0 {
			return nil // a further change would only wait with this one
		}
		if err := r.bring(f); err != nil {
			return err
		}
		if r.watch.settle() > 0 {
			return nil
		}
	}
	return nil
}
