// Package signals delivers the signals of the process to its main loop. The
// init functions of go-zero install a handler that closes listeners one second
// after SIGTERM and ends the process later. This package postpones that
// shutdown and forwards a signal that only the handler of go-zero received.
package signals

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/proc"

	"github.com/plantainrun/plantainrun/internal/signals/early"
)

// ShutdownDelay postpones the shutdown by go-zero's own signal handler beyond
// the lifetime of any process.
const ShutdownDelay = 365 * 24 * time.Hour

// Notify returns a channel of the signals that ask the process to terminate
// (SIGTERM, SIGINT) or to reload its settings (SIGHUP, from the start of the
// process). Call it first in the
// process: an earlier signal that go-zero received is delivered as SIGTERM.
// From now on a standard output without a reader fails writes and does not end
// the process.
func Notify() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	received := early.Received
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT)
	proc.Setup(proc.ShutdownConf{WrapUpTime: ShutdownDelay, WaitTime: 2 * ShutdownDelay})
	go func() {
		<-proc.Done()
		received <- syscall.SIGTERM
	}()
	return received
}
