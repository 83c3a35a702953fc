// Command chutechute is the front end: it takes queries from clients, decides when and on which engine each runs, and
// passes the results on. Other subcommands check its files, explain statements and ask a running front end for its
// state.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

func main() { cli.Main(newRoot()) }

// options are the flags that several commands share.
type options struct {
	installation string
	logFormat    string
	logLevel     string
}

func newRoot() *cobra.Command {
	var o options
	root := &cobra.Command{
		Use:   "chutechute",
		Short: "A front end for query engines",
		Long: `chutechute takes queries from clients, decides when and on which engine each runs, and passes the results on.
Without a subcommand it does the same as 'chutechute serve'.`,
		Args: cobra.NoArgs,
	}
	root.PersistentFlags().StringVar(&o.installation, "installation", "",
		"the installation `file`, such as deploy/chutechute.jsonnet; without it all features that it configures are off")
	serve := newServe(&o)
	addLogFlags(root, &o)
	addLogFlags(serve, &o)
	root.RunE = serve.RunE
	root.AddCommand(serve, newConfig(&o), newStatement(&o), newIdentity(&o), newFleet(&o), newBudget(&o), newVersion(),
		newDelegated("keys", "Manage the keys that sign tokens"),
		newDelegated("cert", "Issue certificates for development and tests"))
	return root
}

func addLogFlags(cmd *cobra.Command, o *options) {
	cmd.Flags().StringVar(&o.logFormat, "log-format", "text", "text or json")
	cmd.Flags().StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
}

// logger returns a logger to standard error with the format and level of the flags.
func (o *options) logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(o.logLevel)); err != nil {
		return nil, fmt.Errorf("--log-level: %q is not debug, info, warn or error", o.logLevel)
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
