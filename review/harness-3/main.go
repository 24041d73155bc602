// Command harness3 runs the scripts of the third review: a small deployment on loopback with
// the project's own programs as processes, and stand-ins for the rest.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(record string, trouble bool) (int, error){"cut-and-reborn": cutAndReborn}
	if len(os.Args) > 2 && os.Args[1] == "server" {
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	os.Exit(code)
}
