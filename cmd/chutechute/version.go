package main

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// version is the version in the newest heading of CHANGELOG.md.
const version = "0.3.0"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintf(cmd.OutOrStdout(), "chutechute %s (%s, %s/%s)\n",
				version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	}
}
