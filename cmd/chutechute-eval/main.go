// Command chutechute-eval evaluates a Jsonnet file and prints the resulting JSON. The front end runs it to read its
// installation file: the Jsonnet library, needed only for that, would cost each idle front end 1.6 MB of memory.
package main

import (
	"fmt"
	"os"

	"github.com/google/go-jsonnet"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: chutechute-eval FILE")
		os.Exit(2)
	}
	text, err := jsonnet.MakeVM().EvaluateFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Print(text)
}
