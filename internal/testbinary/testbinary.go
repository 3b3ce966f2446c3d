// Package testbinary builds the binary for tests that run it as separate
// processes.
package testbinary

import (
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/onsi/gomega/gexec"

	"github.com/plantainrun/plantainrun/internal/cli"
)

// BuildAndRun builds the binary, stores its path and runs the tests. It returns the
// exit code for os.Exit.
func BuildAndRun(m *testing.M, path *string) int {
	// With all commands linked in, a change of the binary changes the test's
	// own binary too, so that no cached result stands for it.
	if cli.Run([]string{"version"}, cli.Streams{Out: io.Discard, Err: os.Stderr}) != cli.ExitOK {
		return 1
	}
	built, err := gexec.Build("github.com/plantainrun/plantainrun/cmd/plantainrun")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	*path = built
	defer gexec.CleanupBuildArtifacts()
	return m.Run()
}
