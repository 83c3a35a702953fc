// Package cli is what the project's command lines share: exit codes, and how results are shown.
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

// Main runs a command line and ends the program: with 1 where the work failed, with 2 where it was asked for wrongly.
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

// Failure is an error of the work asked for. All others are of the way in which it was asked.
type Failure struct{ error }

// Unwrap is the error itself.
func (f Failure) Unwrap() error { return f.error }

// Fail makes an error one of the work.
func Fail(err error) error {
	if err == nil {
		return nil
	}
	return Failure{err}
}

// Does is a command's work: its errors are failures.
func Does(work func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error { return Fail(work(cmd, args)) }
}

// Show shows a result as JSON or as text.
func Show(out io.Writer, asJSON bool, object any, text string) error {
	if asJSON {
		return json.NewEncoder(out).Encode(object)
	}
	_, err := fmt.Fprintln(out, text)
	return err
}
