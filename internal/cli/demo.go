package cli

import (
	"context"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/demo"
	"github.com/plantainrun/plantainrun/internal/logging"
	platformdemo "github.com/plantainrun/plantainrun/platform/demo"
)

type demoCommand struct {
	Hold    bool `long:"hold" description:"stay up for requests of your own until interrupted"`
	Verbose bool `long:"verbose" description:"show the hosts' logs"`
	streams Streams
}

// Execute runs the demos of the platform integration and of the entry hosts.
func (c *demoCommand) Execute([]string) error {
	log := zap.NewNop()
	if c.Verbose {
		var err error
		if log, err = logging.New("info"); err != nil {
			return err
		}
	}
	logging.RedirectGoZero(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := platformdemo.Run(ctx, c.streams.Out, log); err != nil {
		return err
	}
	return demo.Run(ctx, demo.Options{Out: c.streams.Out, Log: log, KeepRunning: c.Hold})
}
