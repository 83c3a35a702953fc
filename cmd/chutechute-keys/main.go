// Command chutechute-keys keeps the keys that sign tokens and makes certificates for trials. 'chutechute keys' and 'chutechute cert'
// run it: what it takes would cost each idle front end 0.2 MB of memory.
package main

import (
	"time"

	"github.com/spf13/cobra"

	"chutechute/internal/cli"
	"chutechute/internal/monotime"
)

func main() {
	root := &cobra.Command{Use: "chutechute", Short: "Keep keys and make certificates", Args: cobra.NoArgs}
	root.AddCommand(newKeys(), newCert())
	cli.Main(root)
}

// wall is the time of the system's clock.
func wall() monotime.Micros { return time.Now().UnixMicro() }
