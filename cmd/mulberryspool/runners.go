package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/operator/command"
	"github.com/mulberryspool/mulberryspool/internal/operator/local"
	"github.com/mulberryspool/mulberryspool/internal/operator/weights"
	"github.com/mulberryspool/mulberryspool/internal/platform/instancelist"
	"github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/platform/origin"
	"github.com/mulberryspool/mulberryspool/internal/platform/weightstore"
	"github.com/mulberryspool/mulberryspool/internal/role/agent"
	"github.com/mulberryspool/mulberryspool/internal/role/entry"
	"github.com/mulberryspool/mulberryspool/internal/role/hosted"
	agentsettings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	entrysettings "github.com/mulberryspool/mulberryspool/internal/settings/entry"
	hostedsettings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
)

const (
	// operatorCaller is the caller name that the platform uses to count calls from
	// operators' commands.
	operatorCaller = "operator"
	// heapShare is the share of the memory that is the soft limit of the heap.
	heapShare = 0.5
)

// runners connects the subcommands with the packages that implement them. The hosted roles
// read their settings again on each signal from reload.
func runners(reload <-chan os.Signal) command.Runners {
	return command.Runners{
		Entry: func(ctx context.Context, s entrysettings.Settings, logs io.Writer) error {
			limitHeap(s.Limits.Memory)
			return entry.Run(ctx, s, logs)
		},
		Agent: func(ctx context.Context, s agentsettings.Settings, logs io.Writer) error {
			limitHeap(s.Limits.Memory)
			return agent.Run(ctx, s, logs)
		},

		HostedEntry: func(ctx context.Context, file string, s hostedsettings.Settings, logs io.Writer) error {
			return hosted.Entry(ctx, hosted.SettingsFile{Name: file, Reload: reload}, s, logs)
		},
		HostedAgent: func(ctx context.Context, file string, s hostedsettings.Settings, logs io.Writer) error {
			return hosted.Agent(ctx, hosted.SettingsFile{Name: file, Reload: reload}, s, logs)
		},
		Local: func(ctx context.Context, options command.LocalOptions, out io.Writer) error {
			system := &local.System{Clock: clockwork.NewRealClock(), Out: out, Logs: os.Stderr, Keep: options.Keep}
			return system.Run(ctx)
		},
		PublishWeights: publishWeights,
		ShowWeights:    showWeights,
		ObjectStore: func(url string) (mulberryspool.ObjectStore, error) {
			return &objectapi.Client{
				BaseURL: url, Caller: operatorCaller, Clock: clockwork.NewRealClock(),
				Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			}, nil
		},
		InstanceList: func(url string) (mulberryspool.InstanceList, error) {
			return &instancelist.Client{BaseURL: url, Caller: operatorCaller, Clock: clockwork.NewRealClock()}, nil
		},
	}
}

// limitHeap makes the garbage collector keep the heap within a share of the memory that the settings
// name; 0 leaves the limit to the environment.
func limitHeap(memory decode.Size) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}

// publishWeights publishes a version and prints its manifest in one line.
func publishWeights(ctx context.Context, store mulberryspool.ObjectStore, options command.PublishOptions, out io.Writer) error {
	clock := clockwork.NewRealClock()
	p := &weights.Publisher{
		Store:  store,
		Origin: &origin.Client{BaseURL: options.Origin, Caller: operatorCaller, Clock: clock},
	}
	if options.WeightStore != "" {
		p.WeightStore = &weightstore.Client{BaseURL: options.WeightStore, Caller: operatorCaller, Clock: clock}
	}
	began := clock.Now()
	manifest, err := p.Publish(ctx, weights.Request{Version: options.Version, OriginPath: options.Path, ChunkBytes: options.ChunkSize})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %s in %d chunks, digest %s, published in %v\n", manifest.Version,
		humanize.Bytes(uint64(manifest.Size)), len(manifest.Chunks), manifest.Digest, clock.Since(began).Round(time.Millisecond))
	return err
}

// showWeights prints the manifest of one version, or of all versions.
func showWeights(ctx context.Context, store mulberryspool.ObjectStore, options command.ShowOptions, out io.Writer) error {
	versions := []string{options.Version}
	if options.Version == "" {
		objects, err := store.List(ctx, mulberryspool.ManifestKind, "")
		if err != nil {
			return err
		}
		versions = versions[:0]
		for _, o := range objects {
			versions = append(versions, o.Name)
		}
	}
	p := &weights.Publisher{Store: store}
	for _, version := range versions {
		manifest, err := p.Show(ctx, version)
		if err != nil {
			return err
		}
		if err := writeManifest(out, manifest, options.JSON); err != nil {
			return err
		}
	}
	return nil
}

func writeManifest(out io.Writer, manifest mulberryspool.Manifest, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(manifest)
	}
	_, err := fmt.Fprintf(out, "%s\t%s\t%d chunks\tdigest %s\torigin path %s\n", manifest.Version,
		humanize.Bytes(uint64(manifest.Size)), len(manifest.Chunks), manifest.Digest, manifest.OriginPath)
	return err
}
