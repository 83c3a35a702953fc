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

// Durations and intervals of a run.
const (
	idleDuration    = time.Second      // over which the idle use of workers is measured
	assembleTimeout = 60 * time.Second // from the start until all front ends see all others
	settleDuration  = 4 * time.Second  // after that, until the traffic of the start has ended
	changeTimeout   = 30 * time.Second // for a change to be seen by all, also on a busy machine
	pollInterval    = 50 * time.Millisecond
	// assemblePollInterval is longer than pollInterval because counting the entries of a large view takes time of the
	// event loops.
	assemblePollInterval = 200 * time.Millisecond
	// workerTimeoutMargin is added to the time of the starts and the measured part; after that a worker ends by itself.
	workerTimeoutMargin = 5 * time.Minute
)

// socketLimitPerLink is the limit of open sockets that a control member is given for each of its links. Attached front
// ends may use a quarter of the limit only.
const socketLimitPerLink = 8

// run is a running fleet.
type run struct {
	opts         *Options
	plan         *plan
	dir          string
	discovery    *site.StubDiscovery
	workers      []*workerHandle
	processes    []*programProcess
	fleetSection json.RawMessage // of the installation
	startCount   uint64          // of hollow front ends
	running      map[*frontEnd]processStart
	tracker      changeTracker
	startReading reading       // at the end of startWindow; empty if the traffic of the start is not counted
	startWindow  time.Duration // from the start of the hollow front ends until startReading; 0 if there is none
}

// Check returns an error that names the flag if a run with these options is not possible. It starts nothing.
func Check(o *Options) error { _, err := newCheckedPlan(o); return err }

// newCheckedPlan checks the options against their ranges and the limits of the machine, and plans the run.
func newCheckedPlan(o *Options) (*plan, error) {
	if err := o.Shape.Check(); err != nil {
		return nil, err
	}
	if err := scale.CheckFaults(o.Faults, o.Shape); err != nil {
		return nil, err
	}
	if err := checkSupported(o.Faults); err != nil {
		return nil, err
	}
	if o.RealControls < 0 || o.RealControls >= o.Shape.Controls {
		return nil, &scale.FlagError{Flag: "real", Value: o.RealControls, Reason: "leaves no hollow control member"}
	}
	if o.RestartCount < 0 || o.RestartCount > maxChanges {
		return nil, &scale.FlagError{Flag: "changes", Value: o.RestartCount,
			Reason: fmt.Sprintf("is not from 0 to %d", maxChanges)}
	}
	if o.StartSpread < 0 || o.StartSpread > maxOver {
		return nil, &scale.FlagError{Flag: "over", Value: o.StartSpread, Reason: fmt.Sprintf("is not from 0 to %s", maxOver)}
	}
	if o.RealControls > 0 {
		if info, err := os.Stat(o.Program); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
			return nil, &scale.FlagError{Flag: "program", Value: o.Program,
				Reason: "is not an executable file; 'make build' builds the program"}
		}
	}
	limits, err := scale.ReadLimits()
	if err != nil {
		return nil, err
	}
	p := newPlan(o)
	return p, p.requirements(o).Check(limits)
}

const (
	maxChanges = 50
	maxOver    = 2 * time.Minute
)

// Run runs a fleet and measures it. All processes that it starts have ended when it returns.
func Run(o *Options) (*scale.Result, error) {
	plan, err := newCheckedPlan(o)
	if err != nil {
		return nil, err
	}
	if err := plan.assignAddresses(o); err != nil {
		return nil, err
	}
	r := &run{opts: o, plan: plan, running: map[*frontEnd]processStart{}}
	defer r.cleanUp()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	return r.measure()
}

// setUp starts all front ends, and waits until all see all others and the traffic of the start has ended.
func (r *run) setUp() (err error) {
	if r.dir, err = os.MkdirTemp("", "chutechute-scale-"); err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	if r.discovery, err = site.NewStubDiscovery(); err != nil {
		return err
	}
	if r.fleetSection, err = json.Marshal(r.plan.fleetSection(r.opts.Shape)); err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	if err := r.startWorkers(); err != nil {
		return err
	}
	for _, f := range r.plan.real {
		p := &programProcess{frontEnd: f, dir: r.dir, program: r.opts.Program, discoveryAddr: r.discovery.Addr(),
			siteSize: r.opts.Shape.Total(), socketLimit: socketLimitPerLink * r.opts.linksPerControl(),
			fleetSection: r.fleetSection}
		r.processes = append(r.processes, p)
		if err := r.start(f); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.awaitFullViews(); err != nil {
		return err
	}
	assembled := time.Now()
	r.opts.Progress("all %d front ends see one another after %.1f s", r.opts.Shape.Total(), assembled.Sub(start).Seconds())
	if r.opts.Shape.Attached() > 0 && r.opts.StartWindow > 0 && r.opts.StartSpread == 0 {
		if err := r.readStartTraffic(start); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(assembled.Add(settleDuration)))
	return nil
}

// readStartTraffic takes a reading at the end of the start window, for the cost of starting the whole fleet at once,
// which includes snapshots.
func (r *run) readStartTraffic(start time.Time) (err error) {
	time.Sleep(time.Until(start.Add(r.opts.StartWindow)))
	if r.startReading, err = r.takeReading(); err != nil {
		return err
	}
	r.startWindow = r.startReading.at.Sub(start)
	return nil
}

// startWorkers starts the workers, and measures what they use before they have front ends.
func (r *run) startWorkers() error {
	installation, err := json.Marshal(map[string]json.RawMessage{"fleet": r.fleetSection})
	if err != nil {
		return fmt.Errorf("sockets: %w", err)
	}
	maxDuration := r.opts.StartSpread + r.opts.Shape.MeasuredDuration() + workerTimeoutMargin
	r.opts.Progress("starting %d workers and %d processes of the program", len(r.plan.workers), len(r.plan.real))
	for _, frontEnds := range r.plan.workers {
		h, err := startWorker(r.opts.Worker, frontEnds, maxDuration)
		if err != nil {
			return err
		}
		r.workers = append(r.workers, h)
		if err := h.beginIdle(installation); err != nil {
			return err
		}
	}
	time.Sleep(idleDuration)
	for _, h := range r.workers {
		if err := h.endIdle(); err != nil {
			return err
		}
	}
	return nil
}

// awaitFullViews waits until all hollow front ends see all others. The error lists those that do not.
func (r *run) awaitFullViews() error {
	missing := ""
	for until := time.Now().Add(assembleTimeout); time.Now().Before(until); time.Sleep(assemblePollInterval) {
		missing = ""
		for _, h := range r.workers {
			reply, err := h.call(request{Op: opSeen, Total: r.opts.Shape.Total()})
			if err != nil {
				return err
			}
			if reply.Seen < len(h.frontEnds) {
				missing += fmt.Sprintf(" %d of %s..%s, which see %d or more;", len(h.frontEnds)-reply.Seen, h.frontEnds[0].name,
					h.frontEnds[len(h.frontEnds)-1].name, reply.Least)
			}
		}
		if missing == "" {
			return nil
		}
	}
	r.opts.Progress("longest turns of the workers' event loops: %s", r.longestTurns())
	return fmt.Errorf("sockets: after %s some front ends do not see all %d:%s", assembleTimeout, r.opts.Shape.Total(),
		missing)
}

// longestTurns lists the longest turn of each worker's event loop since the last figures, to explain a failed run.
func (r *run) longestTurns() string {
	var list []string
	for _, h := range r.workers {
		f, err := h.figures(false)
		if err != nil {
			return err.Error()
		}
		list = append(list, fmt.Sprintf("%d ms", f.LongestTurn/1000))
	}
	return strings.Join(list, ", ")
}

// cleanUp ends all workers and processes, and deletes the files of the run.
func (r *run) cleanUp() {
	for _, h := range r.workers {
		if err := h.stop(); err != nil {
			r.opts.Progress("worker: %v", err)
		}
	}
	for _, p := range r.processes {
		p.kill()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.dir != "" && strings.Contains(r.dir, "chutechute-scale-") {
		if err := os.RemoveAll(r.dir); err != nil {
			r.opts.Progress("%v", err)
		}
	}
}

// workerOf returns the worker that has a front end, or nil for a process of the program.
func (r *run) workerOf(f *frontEnd) *workerHandle {
	for _, h := range r.workers {
		for _, other := range h.frontEnds {
			if other == f {
				return h
			}
		}
	}
	return nil
}

// processOf returns the process of a front end, or nil for a hollow one.
func (r *run) processOf(f *frontEnd) *programProcess {
	for _, p := range r.processes {
		if p.frontEnd == f {
			return p
		}
	}
	return nil
}
