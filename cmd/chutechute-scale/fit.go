package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/scale"
)

var errNoSeries = errors.New("no figure was measured at three or more sizes")

func newFit() *cobra.Command {
	var to float64
	cmd := &cobra.Command{
		Use:   "fit FILE...",
		Short: "Fit curves to the figures of runs of several sizes",
		Long: `Fit fits a straight line and a power law to each figure that the results have at three or more sizes, both by
least squares, and prints the residual of each. The value at the size of --to is computed from the one with the smaller
relative residual; beyond the measured range it is an extrapolation, and the output says how far.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			if !(to > 0) {
				return &scale.FlagError{Flag: "to", Value: to, Reason: "is not above 0"}
			}
			var results []*scale.Result
			for _, file := range files {
				r, err := scale.Read(file)
				if err != nil {
					return cli.AsFailure(err)
				}
				results = append(results, r)
			}
			fits := scale.FitResults(results)
			if len(fits) == 0 {
				return cli.AsFailure(errNoSeries)
			}
			return cli.AsFailure(printFits(cmd.OutOrStdout(), fits, to))
		},
	}
	cmd.Flags().Float64Var(&to, "to", scale.TargetFrontEnds, "the size to compute values for")
	return cmd
}

func printFits(out io.Writer, fits []scale.Fit, to float64) error {
	return table(out, func(line func(...any)) {
		line("FIGURE", "MEASURED", "POWER LAW", "MISSES", "STRAIGHT LINE", "MISSES", "REPEATS DIFFER",
			fmt.Sprintf("AT %g", to), "BY")
		for i := range fits {
			f := &fits[i]
			power, residual := "-", "-"
			if f.Power != nil {
				power, residual = fmt.Sprintf("%.3g * x^%.2f", f.Power.Intercept, f.Power.Slope),
					fmt.Sprintf("%.1f%%", 100*f.Power.Residual)
			}
			value, law, beyond := f.Estimate(to)
			by := law
			if beyond > 1 {
				by += fmt.Sprintf(", extrapolated %.1f times beyond the largest", beyond)
			}
			line(f.Figure, fmt.Sprintf("%g to %g, %d runs", f.From, f.To, f.Samples), power, residual,
				fmt.Sprintf("%.3g + %.3g * x", f.Linear.Intercept, f.Linear.Slope), fmt.Sprintf("%.3g", f.Linear.Residual),
				fmt.Sprintf("%.1f%%", 100*f.MaxRepeatDifference), fmt.Sprintf("%.4g %s", value, f.Unit), by)
		}
	})
}

// table prints lines of cells in aligned columns.
func table(out io.Writer, rows func(line func(cells ...any))) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, c)
		}
		fmt.Fprintln(w)
	})
	return w.Flush()
}

func sortedNames(figures map[string]float64) []string { return slices.Sorted(maps.Keys(figures)) }
