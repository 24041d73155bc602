package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
	"github.com/mulberryspool/mulberryspool/internal/operator/status"
)

// waitInterval is the time between two queries of all processes.
const waitInterval = 500 * time.Millisecond

func (p *Program) status(ctx context.Context, a *arguments) error {
	list, err := p.instanceList(a)
	if err != nil {
		return err
	}
	collector := &status.Collector{List: list, Concurrency: a.Status.Concurrency, Timeout: a.Status.CallTimeout}
	answers, err := collector.Statuses(ctx)
	if err != nil {
		return err
	}
	report := status.Summarize(answers)
	if a.Status.JSON {
		return report.WriteJSON(p.Out)
	}
	return report.WriteText(p.Out)
}

// waitInForce waits until all live processes report the revision in force.
// After the wait time-out, the error lists those that don't, with the reason.
func (p *Program) waitInForce(ctx context.Context, a *arguments, revision mulberryspool.Revision) error {
	list, err := p.instanceList(a)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, a.Tables.Apply.WaitTimeout)
	defer cancel()
	collector := &status.Collector{List: list}
	var missing []string
	for {
		inForce, problems := countInForce(ctx, collector, revision)
		if inForce > 0 && len(problems) == 0 {
			_, err := fmt.Fprintf(p.Out, "revision %d is in force at all %d live processes\n", revision, inForce)
			return err
		}
		// When the time-out cancels the calls, their errors say nothing about
		// the processes, so the result before is kept.
		if ctx.Err() == nil || missing == nil {
			missing = problems
		}
		select {
		case <-p.Clock.After(waitInterval):
		case <-ctx.Done():
			return withCode(ExitIncomplete, errors.Newf("revision %d is accepted but not in force everywhere:\n%s",
				revision, strings.Join(missing, "\n")))
		}
	}
}

// countInForce counts the live processes that have the revision in force and
// lists the others, with the reason.
func countInForce(ctx context.Context, collector *status.Collector, revision mulberryspool.Revision) (inForce int, problems []string) {
	answers, err := collector.Statuses(ctx)
	if err != nil {
		return 0, []string{err.Error()}
	}
	if len(answers) == 0 {
		return 0, []string{"the instance list has no live process"}
	}
	for _, answer := range answers {
		reason := reasonNotInForce(answer, revision)
		if reason == "" {
			inForce++
			continue
		}
		problems = append(problems, fmt.Sprintf("%s: %s", answer.Instance.Instance, reason))
	}
	return inForce, problems
}

// reasonNotInForce returns why the process does not have the revision in force;
// empty if it does.
func reasonNotInForce(answer status.Answer[admin.Status], revision mulberryspool.Revision) string {
	switch {
	case answer.Err != nil:
		return answer.Err.Error()
	case answer.Value.Revision >= revision:
		return ""
	case answer.Value.Rejected != nil && answer.Value.Rejected.Revision == revision:
		return fmt.Sprintf("rejected it: %s/%s: %s", answer.Value.Rejected.Table, answer.Value.Rejected.Row, answer.Value.Rejected.Reason)
	case answer.Value.Revision == 0:
		return "has no tables in force"
	}
	return fmt.Sprintf("has revision %d in force", answer.Value.Revision)
}

func (p *Program) timeline(ctx context.Context, a *arguments) error {
	filter, err := a.Timeline.filter(p.Clock.Now())
	if err != nil {
		return withCode(ExitBadInput, err)
	}
	var write func(timeline.Merged, io.Writer) error
	switch a.Timeline.Format {
	case "text":
		write = timeline.Merged.WriteText
	case "json":
		write = timeline.Merged.WriteJSON
	case "html":
		write = timeline.Merged.WriteHTML
	default:
		return withCode(ExitBadInput, errors.Newf("--format %q is unknown; expected text, json or html", a.Timeline.Format))
	}
	list, err := p.instanceList(a)
	if err != nil {
		return err
	}
	merged, err := (&status.Collector{List: list}).Events(ctx, filter)
	if err != nil {
		return err
	}
	if a.Timeline.Output == "" {
		return write(merged, p.Out)
	}
	return writeFile(a.Timeline.Output, func(w io.Writer) error { return write(merged, w) })
}

// filter converts the arguments. A duration in --since counts back from now.
func (t *timelineArguments) filter(now time.Time) (timeline.Filter, error) {
	filter := timeline.Filter{
		Request: mulberryspool.RequestID(t.Request), Pool: t.Pool, Version: t.Version,
		Change: t.Change, Kind: mulberryspool.EventKind(t.Kind),
	}
	if t.Since == "" {
		return filter, nil
	}
	if back, err := time.ParseDuration(t.Since); err == nil {
		filter.Since = now.Add(-back)
		return filter, nil
	}
	since, err := time.Parse(time.RFC3339, t.Since)
	if err != nil {
		return filter, errors.Newf("--since %q is neither a duration such as 10m nor a time such as 2026-01-31T12:00:00Z", t.Since)
	}
	filter.Since = since
	return filter, nil
}

func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create output file")
	}
	if err := write(file); err != nil {
		return errors.Wrap(errors.CombineErrors(err, file.Close()), "write output file")
	}
	return errors.Wrap(file.Close(), "close output file")
}
