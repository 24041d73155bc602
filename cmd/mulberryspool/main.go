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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program := &command.Program{
		Runners: runners(),
		Clock:   clockwork.NewRealClock(),
		Out:     os.Stdout,
		Err:     os.Stderr,
	}
	code := program.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
