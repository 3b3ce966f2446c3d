package cli

import (
	"errors"
	"reflect"
	"time"

	"github.com/plantainrun/plantainrun/internal/edge"
)

const (
	// settingsStartTimeout is how long settings may be invalid at the start of the process.
	settingsStartTimeout = 2 * time.Second
	// settleInterval is the time between two reads of the settings that must agree, and
	// maxSettleReads limits the reads.
	settleInterval = 50 * time.Millisecond
	maxSettleReads = 10
)

// errUnsettled means that the settings file is being written.
var errUnsettled = errors.New("settings change while they are read")

// settingsReader reads the settings of an entry host.
type settingsReader func() (edge.Settings, error)

// awaitSettings reads the settings until they are valid, since the file may be written at the
// moment. It returns the last error after settingsStartTimeout.
func awaitSettings(read settingsReader) (edge.Settings, error) {
	deadline := time.Now().Add(settingsStartTimeout)
	for {
		settings, err := settledSettings(read)
		if err == nil || time.Now().After(deadline) {
			return settings, err
		}
		time.Sleep(settleInterval)
	}
}

// settledSettings reads the settings until two reads agree: half a file may be valid, with
// defaults in place of what is missing.
func settledSettings(read settingsReader) (edge.Settings, error) {
	settings, err := read()
	for range maxSettleReads {
		if err != nil {
			return settings, err
		}
		time.Sleep(settleInterval)
		var again edge.Settings
		if again, err = read(); err == nil && reflect.DeepEqual(settings, again) {
			return settings, nil
		}
		settings = again
	}
	return settings, errors.Join(err, errUnsettled)
}
