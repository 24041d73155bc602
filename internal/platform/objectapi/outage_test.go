package objectapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
)

// In a deployment of 1,000 processes, their bursts add up to ten times the calls
// that the object API accepts in a second. These sizes have about that ratio.
const (
	clientCount           = 128
	serverReadsPerSecond  = 400
	serverWritesPerSecond = 80
	outageDuration        = 1500 * time.Millisecond
	// recoveryDuration is above DefaultMaxBackoff, so that most processes send calls
	// again within it.
	recoveryDuration = 4 * time.Second
)

// memoryListener accepts in-memory connections, so that a test can run in the
// virtual time of synctest. In real time on a busy machine, calls of several
// seconds arrived within one second.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// clientGroup is a group of clients of one server, each with an endless series of calls.
type clientGroup struct {
	server  *standin.Server
	http    *http.Server
	clients []*Client
	// answered counts the successful reads and writes of each client.
	answered []atomic.Int64
}

// startClients gives each client an equal share of three quarters of the server's
// rate limit for reads.
func startClients(t testing.TB, size int, prepare func(*Client)) *clientGroup {
	t.Helper()
	f := &clientGroup{
		server: &standin.Server{
			ReadsPerSecond:  serverReadsPerSecond,
			WritesPerSecond: serverWritesPerSecond,
			ReadBurst:       serverReadsPerSecond,
			WriteBurst:      serverWritesPerSecond,
		},
		answered: make([]atomic.Int64, size),
	}
	f.server.Clock = clockwork.NewRealClock()
	listener := newMemoryListener()
	f.http = &http.Server{Handler: f.server.Handler()}
	go func() { _ = f.http.Serve(listener) }()
	for i := range size {
		c := newClient(t, "http://object-api", fmt.Sprint("process-", i), uint64(i))
		c.DialContext = listener.dial
		c.MinBackoff, c.MaxBackoff = DefaultMinBackoff, DefaultMaxBackoff
		// The object API counts a waiting watch as one read a second.
		c.CallsPerSecond = 0.75*serverReadsPerSecond/float64(size) - 1
		c.Burst = DefaultBurst
		prepare(c)
		f.clients = append(f.clients, c)
		f.server.Put("kind", c.Caller, nil)
	}
	return f
}

// close closes all connections, because a synctest bubble waits for them.
func (f *clientGroup) close(t testing.TB) {
	t.Helper()
	for _, c := range f.clients {
		c.Close()
	}
	if err := f.http.Close(); err != nil {
		t.Error(err)
	}
}

// run lets each client read, write and watch until the context ends.
func (f *clientGroup) run(ctx context.Context, group *sync.WaitGroup) {
	for i, c := range f.clients {
		record := func(err error) {
			if err == nil {
				f.answered[i].Add(1)
				return
			}
			// A call that cannot be sent in time fails at once.
			time.Sleep(100 * time.Millisecond)
		}
		for reader := range 4 {
			group.Go(func() {
				for ctx.Err() == nil {
					_, err := c.List(ctx, "kind", fmt.Sprint(c.Caller, "/", reader))
					record(err)
				}
			})
		}
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				_, err := c.Create(ctx, "written", fmt.Sprint(c.Caller, "/", n), nil)
				record(err)
			}
		})
		group.Go(func() {
			for ctx.Err() == nil {
				_, _ = c.Watch(ctx, "kind", c.Caller, 1<<40)
			}
		})
	}
}

// runOutage causes an outage and returns the counts of calls that arrived after
// it.
func (f *clientGroup) runOutage(t testing.TB, kind fault.Kind) standin.Counts {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	addFault(t, f.server, fault.Rule{Kind: kind})
	f.run(ctx, &group)
	time.Sleep(outageDuration)
	f.server.ResetCounts()
	f.server.Faults.Clear()
	time.Sleep(recoveryDuration)
	counts := f.server.Counts()
	// Every client must succeed eventually.
	for i := range f.answered {
		for f.answered[i].Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	cancel()
	group.Wait()
	return counts
}

func (f *clientGroup) checkRates(t *testing.T, counts standin.Counts) {
	t.Helper()
	if counts.PeakReads > serverReadsPerSecond {
		t.Errorf("%d reads within a second, the object API accepts %d", counts.PeakReads, serverReadsPerSecond)
	}
	if counts.PeakWrites > serverWritesPerSecond {
		t.Errorf("%d writes within a second, the object API accepts %d", counts.PeakWrites, serverWritesPerSecond)
	}
	if len(counts.Throttled) > 0 {
		t.Errorf("calls were throttled: %v", counts.Throttled)
	}
}

// Guards against processes that resume at the same time after an outage and
// exceed the rate limits of the object API, so that it fails again.
func TestReturnAfterOutage(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Refuse, fault.Unavailable, fault.Hang} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startClients(t, clientCount, func(*Client) {})
				f.checkRates(t, f.runOutage(t, kind))
				f.close(t)
			})
		})
	}
}

// Guards against processes that start at the same time, as in a rollout, and
// use their whole bursts within the same second.
func TestSimultaneousStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startClients(t, clientCount, func(c *Client) { c.StartJitter = time.Second })
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		f.run(ctx, &group)
		time.Sleep(recoveryDuration)
		counts := f.server.Counts()
		cancel()
		group.Wait()
		f.checkRates(t, counts)
		f.close(t)
	})
}

// BenchmarkReturnAfterOutage reports the highest number of calls within a second
// after an outage for several numbers of processes. The rate limits are 400
// reads and 80 writes a second.
func BenchmarkReturnAfterOutage(b *testing.B) {
	for _, size := range []int{8, 32, clientCount} {
		b.Run(fmt.Sprint("processes=", size), func(b *testing.B) {
			for b.Loop() {
				f := startClients(b, size, func(*Client) {})
				counts := f.runOutage(b, fault.Refuse)
				f.close(b)
				b.ReportMetric(float64(counts.PeakReads), "peak-reads/s")
				b.ReportMetric(float64(counts.PeakWrites), "peak-writes/s")
			}
		})
	}
}
