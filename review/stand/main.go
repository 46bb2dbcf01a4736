// Command stand plays the cases of the review. It starts the programs of the deploy
// file as processes of their own, plays the platform's store, the router, the hosts and
// the callers as the users' pages describe them, and checks one rule of the pages on
// what callers and hosts see.
//
// Usage: stand CASE RECORD. The exit code is 0 if the rule held, 1 if it was broken and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left
// out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime limits a case. Processes that are left are killed at its end.
const maxCaseTime = 100 * time.Second

// scenario plays one case. It returns the violations of the rule that callers or hosts
// saw, and an error if the case could not run.
type scenario func(f *fleet, trouble bool) (violations []string, err error)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"agent-clock":   playAgentClock,
	"agent-restart": playAgentRestart,
	"agent-roll":    playAgentRoll,
	"config-copy":   playConfigCopy,
	"host-clock":    playHostClock,
	"odd-check-in":  playOddCheckIn,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: stand CASE RECORD, with CASE one of %v\n", names)
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(name, recordPath string, trouble bool) (code int) {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	defer r.close()
	r.logf("case %s, trouble %v", name, trouble)
	f, err := newFleet(r)
	if err != nil {
		r.logf("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	watchdog := time.AfterFunc(maxCaseTime, func() {
		r.logf("not run: the case took longer than %v", maxCaseTime)
		f.killAll()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		r.logf("not run: %v", <-interrupts)
		f.killAll()
		os.Exit(exitNotRun)
	}()
	violations, err := scenarios[name](f, trouble)
	if err != nil {
		r.logf("not run: %v", err)
		return exitNotRun
	}
	for _, v := range violations {
		r.logf("VIOLATION %s", v)
	}
	if len(violations) > 0 {
		r.logf("broken: %d violations", len(violations))
		return exitBroken
	}
	r.logf("held")
	return exitHeld
}
