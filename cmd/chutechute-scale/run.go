package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/scale"
	"chutechute/internal/scale/sockets"
	"chutechute/simulation/membership"
)

var errNoCommand = errors.New("run or fit?")

// Defaults of a run.
const (
	defaultControls = 5
	defaultSeconds  = 10
	defaultReal     = 3
	defaultChanges  = 3
	defaultSeed     = 20261202
)

// startSpan is what the traffic of a fleet that starts at once is averaged over, as its budget is.
const startSpan = 10 * time.Second

// runFlags are those of the command run.
type runFlags struct {
	shape   scale.Shape
	faults  string
	virtual bool
	file    string
	real    int
	changes int
	program string
	over    time.Duration
	note    string

	processor bool
}

func newRun() *cobra.Command {
	f := &runFlags{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a fleet and measure its control traffic",
		Long: `Run starts a fleet on loopback: processes of the program as control members, and hollow front ends (membership, links and
copy of the record without clients, engines and decisions) as all others. It counts messages and bytes at the links, processor
and memory, and how long a change takes to reach the last front end. All that it starts ends with it.

A script of faults has semicolons between faults: a time, a kind, whom it befalls, and how long:
  5s kill control 1; 8s restart 10% over 2s; 12s cut zone a; 15s heal; 20s stop attached 3 for 10s`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.shape.FrontEnds, "front-ends", 0, "all front ends, control members too; 0: there are no others")
	flags.IntVar(&f.shape.Controls, "control", defaultControls, "control members")
	flags.IntVar(&f.shape.Zones, "zones", 3, "zones that front ends are spread over")
	flags.Float64Var(&f.shape.Seconds, "seconds", defaultSeconds, "how long is measured, once all are there")
	flags.Uint64Var(&f.shape.Seed, "seed", defaultSeed, "of all that is drawn")
	flags.StringVar(&f.faults, "faults", "", "a `script` of faults; in virtual time also a scenario's name, such as rest, start or zone")
	flags.BoolVar(&f.virtual, "virtual", false, "in virtual time, without sockets")
	flags.BoolVar(&f.processor, "processor", false, "measure processor time in virtual time too, which no seed determines")
	flags.StringVar(&f.file, "json", "", "the result's `file`")
	flags.IntVar(&f.real, "real", defaultReal, "control members that are processes of the program")
	flags.IntVar(&f.changes, "changes", defaultChanges, "front ends that are killed and started one by one after the measured part")
	flags.StringVar(&f.program, "program", "", "the built program; chutechute beside this one where it is left out")
	flags.DurationVar(&f.over, "over", 0, "the span over which hollow front ends start evenly; 0: all at once")
	flags.StringVar(&f.note, "note", "", "a note that the result keeps, such as what else the machine did")
	return cmd
}

// run does the work. Errors before anything has started are of the way in which it was asked for. A run in virtual time that breaks a
// rule of the membership has a result too.
func (f *runFlags) run(cmd *cobra.Command) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: slog.LevelError})))
	progress := func(form string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), form+"\n", args...) }
	if err := f.shape.Check(); err != nil {
		return err
	}
	began := time.Now()
	work := f.runSockets
	if f.virtual {
		work = f.runVirtual
		if _, named := membership.ScenarioByName(f.faults); (named || f.faults == "") && !cmd.Flags().Changed("seconds") {
			f.shape.Seconds = 0 // as the scenario has it
		}
	}
	result, broken := work(progress)
	if result == nil {
		return broken
	}
	progress("done in %.1f s", time.Since(began).Seconds())
	if f.note != "" {
		result.Notes = append(result.Notes, f.note)
	}
	if f.file != "" {
		result.Name = strings.TrimSuffix(filepath.Base(f.file), filepath.Ext(f.file))
		if err := scale.Write(f.file, result); err != nil {
			return cli.Fail(err)
		}
	}
	return cli.Fail(errors.Join(broken, show(cmd.OutOrStdout(), result)))
}

func (f *runFlags) runSockets(progress func(string, ...any)) (*scale.Result, error) {
	faults, err := scale.ParseFaults(f.faults)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, cli.Fail(err)
	}
	if f.program == "" {
		f.program = filepath.Join(filepath.Dir(self), "chutechute")
	}
	o := &sockets.Options{Shape: f.shape, Real: f.real, Program: f.program, Changes: f.changes, Start: startSpan, Over: f.over,
		Faults: faults, Script: f.faults, Worker: []string{self, hollowCommand}, Progress: progress}
	if err := sockets.Check(o); err != nil {
		return nil, err
	}
	result, err := sockets.Run(o)
	return result, cli.Fail(err)
}

// runVirtual plays a fleet in virtual time. What the shape or the script has wrong is found before anything is played.
func (f *runFlags) runVirtual(progress func(string, ...any)) (*scale.Result, error) {
	switch {
	case f.shape.Controls < 2:
		return nil, &scale.FlagError{Flag: "control", Value: f.shape.Controls, Reason: "is below the two that each front end attaches to"}
	case f.shape.Attached() == 0:
		return nil, &scale.FlagError{Flag: "front-ends", Value: f.shape.FrontEnds, Reason: "leaves none that is attached, with --virtual"}
	}
	result, err := membership.Run(membership.Options{FrontEnds: f.shape.FrontEnds, Controls: f.shape.Controls, Zones: f.shape.Zones,
		Seconds: f.shape.Seconds, Seed: f.shape.Seed, Faults: f.faults, MeasureCPU: f.processor,
		Progress: func(word string) { progress("%s", word) }})
	if result == nil {
		return nil, err
	}
	result.Date, result.Machine = time.Now().UTC().Format(time.DateOnly), scale.Machine()
	return result, err
}

// show prints what a run measured.
func show(out io.Writer, r *scale.Result) error {
	return table(out, func(line func(...any)) {
		line("ROLE", "MEMBERS", "MESSAGES/S", "BYTES/S IN", "BYTES/S OUT", "PROCESSOR us/s", "RESIDENT KB", "HEAP KB", "CONNECTIONS")
		for _, f := range r.Roles {
			line(f.Role, f.Members, fmt.Sprintf("%.1f in, %.1f out", f.MessagesIn, f.MessagesOut),
				fmt.Sprintf("%.0f + %.0f", f.BytesIn, f.FramingIn), fmt.Sprintf("%.0f + %.0f", f.BytesOut, f.FramingOut),
				fmt.Sprintf("%.0f", f.CPUMicros), fmt.Sprintf("%.0f", f.MemoryBytes/1024), fmt.Sprintf("%.0f", f.HeapBytes/1024),
				fmt.Sprintf("%.1f", f.Connections))
		}
		if s := r.Spread; s != nil {
			line("a change reaches the last", s.Count, fmt.Sprintf("median %.0f ms, p99 %.0f, most %.0f, unreached %d", s.MedianMS, s.P99MS,
				s.MostMS, s.Unreached))
		}
		for _, p := range r.Points {
			for _, name := range sortedNames(p.Figures) {
				line(fmt.Sprintf("%s %g", p.Axis, p.X), name, fmt.Sprintf("%.3g", p.Figures[name]))
			}
		}
	})
}
