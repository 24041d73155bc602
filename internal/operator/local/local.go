// Package local runs a whole system with stand-ins in one process, for trying
// it out: it publishes two versions, rolls them out one after the other while
// requests flow, and checks every answer.
//
//	deployment (stand-ins, agents, entries) <-- traffic
//	       ^--- publish, apply, apply again --- System.Run --> progress, report
package local

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/operator/status"
	"github.com/mulberryspool/mulberryspool/internal/operator/tables"
	"github.com/mulberryspool/mulberryspool/internal/operator/weights"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/content"
)

const (
	agentCount     = 12
	entryCount     = 2
	workspaceCount = 10
	callerCount    = 16
	callerPause    = 20 * time.Millisecond
	answerTokens   = 12
	// tokensPerSecond is the rate of one request at an engine.
	tokensPerSecond = 100
	// contentSize and chunkSize are in bytes. Half of the second version's
	// content is new.
	contentSize = 64 << 20
	chunkSize   = 1 << 20
	// originRate, machineRate and regionRate are in bytes per second. The
	// origin's link carries about four copies in the time in which a
	// machine's carries two.
	originRate  = 32 << 20
	machineRate = 16 << 20
	regionRate  = 16 << 20

	poolName  = "assistant"
	routeName = "assistant"
	// logLevel leaves the screen to the progress.
	logLevel = "error"

	progressInterval = 500 * time.Millisecond
	// rolloutLimit ends a run whose rollout makes no end.
	rolloutLimit = 2 * time.Minute
)

var regions = []string{"north", "south", "west"}

// System is the whole system. Set the exported fields before Run.
type System struct {
	Clock mulberryspool.Clock
	Out   io.Writer
	// Logs takes the error logs of all processes.
	Logs io.Writer
	// Keep leaves the system up at the end until the context ends.
	Keep bool

	deployment deployment
	// shown is the last line of progress.
	shown string
}

// Run returns an error unless everything that it checks held.
func (s *System) Run(ctx context.Context) error {
	rolesCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	s.deployment.clock, s.deployment.failed = s.Clock, fail
	defer s.deployment.close()
	if err := s.deployment.start(rolesCtx, &synchronized{out: s.Logs}); err != nil {
		stopRoles()
		return err
	}
	s.print("%d agents with engines and %d entries are up\n", agentCount, entryCount)
	err := s.rollOutTwice(ctx)
	if s.Keep && err == nil {
		s.printUse()
		<-ctx.Done()
	}
	stopRoles()
	if roleErr := s.deployment.roles.Wait(); err == nil {
		err = roleErr
	}
	return err
}

func (s *System) rollOutTwice(ctx context.Context) error {
	if err := s.publish(ctx, "first", content.Generate(1, contentSize)); err != nil {
		return err
	}
	second := content.Join(content.Generate(1, contentSize/2), content.Generate(2, contentSize/2))
	if err := s.publish(ctx, "second", second); err != nil {
		return err
	}
	// Publishing reads each content once; that is no part of a rollout.
	s.deployment.origin.ResetCounts()
	if err := s.rollOut(ctx, "first", contentSize); err != nil {
		return err
	}
	t := &caller.Load{
		Callers: callerCount, Pause: callerPause, Route: routeName, Tokens: answerTokens,
		Workspaces: workspaceCount, Entries: s.deployment.callers,
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.Run(trafficCtx)
	}()
	err := s.rollOut(ctx, "second", contentSize/2)
	stopTraffic()
	<-ended
	if err != nil {
		return err
	}
	return s.report(t.Results())
}

func (s *System) publish(ctx context.Context, version string, c content.Content) error {
	manifest, err := content.Manifest(version, version, c, chunkSize)
	if err != nil {
		return err
	}
	s.deployment.origin.Put(version, c, manifest.Chunks)
	p := &weights.Publisher{Store: s.deployment.store, Origin: s.deployment.reader}
	if _, err := p.Publish(ctx, weights.Request{Version: version, OriginPath: version, ChunkBytes: chunkSize}); err != nil {
		return err
	}
	s.print("version %s is published: %s in %d chunks\n", version, humanize.IBytes(uint64(c.Size())), len(manifest.Chunks))
	return nil
}

// rollOut names the version in the pool and waits until all agents serve it.
func (s *System) rollOut(ctx context.Context, version string, newBytes int64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	before := s.deployment.origin.Counts().Total.Bytes
	began := s.Clock.Now()
	writer := &tables.Writer{Store: s.deployment.store, Clock: s.Clock}
	applied, err := writer.Apply(ctx, tables.Edit{Author: "local", File: tables.File{
		Routes: []mulberryspool.Route{{Name: routeName, Kind: mulberryspool.RouteChat, Pool: poolName, Idempotent: true, Timeout: time.Minute}},
		Pools:  []mulberryspool.Pool{{Name: poolName, Kind: mulberryspool.PoolEngine, Version: version, MaxUnavailable: agentCount / 4}},
	}})
	if err != nil {
		return errors.Wrap(err, "apply tables")
	}
	s.print("revision %d names version %s\n", applied.Revision, version)
	collector := &status.Collector{List: s.deployment.list}
	for {
		answers, err := collector.Statuses(ctx)
		if err == nil && s.progress(status.Summarize(answers), version) {
			break
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(context.Cause(ctx), "version %s is not served by all agents", version)
		case <-s.Clock.After(progressInterval):
		}
	}
	fromOrigin := s.deployment.origin.Counts().Total.Bytes - before
	s.print("version %s: time to %d replicas %v, origin copies %.2f\n", version, agentCount,
		s.Clock.Since(began).Round(10*time.Millisecond), float64(fromOrigin)/float64(newBytes))
	return nil
}

// progress prints a line and reports whether all agents serve the version and
// all entries may send to them.
func (s *System) progress(r status.Report, version string) bool {
	for _, pool := range r.Pools {
		if pool.Name != poolName {
			continue
		}
		s.show(fmt.Sprintf("  %d of %d serve %s, %d of %d chunks, origin %s, other regions %s, peers %s\n",
			pool.Serving, agentCount, pool.Target, pool.Chunks, pool.ChunksTotal, humanize.IBytes(uint64(pool.OriginBytes)),
			humanize.IBytes(uint64(pool.RegionBytes)), humanize.IBytes(uint64(pool.PeerBytes))))
		if pool.Target != version || pool.Serving != agentCount {
			return false
		}
		return len(r.Entries) == entryCount && allReady(r.Entries)
	}
	return false
}

func allReady(entries []status.Entry) bool {
	for _, e := range entries {
		if !e.Ready || len(e.Pools) == 0 || e.Pools[0].Ready != agentCount {
			return false
		}
	}
	return true
}

// report compares what callers saw with the engines' records.
func (s *System) report(results []caller.Result) error {
	counts := make(map[mulberryspool.Outcome]int)
	var problems []string
	for _, r := range results {
		id := mulberryspool.RequestID(r.ID)
		outcome, detail := outcomeOf(r)
		counts[outcome]++
		executions := 0
		for _, e := range s.deployment.engines {
			executions += len(e.Executions(id))
		}
		switch {
		case outcome == mulberryspool.OutcomeDone && executions != 1:
			problems = append(problems, fmt.Sprintf("request %s was answered and ran %d times", id, executions))
		case outcome == mulberryspool.OutcomeNotRun && executions != 0:
			problems = append(problems, fmt.Sprintf("request %s was refused as not run and ran %d times", id, executions))
		case outcome != mulberryspool.OutcomeDone && outcome != mulberryspool.OutcomeNotRun:
			problems = append(problems, fmt.Sprintf("request %s ended as %s: %s", id, outcome, detail))
		}
	}
	s.print("requests during the second rollout: %d answered, %d refused (not run), %d unknown, %d failed\n",
		counts[mulberryspool.OutcomeDone], counts[mulberryspool.OutcomeNotRun],
		counts[mulberryspool.OutcomeUnknown], counts[mulberryspool.OutcomeFailed])
	if counts[mulberryspool.OutcomeDone] == 0 {
		problems = append(problems, "no request was answered")
	}
	if len(problems) > 0 {
		for _, p := range problems {
			s.print("%s\n", p)
		}
		return errors.Newf("%d checks failed", len(problems))
	}
	return nil
}

func (s *System) printUse() {
	d := &s.deployment
	s.print(`The system stays up; end it with an interrupt. In another shell:
  export MULBERRYSPOOL_OBJECT_API=%s MULBERRYSPOOL_INSTANCES=%s
  mulberryspool status
  mulberryspool tables get
  mulberryspool timeline --format html -o timeline.html
  curl -N %s/v1/chat/completions -d '{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}'
The origin is at %s.
`, d.objectURL, d.listURL, d.callers[0], routeName, d.originURL)
}

// show prints a line of progress unless it repeats the last one.
func (s *System) show(line string) {
	if line != s.shown {
		s.print("%s", line)
	}
	s.shown = line
}

// print writes progress; a screen that is gone must not end the run.
func (s *System) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Out, format, arguments...)
}
