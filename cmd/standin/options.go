package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/instancelist"
	"github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
	"github.com/mulberryspool/mulberryspool/internal/standin/weightstore"
)

type (
	options struct {
		Listen       string               `arg:"--listen" default:"127.0.0.1:0" help:"IP address and port; port 0 takes a free one"`
		ObjectAPI    *objectAPIOptions    `arg:"subcommand:objectapi" help:"object API"`
		InstanceList *instanceListOptions `arg:"subcommand:instancelist" help:"instance list"`
		Origin       *byteRateOptions     `arg:"subcommand:origin" help:"origin of the weights"`
		WeightStore  *byteRateOptions     `arg:"subcommand:weightstore" help:"weight store"`
		Engine       *engineOptions       `arg:"subcommand:engine" help:"model engine"`
		PlainService *plainServiceOptions `arg:"subcommand:plainservice" help:"plain service"`
	}

	objectAPIOptions struct {
		ReadsPerSecond  float64       `arg:"--reads-per-second" default:"2000" help:"reads and waiting watches a second"`
		WritesPerSecond float64       `arg:"--writes-per-second" default:"400" help:"writes a second"`
		RetryAfter      time.Duration `arg:"--retry-after" default:"1s" help:"hint sent with 429, in whole seconds"`
	}

	instanceListOptions struct {
		Lag time.Duration `arg:"--lag" default:"0s" help:"time until a change shows"`
	}

	byteRateOptions struct {
		BytesPerSecond int64 `arg:"--bytes-per-second" default:"0" help:"shared by all readers; 0 is unlimited"`
	}

	engineOptions struct {
		Version                string        `arg:"--version" help:"version that is loaded at first"`
		Digest                 string        `arg:"--digest" help:"digest that is loaded at first; without one the engine serves nothing"`
		TokensPerSecond        float64       `arg:"--tokens-per-second" default:"0" help:"of one running request; 0 is unlimited"`
		PrefillTokensPerSecond float64       `arg:"--prefill-tokens-per-second" default:"0" help:"of the uncached part of a prompt; 0 is unlimited"`
		Capacity               int           `arg:"--capacity" default:"8" help:"requests that run at once"`
		CacheBlocks            int           `arg:"--cache-blocks" default:"4096" help:"size of the prefix cache in blocks of 16 tokens"`
		CacheEventDelay        time.Duration `arg:"--cache-event-delay" default:"0s" help:"time until a cache event can be read"`
		CacheEventLoss         float64       `arg:"--cache-event-loss" default:"0" help:"share of cache events that are never seen, 0 to 1"`
		ReportLag              time.Duration `arg:"--report-lag" default:"0s" help:"age of load reports"`
		LoadBytesPerSecond     int64         `arg:"--load-bytes-per-second" default:"0" help:"rate at which weights are read; 0 is unlimited"`
		RefuseStaleOrders      bool          `arg:"--refuse-stale-orders" help:"refuse orders with an old fencing number"`
		Seed                   uint64        `arg:"--seed" default:"1" help:"of the gaps in the cache events"`
	}

	plainServiceOptions struct {
		Delay time.Duration `arg:"--delay" default:"0s" help:"time that a call takes"`
	}
)

// Description implements arg.Described.
func (options) Description() string {
	return "standin runs one of the stand-ins for outside systems."
}

// handler creates the stand-in that the subcommand selects.
func (o options) handler() (http.Handler, error) {
	clock := clockwork.NewRealClock()
	switch {
	case o.ObjectAPI != nil:
		return (&objectapi.Server{
			Clock:           clock,
			ReadsPerSecond:  o.ObjectAPI.ReadsPerSecond,
			WritesPerSecond: o.ObjectAPI.WritesPerSecond,
			RetryAfter:      o.ObjectAPI.RetryAfter,
		}).Handler(), nil
	case o.InstanceList != nil:
		s := &instancelist.Server{Clock: clock}
		s.SetLag(o.InstanceList.Lag)
		return s.Handler(), nil
	case o.Origin != nil:
		return (&origin.Server{Clock: clock, BytesPerSecond: o.Origin.BytesPerSecond}).Handler(), nil
	case o.WeightStore != nil:
		return (&weightstore.Server{Clock: clock, BytesPerSecond: o.WeightStore.BytesPerSecond}).Handler(), nil
	case o.Engine != nil:
		return o.Engine.handler(clock), nil
	case o.PlainService != nil:
		return (&plainservice.Server{Clock: clock, Delay: o.PlainService.Delay}).Handler(), nil
	default:
		return nil, errors.New("no stand-in is selected")
	}
}

func (o *engineOptions) handler(clock mulberryspool.Clock) http.Handler {
	return (&engine.Server{
		Clock:                  clock,
		Random:                 rand.New(rand.NewPCG(o.Seed, 0)),
		InitialLoaded:          mulberryspool.Loaded{Version: o.Version, Digest: mulberryspool.Digest(o.Digest)},
		TokensPerSecond:        o.TokensPerSecond,
		PrefillTokensPerSecond: o.PrefillTokensPerSecond,
		Capacity:               o.Capacity,
		CacheBlocks:            o.CacheBlocks,
		CacheEventDelay:        o.CacheEventDelay,
		CacheEventLoss:         o.CacheEventLoss,
		ReportLag:              o.ReportLag,
		LoadBytesPerSecond:     o.LoadBytesPerSecond,
		RefusesStaleOrders:     o.RefuseStaleOrders,
	}).Handler()
}
