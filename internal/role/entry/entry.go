// Package entry runs the entry role from its settings.
package entry

import (
	"context"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/admission"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/entry/process"
	"github.com/mulberryspool/mulberryspool/internal/entry/routing"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/role/platform"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/entry"
)

// Run runs an entry until the context ends and its requests are answered.
func Run(ctx context.Context, s settings.Settings, logs io.Writer) error {
	clients, err := platform.New(platform.Options{
		Identity: s.Identity(), ObjectAPI: s.ObjectAPI, Instances: s.InstanceList,
		Tables: s.Tables, Telemetry: s.Telemetry, AlwaysWatch: true, Logs: logs,
		Memory: s.Limits.Memory, Descriptors: s.Limits.Descriptors,
	})
	if err != nil {
		return err
	}
	listeners, err := platform.Listen(s.Listen.Callers, s.Listen.Admin)
	if err != nil {
		return err
	}
	p := &process.Process{
		Identity: clients.Identity, Clock: clients.Clock, Store: clients.Store, Instances: clients.Instances,
		Tables: clients.Tables, Recorder: clients.Events, Logger: clients.Logger, Metrics: clients.Metrics,
		Endpoint: clients.Endpoint, CallerListener: listeners[0], Guard: clients.Guard,
		NewRouter: func(string) mulberryspool.Router {
			return routing.New(rand.New(rand.NewPCG(clients.Random.Uint64(), clients.Random.Uint64())))
		},
		NewAdmission: func(string) mulberryspool.Admission {
			return &admission.Limiter{RetryRatio: s.Limits.RetryBudget, MaxQueuedTokens: s.Limits.MaxQueuedTokens}
		},
		DispatchSettings: dispatch.Settings{
			SubsetSize: s.Limits.SubsetSize, MaxRequests: s.Limits.MaxInFlight, Timeout: s.Timeouts.RequestTimeout, ResolveTimeout: s.Timeouts.ResolveTimeout,
		},
		MaxBody: int64(s.Limits.MaxBodySize), InstancePollInterval: s.InstanceList.PollInterval,
		HeartbeatInterval: s.Timeouts.HeartbeatInterval, DialTimeout: s.Timeouts.DialTimeout,
		MinSuspicionTimeout: s.Timeouts.SuspicionTimeout, DrainTimeout: s.Timeouts.GracefulStop,
	}
	clients.Admin.Ready = func() error {
		if !p.Ready() {
			return errors.New("the entry takes no new requests")
		}
		return nil
	}
	clients.Admin.Status = func() admin.Status { return status(p.Status(), clients) }
	return clients.Run(ctx, listeners[1], p.Run)
}

func status(s process.Status, clients *platform.Clients) admin.Status {
	view := admin.EntryStatus{InFlight: s.Requests}
	suspected := make(map[string]int)
	for _, agent := range s.Agents {
		if agent.Suspected {
			suspected[agent.Pool]++
		}
	}
	for _, pool := range s.Pools {
		view.Queued += pool.Queued + pool.Parked
		view.Pools = append(view.Pools, admin.EntryPoolStatus{
			Pool: pool.Pool, Agents: pool.InSubset, Ready: pool.Ready, Suspected: suspected[pool.Pool],
		})
	}
	return admin.Status{
		Identity: clients.Identity, Ready: s.Ready, Revision: s.Revision,
		Rejected: clients.Tables.Rejected(), ControlBytes: clients.ControlBytes(), Entry: &view,
	}
}
