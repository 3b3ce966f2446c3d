// Command lab runs one case of the review: it starts entry hosts as separate processes, with
// a store, runners and clients as stand-ins on loopback, and judges what these have seen.
//
// Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime ends a case that hangs, before the 120 seconds that a script may take.
const maxCaseTime = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario runs a case in an environment. trouble tells whether the disruption takes place.
type scenario func(env *environment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"endless-body": endlessBody,
	"endless-head": endlessHead,
	"era-revoke":   eraRevoke,
	"era-drain":    eraDrain,
	"slashes":      slashes,
	"leave":        leave,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	env, err := newEnvironment(os.Args[2], rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer env.close()
	watchdog := time.AfterFunc(maxCaseTime, func() {
		rec.write("not run: the case took longer than %s", maxCaseTime)
		env.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		env.close()
		os.Exit(exitNotRun)
	}()
	return judge(env, rec)
}

func judge(env *environment, rec *record) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec.write("case %s, disruption: %t", os.Args[1], trouble)
	result, err := scenarios[os.Args[1]](env, trouble)
	if err != nil {
		rec.write("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	outcome, code := "held", exitHeld
	if result.broken {
		outcome, code = "broken", exitBroken
	}
	rec.write("rule %s: %s", outcome, result.text)
	fmt.Printf("rule %s: %s\n", outcome, result.text)
	return code
}
