// Command chutechute is the front end: it takes queries from clients, decides when and on which engine
// each runs, and passes the results on. Sub-commands check its files and explain statements.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

func main() { cli.Main(newRoot()) }

// options are the flags that commands share.
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
		Long:  "chutechute takes queries from clients, decides when and on which engine each runs, and passes the results on.\nAlone it serves, as 'chutechute serve' does.",
		Args:  cobra.NoArgs,
	}
	root.PersistentFlags().StringVar(&o.installation, "installation", "",
		"the installation `file`, as deploy/chutechute.jsonnet; all that it sets is off without it")
	serve := newServe(&o)
	addLogFlags(root, &o)
	addLogFlags(serve, &o)
	root.RunE = serve.RunE
	root.AddCommand(serve, newConfig(&o), newStatement(&o), newIdentity(&o), newFleet(&o), newBudget(&o), newVersion(),
		newBeside("keys", "Keep the keys that sign tokens"), newBeside("cert", "Make certificates for trials"))
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
