// Package early receives the signals of the process from the moment at which its packages
// are initialised. Without it a SIGHUP, by default, ends a process that is still starting.
// It imports next to nothing, so that it is initialised before the packages that take long.
package early

import (
	"os"
	"os/signal"
	"syscall"
)

// bufferedSignals is the capacity of Received.
const bufferedSignals = 8

// Received gets each SIGHUP. Package signals adds further signals.
var Received = receive()

func receive() chan os.Signal {
	received := make(chan os.Signal, bufferedSignals)
	signal.Notify(received, syscall.SIGHUP)
	return received
}
