package objectapi

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
)

// At the target size the bursts of 1,000 processes are ten times what the
// object API takes in a second. These sizes keep about that ratio.
const (
	fleetSize            = 128
	fleetReadsPerSecond  = 400
	fleetWritesPerSecond = 80
	fleetOutage          = 1500 * time.Millisecond
	// fleetReturn is above DefaultMaxBackoff, so that it spans the return of
	// most processes.
	fleetReturn = 4 * time.Second
)

// fleet is a number of processes whose calls never end.
type fleet struct {
	server  *standin.Server
	clients []*Client
	// answered counts the successful calls of each client.
	answered []atomic.Int64
}

// startFleet gives each process an equal share of three quarters of the rates.
func startFleet(t testing.TB, size int, prepare func(*Client)) *fleet {
	t.Helper()
	f := &fleet{
		server: &standin.Server{
			ReadsPerSecond:  fleetReadsPerSecond,
			WritesPerSecond: fleetWritesPerSecond,
			ReadBurst:       fleetReadsPerSecond,
			WriteBurst:      fleetWritesPerSecond,
		},
		answered: make([]atomic.Int64, size),
	}
	url := startServer(t, f.server)
	for i := range size {
		c := newClient(t, url, fmt.Sprint("process-", i), uint64(i))
		c.MinBackoff, c.MaxBackoff = DefaultMinBackoff, DefaultMaxBackoff
		// One read a second is left for the watch, which the object API
		// counts for as long as it waits.
		c.CallsPerSecond = 0.75*fleetReadsPerSecond/float64(size) - 1
		c.Burst = DefaultBurst
		prepare(c)
		f.clients = append(f.clients, c)
		f.server.Put("kind", c.Caller, nil)
	}
	return f
}

// run lets each process read, write and watch until the context ends.
func (f *fleet) run(ctx context.Context, group *sync.WaitGroup) {
	for i, c := range f.clients {
		note := func(err error) {
			if err == nil {
				f.answered[i].Add(1)
				return
			}
			// A call that can't be sent in time fails at once.
			time.Sleep(10 * time.Millisecond)
		}
		for reader := range 4 {
			group.Go(func() {
				for ctx.Err() == nil {
					_, err := c.List(ctx, "kind", fmt.Sprint(c.Caller, "/", reader))
					note(err)
				}
			})
		}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_, err := c.Create(ctx, "written", fmt.Sprint(c.Caller, "/", n), nil)
				note(err)
			}
		})
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = c.Watch(ctx, "kind", c.Caller, 1<<40)
			}
		})
	}
}

// comeBack returns the calls that arrived after an outage.
func (f *fleet) comeBack(t testing.TB, kind fault.Kind) standin.Counts {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	addFault(t, f.server, fault.Rule{Kind: kind})
	f.run(ctx, &group)
	time.Sleep(fleetOutage)
	f.server.ResetCounts()
	f.server.Faults.Clear()
	time.Sleep(fleetReturn)
	counts := f.server.Counts()
	// Each process returns sooner or later.
	for i := range f.answered {
		for f.answered[i].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	cancel()
	group.Wait()
	return counts
}

func (f *fleet) check(t *testing.T, counts standin.Counts) {
	t.Helper()
	if counts.PeakReads > fleetReadsPerSecond {
		t.Errorf("%d reads within a second, the object API takes %d", counts.PeakReads, fleetReadsPerSecond)
	}
	if counts.PeakWrites > fleetWritesPerSecond {
		t.Errorf("%d writes within a second, the object API takes %d", counts.PeakWrites, fleetWritesPerSecond)
	}
	if len(counts.Throttled) > 0 {
		t.Errorf("calls were throttled: %v", counts.Throttled)
	}
}

// Guards against processes that return from an outage together and drive the
// object API above its rates, so that it goes down again.
func TestReturnAfterOutage(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Refuse, fault.Unavailable, fault.Hang} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSize, func(*Client) {})
			f.check(t, f.comeBack(t, kind))
		})
	}
}

// Guards against processes that are all replaced at once and spend their
// whole bursts within the same second.
func TestStartTogether(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize, func(c *Client) { c.StartSpread = time.Second })
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	f.run(ctx, &group)
	time.Sleep(fleetReturn)
	counts := f.server.Counts()
	cancel()
	group.Wait()
	f.check(t, counts)
}

// BenchmarkReturnAfterOutage reports the most calls within any second after
// an outage, against the number of processes. The rates are 400 and 80.
func BenchmarkReturnAfterOutage(b *testing.B) {
	for _, size := range []int{8, 32, fleetSize} {
		b.Run(fmt.Sprint("processes=", size), func(b *testing.B) {
			for b.Loop() {
				counts := startFleet(b, size, func(*Client) {}).comeBack(b, fault.Refuse)
				b.ReportMetric(float64(counts.PeakReads), "peak-reads/s")
				b.ReportMetric(float64(counts.PeakWrites), "peak-writes/s")
			}
		})
	}
}
