// Command standin runs a stand-in for one of the outside systems.
//
//	standin objectapi --listen 127.0.0.1:0
//	{"address":"127.0.0.1:40123","url":"http://127.0.0.1:40123"}
//
// It prints the JSON line when the stand-in is ready, and stops on SIGINT or
// SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// readyLine is the JSON line that is printed to standard output.
type readyLine struct {
	Address string `json:"address"`
	URL     string `json:"url"`
}

func main() {
	var o options
	// Usage errors go to standard error, because the parent process expects the
	// ready line on standard output.
	parser, err := arg.NewParser(arg.Config{Out: os.Stderr}, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	parser.MustParse(os.Args[1:])
	if parser.Subcommand() == nil {
		parser.Fail("no subcommand is given; expected the stand-in to run")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	handler, err := o.handler()
	if err != nil {
		return err
	}
	running, err := serve.Start(handler, o.Listen)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := json.NewEncoder(os.Stdout).Encode(readyLine{Address: running.Address, URL: running.URL}); err != nil {
		return errors.Wrap(err, "print ready line")
	}
	<-ctx.Done()
	return nil
}
