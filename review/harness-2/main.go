// Command review-2 runs the cases of the second review. It starts the programs of the deploy
// file as processes and plays the platform's store, the backend servers, the network between
// them and the callers.
//
//	review-2 CASE FOLDER    runs a case; exit status 1: rule broken, 0: held, 2: could not run
//	review-2 server ...     a backend server, started by the cases as a process of its own
package main

import (
	"fmt"
	"os"
	"time"
)

// maxRun limits a case. All processes are ended afterwards.
const maxRun = 110 * time.Second

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

var cases = map[string]func(*system) (broken int, err error){
	"coldagain": runColdAgain,
	"failback":  runFailback,
	"reborn":    runReborn,
	"reset":     runReset,
	"watchers":  runWatchers,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serveBackend(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	s, err := newSystem(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer s.close()
	type result struct {
		broken int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(maxRun):
		r.err = fmt.Errorf("case took longer than %v", maxRun)
	}
	switch {
	case r.err != nil:
		s.record("could not run: %v", r.err)
		return statusNotRun
	case r.broken > 0:
		s.record("RULE BROKEN %d times", r.broken)
		return statusBroken
	}
	s.record("rule held")
	return statusHeld
}
