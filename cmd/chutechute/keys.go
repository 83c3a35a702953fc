package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
)

// keeper is the program beside this one that keeps keys.
const keeper = "chutechute-keys"

// newBeside is a command that the keeper carries out, flags and all.
func newBeside(use, short string) *cobra.Command {
	return &cobra.Command{
		Use:                use,
		Short:              short,
		DisableFlagParsing: true,
		RunE: cli.Does(func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			program := filepath.Join(filepath.Dir(self), keeper)
			err = syscall.Exec(program, append([]string{"chutechute", use}, args...), os.Environ())
			return fmt.Errorf("%s: %w", program, err) // it returns only where it can't
		}),
	}
}
