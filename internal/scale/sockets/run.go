package sockets

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"chutechute/internal/scale"
	"chutechute/internal/testharness/site"
)

// Spans of a run.
const (
	idleSpan     = time.Second
	assembleWait = 60 * time.Second // from the start until all see all
	settleSpan   = 4 * time.Second  // after that, until what the start has caused is over
	changeWait   = 30 * time.Second // for a change to reach all, also on a busy machine
	pollEvery    = 50 * time.Millisecond
	// assembleEvery is longer, since counting a large view takes the loops' time.
	assembleEvery = 200 * time.Millisecond
	overhead      = 5 * time.Minute // a worker ends itself by this much after the measured part
)

// socketsShare is how many descriptors a control member is given for each link: attached front ends may have a quarter of them.
const socketsShare = 8

// run is a fleet that runs.
type run struct {
	o         *Options
	plan      *plan
	dir       string
	journal   *site.StubDiscovery
	hollows   []*hollows
	processes []*process
	section   json.RawMessage // as installations hold it
	starts    uint64
	running   map[*front]started
	watch     watch
	atStart   reading       // when the start's traffic had been counted; empty where it was not
	started   time.Duration // from the hollow front ends' start until then
}

// Check refuses what can't be run, before anything starts; errors name the flag.
func Check(o *Options) error { _, err := check(o); return err }

func check(o *Options) (*plan, error) {
	if err := o.Shape.Check(); err != nil {
		return nil, err
	}
	if err := scale.CheckFaults(o.Faults, o.Shape); err != nil {
		return nil, err
	}
	if err := checkFaults(o.Faults); err != nil {
		return nil, err
	}
	if o.Real < 0 || o.Real >= o.Shape.Controls {
		return nil, &scale.FlagError{Flag: "real", Value: o.Real, Reason: "leaves no hollow control member"}
	}
	if o.Changes < 0 || o.Changes > mostChanges {
		return nil, &scale.FlagError{Flag: "changes", Value: o.Changes, Reason: fmt.Sprintf("is not from 0 to %d", mostChanges)}
	}
	if o.Over < 0 || o.Over > mostOver {
		return nil, &scale.FlagError{Flag: "over", Value: o.Over, Reason: fmt.Sprintf("is not from 0 to %s", mostOver)}
	}
	if o.Real > 0 {
		if info, err := os.Stat(o.Program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, &scale.FlagError{Flag: "program", Value: o.Program, Reason: "is no program: 'make build' makes it"}
		}
	}
	limits, err := scale.ReadLimits()
	if err != nil {
		return nil, err
	}
	p := newPlan(o)
	return p, p.needs(o).Check(limits)
}

const (
	mostChanges = 50
	mostOver    = 2 * time.Minute
)

// Run runs a fleet and measures it. All that it starts has ended when it returns.
func Run(o *Options) (*scale.Result, error) {
	plan, err := check(o)
	if err != nil {
		return nil, err
	}
	if err := plan.place(o); err != nil {
		return nil, err
	}
	r := &run{o: o, plan: plan, running: map[*front]started{}}
	defer r.end()
	if err := r.begin(); err != nil {
		return nil, err
	}
	return r.measure()
}

// begin starts all and waits until all see all.
func (r *run) begin() (err error) {
	if r.dir, err = os.MkdirTemp("", "chutechute-scale-"); err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	if r.journal, err = site.NewStubDiscovery(); err != nil {
		return err
	}
	if r.section, err = json.Marshal(r.plan.section(r.o.Shape)); err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	if err := r.beginHollows(); err != nil {
		return err
	}
	for _, f := range r.plan.real {
		p := &process{front: f, dir: r.dir, program: r.o.Program, journal: r.journal.Addr(), total: r.o.Shape.Total(),
			sockets: socketsShare * r.o.linksOfControl(), section: r.section}
		r.processes = append(r.processes, p)
		if err := r.start(f); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.assemble(); err != nil {
		return err
	}
	assembled := time.Now()
	r.o.Progress("%d front ends see one another after %.1f s", r.o.Shape.Total(), assembled.Sub(began).Seconds())
	if r.o.Shape.Attached() > 0 && r.o.Start > 0 && r.o.Over == 0 {
		if err := r.first(began); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(assembled.Add(settleSpan)))
	return nil
}

// first counts what the start of the whole fleet at once cost, in which snapshots go out.
func (r *run) first(began time.Time) (err error) {
	time.Sleep(time.Until(began.Add(r.o.Start)))
	if r.atStart, err = r.read(); err != nil {
		return err
	}
	r.started = r.atStart.at.Sub(began)
	return nil
}

// beginHollows starts the processes of hollow front ends, and sees what they take while they have none.
func (r *run) beginHollows() error {
	installation, err := json.Marshal(map[string]json.RawMessage{"fleet": r.section})
	if err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	most := r.o.Over + r.o.Shape.MeasuredDuration() + overhead
	r.o.Progress("%d processes of hollow front ends, %d of the program", len(r.plan.groups), len(r.plan.real))
	for _, group := range r.plan.groups {
		h, err := startHollows(r.o.Worker, group, most)
		if err != nil {
			return err
		}
		r.hollows = append(r.hollows, h)
		if err := h.setup(installation); err != nil {
			return err
		}
	}
	time.Sleep(idleSpan)
	for _, h := range r.hollows {
		if err := h.rested(); err != nil {
			return err
		}
	}
	return nil
}

// assemble waits until all hollow front ends see all others.
func (r *run) assemble() error {
	missing := ""
	for until := time.Now().Add(assembleWait); time.Now().Before(until); time.Sleep(assembleEvery) {
		missing = ""
		for _, h := range r.hollows {
			reply, err := h.ask(request{Op: opSeen, Total: r.o.Shape.Total()})
			if err != nil {
				return err
			}
			if reply.Seen < len(h.fronts) {
				missing += fmt.Sprintf(" %d of %s..%s, the least %d;", len(h.fronts)-reply.Seen, h.fronts[0].name,
					h.fronts[len(h.fronts)-1].name, reply.Least)
			}
		}
		if missing == "" {
			return nil
		}
	}
	r.o.Progress("longest turns of the loops: %s", r.longestTurns())
	return fmt.Errorf("sockets: after %s not all front ends see all %d:%s", assembleWait, r.o.Shape.Total(), missing)
}

// longestTurns is those of the loops since they were last asked, for a run that comes to nothing.
func (r *run) longestTurns() string {
	var list []string
	for _, h := range r.hollows {
		f, err := h.figures(false)
		if err != nil {
			return err.Error()
		}
		list = append(list, fmt.Sprintf("%d ms", f.LongestTurn/1000))
	}
	return strings.Join(list, ", ")
}

// end ends all that was started, and takes the files away.
func (r *run) end() {
	for _, h := range r.hollows {
		if err := h.end(); err != nil {
			r.o.Progress("a process of hollow front ends: %v", err)
		}
	}
	for _, p := range r.processes {
		p.kill()
	}
	if r.journal != nil {
		r.journal.Close()
	}
	if r.dir != "" && strings.Contains(r.dir, "chutechute-scale-") {
		if err := os.RemoveAll(r.dir); err != nil {
			r.o.Progress("%v", err)
		}
	}
}

// hollowsOf is the worker that has a front end; nil for a real one.
func (r *run) hollowsOf(f *front) *hollows {
	for _, h := range r.hollows {
		for _, other := range h.fronts {
			if other == f {
				return h
			}
		}
	}
	return nil
}

// processOf is a real front end's process; nil for a hollow one.
func (r *run) processOf(f *front) *process {
	for _, p := range r.processes {
		if p.front == f {
			return p
		}
	}
	return nil
}
