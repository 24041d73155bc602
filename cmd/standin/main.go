// Command standin runs one of the stand-ins for outside systems as a process.
//
//	standin objectapi --listen 127.0.0.1:0
//	{"address":"127.0.0.1:40123","url":"http://127.0.0.1:40123"}
//
// The line is printed when the stand-in is ready. SIGTERM stops it.
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

// ready is the line on the standard output.
type ready struct {
	Address string `json:"address"`
	URL     string `json:"url"`
}

func main() {
	var o options
	// Usage errors go to the standard error, because whoever started the
	// stand-in waits for a line on the standard output.
	parser, err := arg.NewParser(arg.Config{Out: os.Stderr}, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	parser.MustParse(os.Args[1:])
	if parser.Subcommand() == nil {
		parser.Fail("name a stand-in")
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
	if err := json.NewEncoder(os.Stdout).Encode(ready{Address: running.Address, URL: running.URL}); err != nil {
		return errors.Wrap(err, "print address")
	}
	<-ctx.Done()
	return nil
}
