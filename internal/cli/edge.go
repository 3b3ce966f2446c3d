package cli

import (
	"os"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/edge"
	"github.com/plantainrun/plantainrun/internal/logging"
	"github.com/plantainrun/plantainrun/internal/signals"
	"github.com/plantainrun/plantainrun/platform"
)

// settingsPollInterval is how often the settings file is read again if no
// SIGHUP arrives.
const settingsPollInterval = 5 * time.Second

type edgeCommand struct {
	Config                string        `long:"config" env:"PLANTAINRUN_CONFIG" description:"path of the platform's settings file"`
	MinContendedObjective time.Duration `long:"min-contended-objective" env:"PLANTAINRUN_MIN_CONTENDED_OBJECTIVE" default:"1ms" description:"shortest objective of routes whose long prompts are refused while the engines would begin with them too late; 0 for none"`
	streams               Streams
}

// readSettings reads the platform's settings and adds those of the command line.
func (c *edgeCommand) readSettings() (edge.Settings, error) {
	settings, err := platform.ReadSettings(c.Config)
	settings.MinContendedObjective = c.MinContendedObjective
	return settings, err
}

// Execute runs an entry host on the users' platform until a drain has ended.
func (c *edgeCommand) Execute([]string) error {
	sigs := signals.Notify()
	settings, err := awaitSettings(c.readSettings)
	if err != nil {
		return &usageError{err}
	}
	log := logging.NewNonBlocking(c.streams.Out)
	defer func() { _ = log.Sync() }()
	logging.RedirectGoZero(log)
	defer logging.RedirectStandard(log)()
	host, err := edge.New(settings, platform.NewAdapter(settings, log), log)
	if err != nil {
		return err
	}
	if err := host.Start(); err != nil {
		return err
	}
	c.supervise(host, settings, sigs, log)
	return nil
}

// supervise handles signals and applies changes of the settings file until the
// host has drained.
func (c *edgeCommand) supervise(host *edge.Host, settings edge.Settings, sigs <-chan os.Signal, log *zap.Logger) {
	reloadTicker := time.NewTicker(settingsPollInterval)
	defer reloadTicker.Stop()
	for {
		select {
		case sig := <-sigs:
			if sig == syscall.SIGHUP {
				settings = c.reload(host, settings, log)
				continue
			}
			host.Drain("signal " + sig.String())
		case <-reloadTicker.C:
			settings = c.reload(host, settings, log)
		case <-host.Done():
			return
		}
	}
}

// reload reads the settings file and applies changed settings. It returns the
// settings that now apply: the previous ones if the file cannot be read.
func (c *edgeCommand) reload(host *edge.Host, current edge.Settings, log *zap.Logger) edge.Settings {
	settings, err := c.readSettings()
	if err == nil && reflect.DeepEqual(settings, current) {
		return current
	}
	settings, err = settledSettings(c.readSettings)
	if err != nil {
		log.Warn("settings cannot be read; the current ones stay in force", zap.Error(err))
		return current
	}
	host.Reload(settings)
	return settings
}
