// Command chutechute-scale measures what a fleet's control traffic costs by its size, over loopback sockets or in virtual time, and
// fits what was measured.
package main

import (
	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

func main() { cli.Main(newRoot()) }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "chutechute-scale",
		Short: "Measure a fleet's control traffic by its size",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errNoCommand },
	}
	root.AddCommand(newRun(), newFit(), newHollow())
	return root
}
