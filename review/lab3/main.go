// Command lab3 plays the cases of the second review that are scripts: it starts entry hosts
// as separate processes, beside stand-ins of the store, the targets and the callers.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitFailed = 2 // the case could not run
)

// maxPlayTime is how long a case may take.
const maxPlayTime = 110 * time.Second

// cases maps the names of the cases to what plays them. Each returns whether the rule held.
var cases = map[string]func(*lab) (bool, error){
	"crowd":   playCrowd,
	"slashes": playSlashes,
	"paths":   playPaths,
	"extra":   playExtra,
	"drill":   playDrill,
	"heads":   playHeads,
	"parts":   playParts,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE PLANTAINRUN RECORD")
		return exitFailed
	}
	l, err := newLab(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer l.close()
	watchdog := time.AfterFunc(maxPlayTime, func() {
		l.note("could not run: the case did not end in time")
		l.close()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	held, err := cases[args[0]](l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		return exitFailed
	case held:
		l.note("the rule held")
		return exitHeld
	}
	l.note("the rule was broken")
	return exitBroken
}
