// Command harness has the stand-ins and the drivers of the cases of the review. It uses the
// standard library only, and every address is a loopback address.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// folder is the temporary folder of a run.
var folder string

func main() {
	if len(os.Args) < 2 {
		fmt.Println("usage: harness server|case ...")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "engine":
		runEngine(os.Args[2:])
		return
	case "server":
		runServer(os.Args[2:])
		return
	}
	if len(os.Args) < 3 {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case " + os.Args[1])
		os.Exit(2)
	}
	openRecord(os.Args[2])
	var err error
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		cannotRun("%v", err)
	}
	note("disruption: %v", troubled())
	run()
}

var cases = map[string]func(){
	"spoiled-manifest": spoiledManifest,
	"planned-stop":     plannedStop,
	"unframed-answer":  unframedAnswer,
	"unframed-stream":  unframedStream,
}

// verdict ends the run.
func verdict(rule string, broken int, text string) {
	noteServers()
	if broken > 0 {
		note("RULE BROKEN: %s, %d times: %s", rule, broken, text)
		fmt.Printf("%s is broken %d times: %s\n", rule, broken, text)
		exit(1)
	}
	note("rule held: %s: %s", rule, text)
	fmt.Printf("%s held: %s\n", rule, text)
	exit(0)
}

// noteServers records what the servers have run, by their own account.
func noteServers() {
	for name, log := range serverLogs() {
		note("what server %s has run:\n%s", name, strings.TrimSpace(log))
	}
}

// serverLogs returns the output of the servers by their names.
func serverLogs() map[string]string {
	logs := map[string]string{}
	files, _ := filepath.Glob(filepath.Join(folder, "i-*.log"))
	for _, file := range files {
		if log, err := os.ReadFile(file); err == nil {
			logs[strings.TrimSuffix(filepath.Base(file), ".log")] = string(log)
		}
	}
	return logs
}
