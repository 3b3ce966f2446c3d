// Package testbinary builds the plantainrun binary for tests that run it in
// separate processes.
package testbinary

import (
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/onsi/gomega/gexec"

	"github.com/plantainrun/plantainrun/internal/cli"
)

// BuildAndRun builds the binary, stores its path in path, runs the tests and
// removes the binary. It returns the exit code for os.Exit.
func BuildAndRun(m *testing.M, path *string) int {
	// Linking all commands into the test binary makes the test cache depend on
	// the code of the built binary: otherwise go test could reuse a cached
	// result after that code has changed.
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
