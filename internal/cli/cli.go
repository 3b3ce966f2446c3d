// Package cli implements the command line interface.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/buildinfo"
	"github.com/plantainrun/plantainrun/internal/logging"
)

// Exit codes of the command line interface.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Streams are the output streams of commands.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// usageError marks an error in the arguments or settings, for which Run returns
// ExitUsage instead of ExitFailure.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// Run parses args, which exclude the program's name, and runs the command. It
// returns the exit code.
func Run(args []string, streams Streams) int {
	logging.RedirectGoZero(zap.NewNop()) // until a command sets its own logger
	parser := newParser(streams)
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	var usageErr *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(streams.Out, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr), errors.As(err, &usageErr):
		fmt.Fprintln(streams.Err, err)
		return ExitUsage
	default:
		fmt.Fprintln(streams.Err, err)
		return ExitFailure
	}
}

func newParser(streams Streams) *flags.Parser {
	parser := flags.NewNamedParser("plantainrun", flags.HelpFlag|flags.PassDoubleDash)
	addCommand := func(name, short string, cmd any) *flags.Command {
		c, err := parser.AddCommand(name, short, short, cmd)
		if err != nil {
			panic(err) // a duplicate command name or a malformed struct tag, which is a bug in this package
		}
		return c
	}
	addCommand("serve", "Run an entry host.", &serveCommand{streams: streams})
	addCommand("edge", "Run an entry host on the users' platform.", &edgeCommand{streams: streams})
	addCommand("demo", "Run a small system in one process and show what it does.", &demoCommand{streams: streams})
	addCommand("standin", "Run one stand-in of the platform, an engine or a service.", &standinCommand{streams: streams})
	addCommand("status", "Show the state of a host.", &statusCommand{streams: streams})
	addCommand("audit", "Show the audit trail of a host.", &auditCommand{streams: streams})
	addCommand("drain", "Let a host finish its requests and exit.", &drainCommand{streams: streams})
	addCommand("version", "Show the version.", &versionCommand{streams: streams})
	addCommand("experiment", "Play heavy loads in the model, with and without admission under contention.", &experimentCommand{streams: streams})
	logsCmd := addCommand("logs", "Work with the logs of hosts.", &logsCommand{})
	addLogsCommand := func(name, description string, command any) {
		if _, err := logsCmd.AddCommand(name, description, description, command); err != nil {
			panic(err)
		}
	}
	addLogsCommand("explain", "Show what happened to a request.", &logsExplainCommand{streams: streams})
	addLogsCommand("retries", "Show how near the retries of all hosts came to their bound.", &logsRetriesCommand{streams: streams})
	addLogsCommand("reservations", "Show how near reserved engine memory came to its bound after the end of its use.", &logsReservationsCommand{streams: streams})
	addLogsCommand("losses", "Show what became of all requests, and why some were not served in time.", &logsLossesCommand{streams: streams})
	addLogsCommand("margins", "Show how near callers came to being served less than the bounds allow.", &logsMarginsCommand{streams: streams})
	rulesCmd := addCommand("rules", "Work with rules.", &rulesCommand{})
	if _, err := rulesCmd.AddCommand("check", "Check a file of rules.", "Check a file of rules.", &rulesCheckCommand{streams: streams}); err != nil {
		panic(err)
	}
	return parser
}

type versionCommand struct{ streams Streams }

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.streams.Out, "plantainrun", buildinfo.Version)
	return nil
}
