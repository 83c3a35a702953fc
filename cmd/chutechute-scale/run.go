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

var errNoSubcommand = errors.New("missing subcommand: run or fit")

// Defaults of a run.
const (
	defaultControls     = 5
	defaultSeconds      = 10
	defaultRealControls = 3
	defaultChanges      = 3
	defaultSeed         = 20261202
)

// startSpan is the period over which the traffic of a fleet that starts all at once is averaged. The budget
// for this traffic covers the same period.
const startSpan = 10 * time.Second

// runFlags are the flags of the run command.
type runFlags struct {
	shape        scale.Shape
	faults       string
	virtual      bool
	resultFile   string
	realControls int
	changes      int
	program      string
	startOver    time.Duration
	note         string

	measureCPU bool
}

func newRun() *cobra.Command {
	f := &runFlags{}
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a fleet and measure its control traffic",
		Long: `Run starts a fleet on loopback: some control members are processes of chutechute, and all other front ends are
hollow (membership, links and replica, without clients, engines and scheduler). It measures the messages and bytes on
the links, processor time and memory, and how long a change takes to reach the last front end. All processes that it
starts end with it.

The faults of a script are separated by semicolons. Each has a time, a kind and, if the kind needs them, a target and a
duration:
  5s kill control 1; 8s restart 10% over 2s; 12s cut zone a; 15s heal; 20s stop attached 3 for 10s`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.shape.FrontEnds, "front-ends", 0,
		"all front ends, including the control members; 0: control members only")
	flags.IntVar(&f.shape.Controls, "control", defaultControls, "control members")
	flags.IntVar(&f.shape.Zones, "zones", 3, "zones that the front ends are spread over")
	flags.Float64Var(&f.shape.Seconds, "seconds", defaultSeconds,
		"how many seconds are measured, once the whole fleet is up")
	flags.Uint64Var(&f.shape.Seed, "seed", defaultSeed, "seed of all random choices")
	flags.StringVar(&f.faults, "faults", "",
		"a `script` of faults; in virtual time also the name of a scenario, such as rest, start or zone")
	flags.BoolVar(&f.virtual, "virtual", false, "run in virtual time, without sockets")
	flags.BoolVar(&f.measureCPU, "processor", false,
		"in virtual time, measure processor time too, which differs between runs with the same seed")
	flags.StringVar(&f.resultFile, "json", "", "the `file` that the result is written to")
	flags.IntVar(&f.realControls, "real", defaultRealControls, "control members that are processes of chutechute")
	flags.IntVar(&f.changes, "changes", defaultChanges,
		"front ends that are killed and started again, one by one, after the measured part")
	flags.StringVar(&f.program, "program", "",
		"the chutechute program; if not given, the one in the folder of this program")
	flags.DurationVar(&f.startOver, "over", 0,
		"the period over which the starts of hollow front ends are spread evenly; 0: all at once")
	flags.StringVar(&f.note, "note", "", "a note to store in the result, such as what else ran on the machine")
	return cmd
}

// run executes the command. Errors from before anything has started are usage errors. A run in virtual time that
// violates an invariant of the membership has a result as well as an error.
func (f *runFlags) run(cmd *cobra.Command) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), &slog.HandlerOptions{Level: slog.LevelError})))
	progress := func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
	if err := f.shape.Check(); err != nil {
		return err
	}
	started := time.Now()
	measure := f.runSockets
	if f.virtual {
		measure = f.runVirtual
		if _, isScenario := membership.ScenarioByName(f.faults); (isScenario || f.faults == "") &&
			!cmd.Flags().Changed("seconds") {
			f.shape.Seconds = 0 // the scenario's own duration
		}
	}
	result, runErr := measure(progress)
	if result == nil {
		return runErr
	}
	progress("done in %.1f s", time.Since(started).Seconds())
	if f.note != "" {
		result.Notes = append(result.Notes, f.note)
	}
	if f.resultFile != "" {
		result.Name = strings.TrimSuffix(filepath.Base(f.resultFile), filepath.Ext(f.resultFile))
		if err := scale.Write(f.resultFile, result); err != nil {
			return cli.AsFailure(err)
		}
	}
	return cli.AsFailure(errors.Join(runErr, printResult(cmd.OutOrStdout(), result)))
}

// runSockets runs a fleet over loopback sockets.
func (f *runFlags) runSockets(progress func(string, ...any)) (*scale.Result, error) {
	faults, err := scale.ParseFaults(f.faults)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, cli.AsFailure(err)
	}
	if f.program == "" {
		f.program = filepath.Join(filepath.Dir(self), "chutechute")
	}
	o := &sockets.Options{Shape: f.shape, RealControls: f.realControls, Program: f.program, RestartCount: f.changes,
		StartWindow: startSpan, StartSpread: f.startOver, Faults: faults, Script: f.faults,
		Worker: []string{self, hollowCommand}, Progress: progress}
	if err := sockets.Check(o); err != nil {
		return nil, err
	}
	result, err := sockets.Run(o)
	return result, cli.AsFailure(err)
}

// runVirtual simulates a fleet in virtual time. Errors in the shape or the script are found before the simulation
// starts.
func (f *runFlags) runVirtual(progress func(string, ...any)) (*scale.Result, error) {
	switch {
	case f.shape.Controls < 2:
		return nil, &scale.FlagError{Flag: "control", Value: f.shape.Controls,
			Reason: "is below 2, the number of control members that a front end attaches to"}
	case f.shape.Attached() == 0:
		return nil, &scale.FlagError{Flag: "front-ends", Value: f.shape.FrontEnds,
			Reason: "leaves no attached front end, which --virtual requires"}
	}
	result, err := membership.Run(membership.Options{FrontEnds: f.shape.FrontEnds, Controls: f.shape.Controls,
		Zones: f.shape.Zones, Seconds: f.shape.Seconds, Seed: f.shape.Seed, Faults: f.faults, MeasureCPU: f.measureCPU,
		Progress: func(text string) { progress("%s", text) }})
	if result == nil {
		return nil, err
	}
	result.Date, result.Machine = time.Now().UTC().Format(time.DateOnly), scale.DescribeMachine()
	return result, err
}

// printResult prints the figures of a run.
func printResult(out io.Writer, r *scale.Result) error {
	return table(out, func(line func(...any)) {
		line("ROLE", "MEMBERS", "MESSAGES/S", "BYTES/S IN", "BYTES/S OUT", "PROCESSOR us/s", "RESIDENT KB", "HEAP KB",
			"CONNECTIONS")
		for _, f := range r.Roles {
			line(f.Role, f.Members, fmt.Sprintf("%.1f in, %.1f out", f.MessagesIn, f.MessagesOut),
				fmt.Sprintf("%.0f + %.0f", f.BytesIn, f.FramingIn), fmt.Sprintf("%.0f + %.0f", f.BytesOut, f.FramingOut),
				fmt.Sprintf("%.0f", f.CPUMicros), fmt.Sprintf("%.0f", f.MemoryBytes/1024), fmt.Sprintf("%.0f", f.HeapBytes/1024),
				fmt.Sprintf("%.1f", f.Connections))
		}
		if s := r.Spread; s != nil {
			line("a change reaches the last", s.Count, fmt.Sprintf("median %.0f ms, p99 %.0f, most %.0f, unreached %d",
				s.MedianMS, s.P99MS, s.MaxMS, s.Unreached))
		}
		for _, p := range r.Points {
			for _, name := range sortedNames(p.Figures) {
				line(fmt.Sprintf("%s %g", p.Axis, p.X), name, fmt.Sprintf("%.3g", p.Figures[name]))
			}
		}
	})
}
