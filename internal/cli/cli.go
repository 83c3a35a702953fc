// Package cli has what all command-line programs of the project share: exit codes and the output of results.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Main executes the root command. On an error it exits the process: with code 1 if the error is a Failure, otherwise
// with 2, for wrong usage.
func Main(root *cobra.Command) {
	root.SilenceErrors, root.SilenceUsage = true, true
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "chutechute:", err)
	var failed Failure
	if errors.As(err, &failed) {
		os.Exit(exitFailed)
	}
	fmt.Fprintln(os.Stderr, "See 'chutechute help'.")
	os.Exit(exitUsage)
}

// Failure is an error in the work of a command. Any other error is one of usage, such as an unknown flag.
type Failure struct{ error }

// Unwrap returns the error without its mark as a Failure.
func (f Failure) Unwrap() error { return f.error }

// AsFailure marks an error as a Failure. It returns nil for nil.
func AsFailure(err error) error {
	if err == nil {
		return nil
	}
	return Failure{err}
}

// RunE returns a function for cobra.Command.RunE that calls work and marks its errors as Failures.
func RunE(work func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error { return AsFailure(work(cmd, args)) }
}

// PrintResult writes a result to out: object as JSON if asJSON is true, otherwise the text.
func PrintResult(out io.Writer, asJSON bool, object any, text string) error {
	if asJSON {
		return json.NewEncoder(out).Encode(object)
	}
	_, err := fmt.Fprintln(out, text)
	return err
}
