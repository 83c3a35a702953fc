package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

// keysProgram is the program for keys and certificates. It is installed in the same folder as this one.
const keysProgram = "chutechute-keys"

// newDelegated returns a command that replaces this process by keysProgram, which parses the flags and arguments
// itself.
func newDelegated(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:                use,
		Short:              short,
		DisableFlagParsing: true,
		RunE: cli.RunE(func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			program := filepath.Join(filepath.Dir(self), keysProgram)
			err = syscall.Exec(program, append([]string{"chutechute", use}, args...), os.Environ())
			return fmt.Errorf("%s: %w", program, err) // Exec returns only if it has failed
		}),
	}
}
