// Command chutechute is the front end: it takes queries from clients, decides when and on which engine
// each runs, and passes the results on. Sub-commands check its files and explain statements.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if err := newRoot().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "chutechute:", err)
		var failed failure
		if errors.As(err, &failed) {
			os.Exit(exitFailed)
		}
		fmt.Fprintln(os.Stderr, "See 'chutechute help'.")
		os.Exit(exitUsage)
	}
}

// failure is an error of the work asked for. All others are of the way in which it was asked.
type failure struct{ error }

func (f failure) Unwrap() error { return f.error }

// does is a command's work: its errors are failures.
func does(work func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := work(cmd, args); err != nil {
			return failure{err}
		}
		return nil
	}
}

// options are the flags that commands share.
type options struct {
	installation string
	logFormat    string
	logLevel     string
}

func newRoot() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:           "chutechute",
		Short:         "A front end for query engines",
		Long:          "chutechute takes queries from clients, decides when and on which engine each runs, and passes the results on.\nAlone it serves, as 'chutechute serve' does.",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.PersistentFlags().StringVar(&o.installation, "installation", "",
		"the installation `file`, as deploy/chutechute.jsonnet; all that it sets is off without it")
	serve := newServe(&o)
	addLogFlags(root, &o)
	addLogFlags(serve, &o)
	root.RunE = serve.RunE
	root.AddCommand(serve, newConfig(&o), newStatement(&o), newIdentity(&o), newKeys(), newCert(), newVersion())
	return root
}

func addLogFlags(cmd *cobra.Command, o *options) {
	cmd.Flags().StringVar(&o.logFormat, "log-format", "text", "text or json")
	cmd.Flags().StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
}

// logger is the log on standard error in the form asked for.
func (o *options) logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.logLevel)); err != nil {
		return nil, fmt.Errorf("--log-level: %q is none of debug, info, warn and error", o.logLevel)
	}
	h := &slog.HandlerOptions{Level: level}
	switch o.logFormat {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, h)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, h)), nil
	}
	return nil, fmt.Errorf("--log-format: %q is neither text nor json", o.logFormat)
}
