// Package signals hands a process's signals to its owner. go-zero has a handler
// of its own, from its initialisation on, which closes listeners a second after
// SIGTERM and ends the process later; this package holds it off, and passes on
// a signal that only that handler has seen.
package signals

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
)

// Hold is the time for which go-zero's own shutdown is held off.
const Hold = 365 * 24 * time.Hour

// waiting is how many signals may wait for the owner.
const waiting = 8

// Notify returns the signals that ask the process to end or to read its
// settings again. Call it before anything else: a signal that comes earlier
// and was seen by go-zero is delivered as SIGTERM.
func Notify() <-chan os.Signal {
	received := make(chan os.Signal, waiting)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	proc.Setup(proc.ShutdownConf{WrapUpTime: Hold, WaitTime: 2 * Hold})
	go func() {
		<-proc.Done()
		received <- syscall.SIGTERM
	}()
	return received
}
