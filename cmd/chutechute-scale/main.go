// Command chutechute-scale measures how the cost of a fleet's control traffic grows with the fleet's size, over
// loopback sockets or in virtual time, and fits curves to the results.
package main

import (
	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

func main() { cli.Main(newRoot()) }

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "chutechute-scale",
		Short: "Measure how a fleet's control traffic grows with its size",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return errNoSubcommand },
	}
	root.AddCommand(newRun(), newFit(), newHollow())
	return root
}
