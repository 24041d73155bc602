// Package agent runs the agent role from its settings.
package agent

import (
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/agent/process"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/backend/engine"
	"github.com/mulberryspool/mulberryspool/internal/backend/plain"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/platform/origin"
	"github.com/mulberryspool/mulberryspool/internal/platform/weightstore"
	"github.com/mulberryspool/mulberryspool/internal/role/platform"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
)

// Shares of the descriptors that the connections to each listener may use.
const callsDescriptors, chunksDescriptors = 0.4, 0.3

// Run runs an agent until the context ends and its requests have ended.
func Run(ctx context.Context, s settings.Settings, logs io.Writer) error {
	clients, err := platform.New(platform.Options{
		Identity: s.Identity(), ObjectAPI: s.ObjectAPI, Instances: s.InstanceList,
		Tables: s.Tables, Telemetry: s.Telemetry, Logs: logs,
		Memory: s.Limits.Memory, Descriptors: s.Limits.Descriptors,
	})
	if err != nil {
		return err
	}
	listeners, err := platform.Listen(s.Listen.Control, s.Listen.Chunks, s.Listen.Admin)
	if err != nil {
		return err
	}
	clients.Endpoint.MaxMessageBytes, clients.Endpoint.Memory = uint64(s.Limits.MaxMessageSize), clients.Guard.Budget
	p := &process.Process{
		Identity: clients.Identity, Clock: clients.Clock, Backend: newBackend(s, clients.Clock),
		Store: clients.Store, Instances: clients.Instances, Tables: clients.Tables, Recorder: clients.Events,
		Logger: clients.Logger, Metrics: clients.Metrics, Endpoint: clients.Endpoint,
		Control:         clients.Guard.ListenRaw(listeners[0], "calls", callsDescriptors),
		AnswerRetention: s.Timeouts.AnswerRetention, StartFreshness: s.Timeouts.StartFreshness,
		MaxInFlight: s.Limits.MaxInFlight, LeaseDuration: s.Timeouts.LeaseDuration,
		MaxOrderDelay: s.Timeouts.MaxOrderDelay, HeartbeatInterval: s.Timeouts.HeartbeatInterval,
		InstanceListPollInterval: s.InstanceList.PollInterval, ReportInterval: s.Backend.ReportInterval,
		ReadBackTimeout: s.Timeouts.BackendTimeout, LoadTimeout: s.Timeouts.LoadTimeout,
	}
	run := platform.WithStopTimeout(clients.Clock, s.Timeouts.GracefulStop, p.Run)
	clients.Admin.Ready = func() error {
		if status := p.Status(); !status.Serving || status.Leaving {
			return errors.Newf("the agent takes no new requests in phase %s", status.Phase)
		}
		return nil
	}
	clients.Admin.Status = func() admin.Status { return status(p.Status(), clients) }
	if s.Backend.Kind == mulberryspool.PoolPlain {
		listeners[1].Close()
		return clients.Run(ctx, listeners[2], run)
	}
	fetcher := newFetcher(s, clients, clients.Guard.Listen(listeners[1], "chunks", chunksDescriptors))
	p.Stager = fetcher
	return clients.Run(ctx, listeners[2], func(ctx context.Context) error {
		return runFetcherAndAgent(ctx, fetcher.Run, run)
	})
}

// runFetcherAndAgent stops the fetcher only after the agent has stopped, because
// other agents and the engine read from it.
func runFetcherAndAgent(ctx context.Context, fetcher, agent func(context.Context) error) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return fetcher(groupCtx) })
	group.Go(func() error {
		defer stop()
		agentCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(groupCtx, cancel)()
		return agent(agentCtx)
	})
	return group.Wait()
}

func newBackend(s settings.Settings, clock mulberryspool.Clock) mulberryspool.Backend {
	if s.Backend.Kind == mulberryspool.PoolPlain {
		return &plain.Client{BaseURL: s.Backend.URL, Capacity: s.Limits.MaxInFlight}
	}
	return &engine.Client{BaseURL: s.Backend.URL, Clock: clock, Timeout: s.Timeouts.BackendTimeout}
}

func newFetcher(s settings.Settings, clients *platform.Clients, listener net.Listener) *fetch.Fetcher {
	w := s.Weights
	link := func(bytesPerSecond int64) *chunks.LinkLimiter {
		return &chunks.LinkLimiter{Clock: clients.Clock, BytesPerSecond: bytesPerSecond, LiveShare: w.LiveShare}
	}
	caller := string(clients.Identity.Instance)
	f := &fetch.Fetcher{
		Identity: clients.Identity, Clock: clients.Clock, Instances: clients.Instances, Endpoint: clients.Endpoint,
		Origin:   &origin.Client{BaseURL: w.Origin, Caller: caller, Clock: clients.Clock, StallTimeout: w.ChunkDeadline},
		Listener: listener, Recorder: clients.Events, Logger: clients.Logger, Metrics: clients.Metrics,
		Seed: clients.Random.Uint64(),
		Limits: swarm.Limits{
			OriginBias: w.OriginBias, MaxTakeoverDelay: w.OriginPatience,
			OriginBytesPerSecond: int64(w.OriginRate),
			Pipeline:             w.DownloadSlots, ProgressTimeout: w.ChunkDeadline,
		},
		StagingBytes: int64(w.StagingLimit), UploadSlots: w.UploadSlots,
		Uplink: link(int64(w.MachineRate)), Downlink: link(int64(w.MachineRate)),
	}
	if w.WeightStore != "" {
		f.WeightStore = &weightstore.Client{BaseURL: w.WeightStore, Caller: caller, Clock: clients.Clock, StallTimeout: w.ChunkDeadline}
	}
	regions := &chunks.RegionLimiters{
		Clock: clients.Clock, BytesPerSecond: int64(w.RegionRate), LiveShare: w.LiveShare, AgentCount: f.RegionAgentCount,
	}
	f.RegionLink = regions.Limiter
	return f
}

func status(s process.Status, clients *platform.Clients) admin.Status {
	reason := s.Waiting
	if s.Cause != "" {
		reason = s.Cause
	}
	return admin.Status{
		Identity: clients.Identity, Ready: s.Serving && !s.Leaving, Reason: reason,
		Revision: s.Revision, Rejected: clients.Tables.Rejected(), ControlBytes: clients.ControlBytes(),
		Agent: &admin.AgentStatus{
			Heartbeat: mulberryspool.Heartbeat{
				Incarnation: clients.Identity.Incarnation, Phase: s.Phase, Served: s.Served, ServedVersion: s.ServedVersion,
				Target: s.Target.Version, FailedVersion: s.FailedVersion, Load: s.Load, Revision: s.Revision, Leaving: s.Leaving,
			},
			Progress: s.Staging, Cause: reason, InFlight: s.InFlight,
		},
	}
}
