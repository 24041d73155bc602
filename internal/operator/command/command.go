// Package command implements the command line of the mulberryspool program.
//
//	arguments, environment, settings file --> Runners (roles, weights, local)
//	                                      \-> operator packages (tables, status, timeline)
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	agentsettings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
	entrysettings "github.com/mulberryspool/mulberryspool/internal/settings/entry"
	hostedsettings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFailure means any other failure, such as an unavailable object API.
	ExitFailure = 1
	// ExitBadInput means invalid arguments, settings or tables files.
	ExitBadInput = 2
	// ExitIncomplete means that not all live processes reported the revision in
	// force within the wait time-out.
	ExitIncomplete = 3
	// ExitRefused means that a change to the tables was refused and not
	// written.
	ExitRefused = 4
	// ExitUnknown means that a change may or may not be in force.
	ExitUnknown = 5
)

type (
	// Runners are functions that main supplies from other packages. If one is
	// nil, its subcommands fail with an error that says so.
	Runners struct {
		// Entry and Agent run a role until the context ends. main cancels the
		// context on SIGINT and SIGTERM.
		Entry func(ctx context.Context, settings entrysettings.Settings, logs io.Writer) error
		Agent func(ctx context.Context, settings agentsettings.Settings, logs io.Writer) error
		// HostedEntry and HostedAgent run a role on the users' platform. They
		// get the name of the settings file, because it may change while they
		// run.
		HostedEntry func(ctx context.Context, file string, settings hostedsettings.Settings, logs io.Writer) error
		HostedAgent func(ctx context.Context, file string, settings hostedsettings.Settings, logs io.Writer) error
		// Local runs a complete system with stand-ins for the outside systems.
		Local func(ctx context.Context, options LocalOptions, out io.Writer) error
		// PublishWeights and ShowWeights run the subcommands of `weights`.
		PublishWeights func(ctx context.Context, store mulberryspool.ObjectStore, options PublishOptions, out io.Writer) error
		ShowWeights    func(ctx context.Context, store mulberryspool.ObjectStore, options ShowOptions, out io.Writer) error
		// ObjectStore and InstanceList create clients for a base URL.
		ObjectStore  func(url string) (mulberryspool.ObjectStore, error)
		InstanceList func(url string) (mulberryspool.InstanceList, error)
	}

	// LocalOptions are the arguments of `local`.
	LocalOptions struct {
		// Keep leaves the system running after the rollouts.
		Keep bool
	}

	// PublishOptions are the arguments of `weights publish`.
	PublishOptions struct {
		Version string
		// Origin is the base URL of the origin, Path the path of the content
		// there.
		Origin string
		Path   string
		// WeightStore is the base URL of the weight store; empty for none.
		WeightStore string
		// ChunkSize is in bytes; 0 means the default of the runner.
		ChunkSize int64
	}

	// ShowOptions are the arguments of `weights show`.
	ShowOptions struct {
		// Version is empty for all versions.
		Version string
		JSON    bool
	}

	// Program runs one command line. Set the exported fields before Run.
	Program struct {
		Runners Runners
		Clock   mulberryspool.Clock
		Out     io.Writer
		// Err receives error messages, and the logs of the roles entry and
		// agent.
		Err io.Writer
		// Hangup ends all commands but the hosted roles; nil for none.
		Hangup <-chan os.Signal
	}

	// exitError is an error with an exit code.
	exitError struct {
		code int
		err  error
	}
)

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// Run parses the arguments, which don't include the program name, runs the
// subcommand and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "mulberryspool", Out: p.Err, Exit: func(int) {}}, &a)
	if err != nil {
		return p.exitCode(errors.Wrap(err, "define arguments"))
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		return p.exitCode(parser.WriteHelpForSubcommand(p.Out, parser.SubcommandNames()...))
	case err != nil:
		return p.exitCode(withCode(ExitBadInput, err))
	}
	if parser.Subcommand() == nil {
		parser.WriteUsage(p.Err)
		return p.exitCode(withCode(ExitBadInput, errors.New("no subcommand is given")))
	}
	return p.exitCode(p.dispatch(ctx, &a))
}

// exitCode prints the error, if any, and returns its exit code.
func (p *Program) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	// If this write fails, there is nowhere left to report it.
	_, _ = fmt.Fprintln(p.Err, err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailure
}

func (p *Program) dispatch(ctx context.Context, a *arguments) error {
	if a.Hosted != nil {
		return p.hosted(ctx, a)
	}
	ctx, cancel := p.cancelOnHangup(ctx)
	defer cancel()
	if err := a.readSettings(); err != nil {
		return err
	}
	switch {
	case a.Entry != nil:
		return p.entry(ctx, a)
	case a.Agent != nil:
		return p.agent(ctx, a)
	case a.Local != nil:
		return p.local(ctx, a.Local)
	}
	ctx, cancel = context.WithTimeout(ctx, a.totalTimeout())
	defer cancel()
	switch {
	case a.Tables != nil:
		return p.tables(ctx, a)
	case a.Weights != nil:
		return p.weights(ctx, a)
	case a.Status != nil:
		return p.status(ctx, a)
	case a.Timeline != nil:
		return p.timeline(ctx, a)
	}
	return withCode(ExitBadInput, errors.New("no subcommand is given"))
}

// cancelOnHangup returns a context that ends on SIGHUP, too.
func (p *Program) cancelOnHangup(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-p.Hangup:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// totalTimeout limits the whole command. It includes the wait time-out of
// `tables apply --wait`.
func (a *arguments) totalTimeout() time.Duration {
	if a.Tables != nil && a.Tables.Apply != nil && a.Tables.Apply.Wait {
		return a.Timeout + a.Tables.Apply.WaitTimeout
	}
	return a.Timeout
}

func (p *Program) objectStore(a *arguments) (mulberryspool.ObjectStore, error) {
	if a.ObjectAPI == "" {
		return nil, withCode(ExitBadInput, errors.Newf("the object API's URL is missing; give --object-api, %s or objectAPI in a settings file", envObjectAPI))
	}
	if p.Runners.ObjectStore == nil {
		return nil, errors.New("this build has no client for the object API")
	}
	return p.Runners.ObjectStore(a.ObjectAPI)
}

func (p *Program) instanceList(a *arguments) (mulberryspool.InstanceList, error) {
	if a.Instances == "" {
		return nil, withCode(ExitBadInput, errors.Newf("the instance list's URL is missing; give --instances, %s or instances in a settings file", envInstances))
	}
	if p.Runners.InstanceList == nil {
		return nil, errors.New("this build has no client for the instance list")
	}
	return p.Runners.InstanceList(a.Instances)
}

// author returns the author of a change: the argument, or the name of the user.
func (a *arguments) author() (string, error) {
	if a.Tables.Apply.Author != "" {
		return a.Tables.Apply.Author, nil
	}
	if user := os.Getenv("USER"); user != "" {
		return user, nil
	}
	return "", withCode(ExitBadInput, errors.Newf("the author of the change is missing; give --author, %s or author in a settings file", envAuthor))
}
