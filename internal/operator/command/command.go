// Package command implements the subcommands of the mulberryspool program.
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
	// ExitFailure is any other failure, such as an object API that is down.
	ExitFailure = 1
	// ExitBadInput means bad arguments, settings or tables files.
	ExitBadInput = 2
	// ExitIncomplete means that some live process did not report the revision.
	ExitIncomplete = 3
	// ExitRefused means that a change of the tables was refused and not written.
	ExitRefused = 4
	// ExitUnknown means that a change may or may not be in force.
	ExitUnknown = 5
)

type (
	// Runners are the parts that main puts together from other packages. A
	// nil function makes its subcommand fail with a clear message.
	Runners struct {
		// Entry and Agent run a role until the context ends. Main cancels the
		// context on SIGTERM.
		Entry func(ctx context.Context, settings entrysettings.Settings, logs io.Writer) error
		Agent func(ctx context.Context, settings agentsettings.Settings, logs io.Writer) error
		// HostedEntry and HostedAgent run a role on the users' platform. The
		// file is that of the settings, which may change.
		HostedEntry func(ctx context.Context, file string, settings hostedsettings.Settings, logs io.Writer) error
		HostedAgent func(ctx context.Context, file string, settings hostedsettings.Settings, logs io.Writer) error
		// Local runs a complete system with stand-ins.
		Local func(ctx context.Context, options LocalOptions, out io.Writer) error
		// PublishWeights and ShowWeights are the weights subcommands.
		PublishWeights func(ctx context.Context, store mulberryspool.ObjectStore, options PublishOptions, out io.Writer) error
		ShowWeights    func(ctx context.Context, store mulberryspool.ObjectStore, options ShowOptions, out io.Writer) error
		// ObjectStore and InstanceList make clients for base URLs.
		ObjectStore  func(url string) (mulberryspool.ObjectStore, error)
		InstanceList func(url string) (mulberryspool.InstanceList, error)
	}

	// LocalOptions are the arguments of `local`.
	LocalOptions struct {
		// Keep leaves the system running at the end.
		Keep bool
	}

	// PublishOptions are the arguments of `weights publish`.
	PublishOptions struct {
		Version string
		// Origin is the origin's base URL, Path the content's path there.
		Origin string
		Path   string
		// WeightStore is the base URL of the weight store; empty for none.
		WeightStore string
		// ChunkSize is in bytes; 0 leaves the choice to the runner.
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
		// Err takes error messages and the logs of roles.
		Err io.Writer
	}

	// exitError carries the exit code of a failure that has been explained.
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

// Run parses the arguments without the program's name, runs the subcommand
// and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "mulberryspool", Out: p.Err, Exit: func(int) {}}, &a)
	if err != nil {
		return p.fail(errors.Wrap(err, "declare arguments"))
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		return p.fail(parser.WriteHelpForSubcommand(p.Out, parser.SubcommandNames()...))
	case err != nil:
		return p.fail(withCode(ExitBadInput, err))
	}
	if parser.Subcommand() == nil {
		parser.WriteUsage(p.Err)
		return p.fail(withCode(ExitBadInput, errors.New("no subcommand is given")))
	}
	return p.fail(p.dispatch(ctx, &a))
}

func (p *Program) fail(err error) int {
	if err == nil {
		return ExitOK
	}
	// Nothing is left to report a failed write of the message to.
	_, _ = fmt.Fprintln(p.Err, err)
	var explained *exitError
	if errors.As(err, &explained) {
		return explained.code
	}
	return ExitFailure
}

func (p *Program) dispatch(ctx context.Context, a *arguments) error {
	if a.Hosted != nil {
		return p.hosted(ctx, a)
	}
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
	ctx, cancel := context.WithTimeout(ctx, a.deadline())
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

// deadline bounds a whole command; the wait of `tables apply` comes on top.
func (a *arguments) deadline() time.Duration {
	if a.Tables != nil && a.Tables.Apply != nil && a.Tables.Apply.Wait {
		return a.Timeout + a.Tables.Apply.WaitTimeout
	}
	return a.Timeout
}

func (p *Program) store(a *arguments) (mulberryspool.ObjectStore, error) {
	if a.ObjectAPI == "" {
		return nil, withCode(ExitBadInput, errors.Newf("the object API's URL is missing; give --object-api, %s or objectAPI in a settings file", envObjectAPI))
	}
	if p.Runners.ObjectStore == nil {
		return nil, errors.New("this build has no client for the object API")
	}
	return p.Runners.ObjectStore(a.ObjectAPI)
}

func (p *Program) list(a *arguments) (mulberryspool.InstanceList, error) {
	if a.Instances == "" {
		return nil, withCode(ExitBadInput, errors.Newf("the instance list's URL is missing; give --instances, %s or instances in a settings file", envInstances))
	}
	if p.Runners.InstanceList == nil {
		return nil, errors.New("this build has no client for the instance list")
	}
	return p.Runners.InstanceList(a.Instances)
}

func (a *arguments) author() (string, error) {
	if a.Tables.Apply.Author != "" {
		return a.Tables.Apply.Author, nil
	}
	if user := os.Getenv("USER"); user != "" {
		return user, nil
	}
	return "", withCode(ExitBadInput, errors.Newf("the author of the change is missing; give --author, %s or author in a settings file", envAuthor))
}
