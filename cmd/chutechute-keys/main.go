// Command chutechute-keys manages the keys that sign tokens and issues certificates for development and tests.
// 'chutechute keys' and 'chutechute cert' run it: as a part of chutechute it would cost each idle front end 0.2 MB of
// memory.
package main

import (
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/monotime"
)

func main() {
	root := &cobra.Command{Use: "chutechute", Short: "Manage keys and issue certificates", Args: cobra.NoArgs}
	root.AddCommand(newKeys(), newCert())
	cli.Main(root)
}

// wallClock returns the current time of the system's clock.
func wallClock() monotime.Micros { return time.Now().UnixMicro() }
