// Command lab2 plays the cases of a review: it starts entry hosts of this project as separate
// processes on loopback, beside a store and targets of the project's own stand-ins, and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrun/plantainrun/platform/standin"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// apiKey is the key of the organisation "school".
const (
	apiKey      = "key-of-school"
	schoolOnly  = `[{"name":"school","api_keys":["` + apiKey + `"],"priority":1}]`
	maxPlayTime = 110 * time.Second
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	reason string
}

// cases holds the plays by name. Without trouble a play does the same without the disruption.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){
	"heads":   playHeads,
	"bodies":  playBodies,
	"lastkey": playLastKey,
	"path":    playPath,
	"forward": playForward,
	"refused": playRefused,
	"poison":  playPoison,
}

// lab holds what a play has started.
type lab struct {
	binary string // of this project
	temp   string // folder
	record *os.File
	began  time.Time

	mu   sync.Mutex
	ends []func()
}

func main() {
	name := flag.String("case", "", "play to run")
	binary := flag.String("binary", "target/plantainrun", "program of the deploy file")
	record := flag.String("record", "record.txt", "file that is written")
	trouble := flag.Bool("trouble", true, "false to leave the disruption out")
	flag.Parse()
	os.Exit(run(*name, *binary, *record, *trouble))
}

func run(name, binary, recordPath string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	l, err := newLab(binary, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	watchdog := time.AfterFunc(maxPlayTime, func() {
		l.logf("the case did not end in time")
		l.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	go l.awaitSignal()
	l.logf("case %s, trouble %v", name, trouble)
	v, err := play(l, trouble)
	l.close()
	switch {
	case err != nil:
		l.logf("could not run: %v", err)
		return exitFailed
	case v.broken:
		l.logf("BROKEN: %s", v.reason)
		return exitBroken
	}
	l.logf("held: %s", v.reason)
	return exitHeld
}

// awaitSignal ends the play, with its processes, when it is told to.
func (l *lab) awaitSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	received := <-signals
	l.logf("could not run: %s", received)
	l.close()
	os.Exit(exitFailed)
}

func newLab(binary, recordPath string) (*lab, error) {
	absolute, err := filepath.Abs(binary)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &lab{binary: absolute, temp: temp, record: record, began: time.Now()}, nil
}

// logf writes a line to the record and to standard output.
func (l *lab) logf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(l.record, line)
	fmt.Println(line)
}

// atEnd registers a function that ends something.
func (l *lab) atEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, f)
}

// close ends what the play has started.
func (l *lab) close() {
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for _, end := range ends {
		end()
	}
	_ = os.RemoveAll(l.temp)
}

// plainTargets is the usual number of targets of the plain service.
const plainTargets = 3

// deployment starts a store and targets of the plain service.
func (l *lab) deployment(targets int) *standin.Deployment {
	d := standin.NewDeployment(targets, 0)
	l.atEnd(d.Close)
	return d
}
