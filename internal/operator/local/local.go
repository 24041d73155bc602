// Package local runs a complete system in one process as a demonstration, with
// stand-ins for the outside systems. It publishes two versions, rolls out the
// first, rolls out the second while callers send requests, and checks every
// answer.
//
//	deployment (stand-ins, agents, entries) <-- requests
//	       ^--- publish, apply, apply again --- System.Run --> progress, check results
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
	// tokensPerSecond is the generation rate of an engine for one request.
	tokensPerSecond = 100
	// contentSize and chunkSize are in bytes. Half of the content of the second
	// version differs from the first.
	contentSize = 64 << 20
	chunkSize   = 1 << 20
	// originRate, machineRate and regionRate are in bytes per second. The link
	// of the origin transfers about four copies in the time in which the link
	// of a machine transfers two.
	originRate  = 32 << 20
	machineRate = 16 << 20
	regionRate  = 16 << 20

	poolName  = "assistant"
	routeName = "assistant"
	// logLevel keeps routine log lines out of the progress output.
	logLevel = "error"

	progressInterval = 500 * time.Millisecond
	// rolloutTimeout limits each rollout.
	rolloutTimeout = 2 * time.Minute
)

var regions = []string{"north", "south", "west"}

// System is the complete system. Set the exported fields before Run.
type System struct {
	Clock mulberryspool.Clock
	Out   io.Writer
	// Logs receives the error logs of all roles.
	Logs io.Writer
	// Keep leaves the system running after the rollouts until the context ends.
	Keep bool

	deployment deployment
	// lastProgress is the progress line printed last.
	lastProgress string
}

// Run starts the system, does both rollouts and stops the system. It returns an
// error if a rollout or a check of the results fails.
func (s *System) Run(ctx context.Context) error {
	rolesCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	s.deployment.clock, s.deployment.onRoleFailure = s.Clock, fail
	defer s.deployment.close()
	if err := s.deployment.start(rolesCtx, &lockedWriter{out: s.Logs}); err != nil {
		stopRoles()
		return err
	}
	s.print("%d agents with engines and %d entries are up\n", agentCount, entryCount)
	err := s.runRollouts(ctx)
	if s.Keep && err == nil {
		s.printUsage()
		<-ctx.Done()
	}
	stopRoles()
	if roleErr := s.deployment.roles.Wait(); err == nil {
		err = roleErr
	}
	return err
}

// runRollouts publishes both versions, rolls them out, and checks the requests
// that were sent during the second rollout.
func (s *System) runRollouts(ctx context.Context) error {
	if err := s.publish(ctx, "first", content.Generate(1, contentSize)); err != nil {
		return err
	}
	second := content.Join(content.Generate(1, contentSize/2), content.Generate(2, contentSize/2))
	if err := s.publish(ctx, "second", second); err != nil {
		return err
	}
	// Publishing reads each content once, which must not count as part of a
	// rollout.
	s.deployment.origin.ResetCounts()
	if err := s.rollOut(ctx, "first", contentSize); err != nil {
		return err
	}
	generator := &caller.LoadGenerator{
		Callers: callerCount, Pause: callerPause, Route: routeName, Tokens: answerTokens,
		Workspaces: workspaceCount, Entries: s.deployment.entryURLs,
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		generator.Run(trafficCtx)
	}()
	err := s.rollOut(ctx, "second", contentSize/2)
	stopTraffic()
	<-ended
	if err != nil {
		return err
	}
	return s.verifyResults(generator.Results())
}

func (s *System) publish(ctx context.Context, version string, c content.Content) error {
	manifest, err := content.Manifest(version, version, c, chunkSize)
	if err != nil {
		return err
	}
	s.deployment.origin.Put(version, c, manifest.Chunks)
	p := &weights.Publisher{Store: s.deployment.store, Origin: s.deployment.originReader}
	if _, err := p.Publish(ctx, weights.Request{Version: version, OriginPath: version, ChunkBytes: chunkSize}); err != nil {
		return err
	}
	s.print("version %s is published: %s in %d chunks\n", version, humanize.IBytes(uint64(c.Size())), len(manifest.Chunks))
	return nil
}

// rollOut sets the version of the pool and waits until all agents serve it.
func (s *System) rollOut(ctx context.Context, version string, newBytes int64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
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
		if err == nil && s.checkProgress(status.Summarize(answers), version) {
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

// checkProgress prints a progress line and reports whether all agents serve the
// version and all entries can send requests to them.
func (s *System) checkProgress(r status.Report, version string) bool {
	for _, pool := range r.Pools {
		if pool.Name != poolName {
			continue
		}
		s.printProgress(fmt.Sprintf("  %d of %d serve %s, %d of %d chunks, origin %s, other regions %s, peers %s\n",
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

// verifyResults compares the results that callers got with the executions
// recorded by the engines.
func (s *System) verifyResults(results []caller.Result) error {
	counts := make(map[mulberryspool.Outcome]int)
	var problems []string
	for _, r := range results {
		id := mulberryspool.RequestID(r.ID)
		outcome, detail := observedOutcome(r)
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

func (s *System) printUsage() {
	d := &s.deployment
	s.print(`The system stays up; end it with an interrupt. In another shell:
  export MULBERRYSPOOL_OBJECT_API=%s MULBERRYSPOOL_INSTANCES=%s
  mulberryspool status
  mulberryspool tables get
  mulberryspool timeline --format html -o timeline.html
  curl -N %s/v1/chat/completions -d '{"model":%q,"stream":true,"messages":[{"role":"user","content":"hello"}]}'
The origin is at %s.
`, d.objectURL, d.listURL, d.entryURLs[0], routeName, d.originURL)
}

// printProgress prints a progress line unless it is the same as the last one.
func (s *System) printProgress(line string) {
	if line != s.lastProgress {
		s.print("%s", line)
	}
	s.lastProgress = line
}

// print writes to Out. Errors are ignored, so that a closed output does not end
// the run.
func (s *System) print(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.Out, format, arguments...)
}
