package objectapi

import (
	"maps"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

// window is the time over which peaks are counted.
const window = time.Second

type (
	// limits holds one rate for reads and one for writes. Each watch that
	// waits takes one read a second from the rate of reads.
	limits struct {
		mu             sync.Mutex
		readsPerSecond float64
		reads, writes  *rate.Limiter
		watches        int
	}

	// Counts are the calls that arrived, whatever became of them.
	Counts struct {
		// Calls and Throttled are by operation, then by the X-Caller header.
		Calls     map[string]map[string]int `json:"calls"`
		Throttled map[string]map[string]int `json:"throttled"`
		// Watches is how many watches wait now, PeakWatches how many did at most.
		Watches     int `json:"watches"`
		PeakWatches int `json:"peakWatches"`
		// PeakReads and PeakWrites are the most calls that arrived within any
		// second. Watches that waited at that time count as reads.
		PeakReads  int `json:"peakReads"`
		PeakWrites int `json:"peakWrites"`
	}

	counter struct {
		clock         mulberryspool.Clock
		mu            sync.Mutex
		counts        Counts
		reads, writes []time.Time
	}
)

func (l *limits) init(s *Server) {
	l.readsPerSecond = s.ReadsPerSecond
	if l.readsPerSecond <= 0 {
		l.readsPerSecond = DefaultReadsPerSecond
	}
	writes := s.WritesPerSecond
	if writes <= 0 {
		writes = DefaultWritesPerSecond
	}
	l.reads = rate.NewLimiter(rate.Limit(l.readsPerSecond), burstOf(s.ReadBurst, l.readsPerSecond))
	l.writes = rate.NewLimiter(rate.Limit(writes), burstOf(s.WriteBurst, writes))
}

func burstOf(burst int, perSecond float64) int {
	if burst > 0 {
		return burst
	}
	return max(1, int(math.Ceil(perSecond/10)))
}

func (l *limits) allow(writing bool, now time.Time) bool {
	if writing {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}

// beginWatch returns false if the watches that wait use up the whole rate.
func (l *limits) beginWatch(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(l.watches+1) > l.readsPerSecond {
		return false
	}
	l.watches++
	l.reads.SetLimitAt(now, rate.Limit(l.readsPerSecond-float64(l.watches)))
	return true
}

func (l *limits) endWatch(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watches--
	l.reads.SetLimitAt(now, rate.Limit(l.readsPerSecond-float64(l.watches)))
}

// Total returns the calls of an operation by all callers.
func (c Counts) Total(operation string) int {
	total := 0
	for _, n := range c.Calls[operation] {
		total += n
	}
	return total
}

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Counts{
		Calls:       make(map[string]map[string]int),
		Throttled:   make(map[string]map[string]int),
		Watches:     c.counts.Watches,
		PeakWatches: c.counts.Watches,
	}
	c.reads, c.writes = nil, nil
}

func (c *counter) arrived(operation, caller string, writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(c.counts.Calls, operation, caller)
	now := c.clock.Now()
	if writing {
		c.writes = keepWindow(append(c.writes, now), now)
		c.counts.PeakWrites = max(c.counts.PeakWrites, len(c.writes))
		return
	}
	c.reads = keepWindow(append(c.reads, now), now)
	c.counts.PeakReads = max(c.counts.PeakReads, len(c.reads)+c.counts.Watches)
}

func (c *counter) throttle(operation, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(c.counts.Throttled, operation, caller)
}

func (c *counter) watching(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Watches += change
	c.counts.PeakWatches = max(c.counts.PeakWatches, c.counts.Watches)
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := c.counts
	copied.Calls = cloneCounts(c.counts.Calls)
	copied.Throttled = cloneCounts(c.counts.Throttled)
	return copied
}

func increment(counts map[string]map[string]int, operation, caller string) {
	if counts[operation] == nil {
		counts[operation] = make(map[string]int)
	}
	counts[operation][caller]++
}

func keepWindow(times []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) >= window {
		first++
	}
	return times[first:]
}

func cloneCounts(counts map[string]map[string]int) map[string]map[string]int {
	copied := make(map[string]map[string]int, len(counts))
	for operation, byCaller := range counts {
		copied[operation] = maps.Clone(byCaller)
	}
	return copied
}
