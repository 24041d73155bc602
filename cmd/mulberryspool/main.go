// Command mulberryspool runs the entry and agent roles, and the tools for
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/operator/command"
)

func main() {
	// SIGHUP would end the process, so it is taken first. Hosted roles read their settings
	// again; all other commands end, unless SIGHUP was ignored at the start, as under nohup.
	hangupIgnored := signal.Ignored(syscall.SIGHUP)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program := &command.Program{
		Runners: runners(hangup),
		Clock:   clockwork.NewRealClock(),
		Out:     os.Stdout,
		Err:     os.Stderr,
	}
	if !hangupIgnored {
		program.Hangup = hangup
	}
	code := program.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
