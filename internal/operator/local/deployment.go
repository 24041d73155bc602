package local

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/instancelist"
	objectclient "github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	originclient "github.com/mulberryspool/mulberryspool/internal/platform/origin"
	agentrole "github.com/mulberryspool/mulberryspool/internal/role/agent"
	entryrole "github.com/mulberryspool/mulberryspool/internal/role/entry"
	"github.com/mulberryspool/mulberryspool/internal/role/platform"
	agentsettings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	entrysettings "github.com/mulberryspool/mulberryspool/internal/settings/entry"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	instances "github.com/mulberryspool/mulberryspool/internal/standin/instancelist"
	"github.com/mulberryspool/mulberryspool/internal/standin/loopback"
	"github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// anyPort is a listen address with a port chosen by the operating system.
const anyPort = "127.0.0.1:0"

type (
	// deployment is a complete system that runs in one process.
	deployment struct {
		clock     mulberryspool.Clock
		origin    *origin.Server
		instances *instances.Server
		engines   []*engine.Server
		servers   []*serve.Server
		addresses loopback.Allocator

		objectURL, listURL, originURL string
		// entryURLs are the base URLs of the entries for callers.
		entryURLs []string

		store        *objectclient.Client
		list         *instancelist.Client
		originReader *originclient.Client
		roles        errgroup.Group
		// roleMemory is the part of the machine's memory for each agent and entry; 0 if that isn't
		// known.
		roleMemory decode.Size
		// onRoleFailure is called if a role ends before its context does.
		onRoleFailure func(error)
	}
)

// start starts the stand-ins, the agents and the entries. Agents and entries
// run until the context ends.
func (d *deployment) start(ctx context.Context, logs io.Writer) error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	d.store = &objectclient.Client{
		BaseURL: d.objectURL, Caller: "operator", Clock: d.clock,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	d.list = &instancelist.Client{BaseURL: d.listURL, Caller: "operator", Clock: d.clock}
	if memory, err := platform.MachineMemory(); err == nil {
		d.roleMemory = decode.Size(memory / (agentCount + entryCount))
	}
	d.originReader = &originclient.Client{BaseURL: d.originURL, Caller: "operator", Clock: d.clock}
	for i := range agentCount {
		if err := d.startAgent(ctx, i, logs); err != nil {
			return err
		}
	}
	for i := range entryCount {
		d.startEntry(ctx, i, logs)
	}
	return nil
}

// startPlatform starts the stand-ins for the object API, the instance list and
// the origin.
func (d *deployment) startPlatform() error {
	objects := &objectapi.Server{Clock: d.clock}
	d.instances = &instances.Server{Clock: d.clock}
	d.origin = &origin.Server{Clock: d.clock, BytesPerSecond: originRate}
	var err error
	if d.objectURL, err = d.serve(objects.Handler()); err != nil {
		return err
	}
	if d.listURL, err = d.serve(d.instances.Handler()); err != nil {
		return err
	}
	d.originURL, err = d.serve(d.origin.Handler())
	return err
}

func (d *deployment) serve(handler http.Handler) (string, error) {
	server, err := serve.Start(handler, anyPort)
	if err != nil {
		return "", err
	}
	d.servers = append(d.servers, server)
	return server.URL, nil
}

// startAgent starts an engine and the agent beside it.
func (d *deployment) startAgent(ctx context.Context, number int, logs io.Writer) error {
	backend := &engine.Server{Clock: d.clock, TokensPerSecond: tokensPerSecond, RefusesStaleOrders: true}
	url, err := d.serve(backend.Handler())
	if err != nil {
		return err
	}
	d.engines = append(d.engines, backend)
	s := agentsettings.Defaults()
	s.Instance, s.Pool = fmt.Sprintf("agent-%d", number), poolName
	s.Region, s.FailureDomain = location(number)
	s.ObjectAPI.URL, s.InstanceList.URL = d.objectURL, d.listURL
	s.Backend = agentsettings.Backend{Kind: mulberryspool.PoolEngine, URL: url, ReportInterval: shared.DefaultReportInterval}
	s.Weights.Origin, s.Weights.OriginRate = d.originURL, originRate
	s.Weights.MachineRate, s.Weights.RegionRate = machineRate, regionRate
	s.Telemetry.LogLevel = logLevel
	s.Limits.Memory = d.roleMemory
	s.Listen = agentsettings.Listen{Control: d.addresses.Address(), Chunks: d.addresses.Address(), Admin: d.addresses.Address()}
	d.instances.Register(s.Identity())
	d.run(ctx, s.Instance, func() error { return agentrole.Run(ctx, s, logs) })
	return nil
}

func (d *deployment) startEntry(ctx context.Context, number int, logs io.Writer) {
	s := entrysettings.Defaults()
	s.Instance = fmt.Sprintf("entry-%d", number)
	s.Region, s.FailureDomain = location(number)
	s.ObjectAPI.URL, s.InstanceList.URL = d.objectURL, d.listURL
	s.Telemetry.LogLevel = logLevel
	s.Limits.Memory = d.roleMemory
	s.Listen = entrysettings.Listen{Callers: d.addresses.Address(), Admin: d.addresses.Address()}
	d.entryURLs = append(d.entryURLs, "http://"+s.Listen.Callers)
	d.instances.Register(s.Identity())
	d.run(ctx, s.Instance, func() error { return entryrole.Run(ctx, s, logs) })
}

// run starts a role in the background.
func (d *deployment) run(ctx context.Context, instance string, role func() error) {
	d.roles.Go(func() error {
		err := errors.Wrapf(role(), "run %s", instance)
		if ctx.Err() == nil {
			d.onRoleFailure(errors.Wrap(err, "role ended before shutdown"))
		}
		return err
	})
}

// close stops the clients and the stand-ins. The roles must have ended before.
func (d *deployment) close() {
	if d.store != nil {
		d.store.Close()
		d.list.Close()
		d.originReader.Close()
	}
	for _, s := range d.servers {
		s.Close()
	}
}

// location distributes instances over the regions, with one failure domain
// each.
func location(number int) (region, failureDomain string) {
	region = regions[number%len(regions)]
	return region, region + "-a"
}
