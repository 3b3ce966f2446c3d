// Command plantainrun serves prompts of widely varying lengths for two partners
// that share one pool of capacity.
package main

import (
	"os"

	"github.com/plantainrun/plantainrun/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
