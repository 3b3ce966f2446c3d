package cli

import (
	"os"
	"syscall"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/config"
	"github.com/plantainrun/plantainrun/internal/logging"
	"github.com/plantainrun/plantainrun/internal/server"
	"github.com/plantainrun/plantainrun/internal/signals"
)

type serveCommand struct {
	config.Settings
	streams Streams
}

// Execute runs an entry host until a drain has ended.
func (c *serveCommand) Execute([]string) error {
	sigs := signals.Notify()
	addrs, err := c.Check()
	if err != nil {
		return &usageError{err}
	}
	log, err := logging.New(c.Log.Level)
	if err != nil {
		return &usageError{err}
	}
	defer func() { _ = log.Sync() }()
	logging.RedirectGoZero(log)
	defer logging.RedirectStandard(log)()
	srv, err := server.New(c.Settings, addrs, log)
	if err != nil {
		return err
	}
	if err := srv.Start(); err != nil {
		return err
	}
	drainOnSignal(srv, sigs, log)
	return nil
}

// drainOnSignal starts a drain on the first signal other than SIGHUP and returns
// when the drain has ended. Further signals have no effect.
func drainOnSignal(srv *server.Server, sigs <-chan os.Signal, log *zap.Logger) {
	for {
		select {
		case sig := <-sigs:
			if sig == syscall.SIGHUP {
				log.Info("SIGHUP ignored: settings come from flags and the environment, restart the host to change them")
				continue
			}
			if !srv.Drain("signal " + sig.String()) {
				log.Info("signal ignored: already draining", zap.String("signal", sig.String()))
			}
		case <-srv.Done():
			return
		}
	}
}
