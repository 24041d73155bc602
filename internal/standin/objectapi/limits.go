package objectapi

import (
	"maps"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

// peakWindow is the sliding time window in which the calls of a peak are counted.
const peakWindow = time.Second

type (
	// limits holds one rate limiter for reads and one for writes. Each waiting
	// watch reduces the rate of reads by one per second.
	limits struct {
		mu             sync.Mutex
		readsPerSecond float64
		reads, writes  *rate.Limiter
		watches        int
	}

	// Counts are the calls that arrived, including failed and throttled ones.
	Counts struct {
		// Calls and Throttled are keyed by operation, then by the X-Caller header.
		Calls     map[string]map[string]int `json:"calls"`
		Throttled map[string]map[string]int `json:"throttled"`
		// Watches is the number of waiting watches, PeakWatches its maximum.
		Watches     int `json:"watches"`
		PeakWatches int `json:"peakWatches"`
		// PeakReads and PeakWrites are the largest numbers of calls that arrived
		// within any second. Watches that waited at that time count as reads.
		PeakReads  int `json:"peakReads"`
		PeakWrites int `json:"peakWrites"`
	}

	// counter maintains Counts. reads and writes hold the arrival times of the
	// calls in the last peakWindow.
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
	l.reads = rate.NewLimiter(rate.Limit(l.readsPerSecond), burstOrDefault(s.ReadBurst, l.readsPerSecond))
	l.writes = rate.NewLimiter(rate.Limit(writes), burstOrDefault(s.WriteBurst, writes))
}

// burstOrDefault returns the configured burst, or a tenth of the rate if it is 0.
func burstOrDefault(burst int, perSecond float64) int {
	if burst > 0 {
		return burst
	}
	return max(1, int(math.Ceil(perSecond/10)))
}

// allow takes a token for one call, and returns false if there is none.
func (l *limits) allow(isWrite bool, now time.Time) bool {
	if isWrite {
		return l.writes.AllowN(now, 1)
	}
	return l.reads.AllowN(now, 1)
}

// beginWatch adds a waiting watch. It returns false if the waiting watches use up
// the whole rate of reads.
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

// Total returns the number of calls of an operation, summed over all callers.
func (c Counts) Total(operation string) int {
	total := 0
	for _, n := range c.Calls[operation] {
		total += n
	}
	return total
}

// reset sets all counts to 0, except that the waiting watches stay counted.
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

func (c *counter) recordCall(operation, caller string, isWrite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(c.counts.Calls, operation, caller)
	now := c.clock.Now()
	if isWrite {
		c.writes = dropExpired(append(c.writes, now), now)
		c.counts.PeakWrites = max(c.counts.PeakWrites, len(c.writes))
		return
	}
	c.reads = dropExpired(append(c.reads, now), now)
	c.counts.PeakReads = max(c.counts.PeakReads, len(c.reads)+c.counts.Watches)
}

func (c *counter) recordThrottled(operation, caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	increment(c.counts.Throttled, operation, caller)
}

func (c *counter) addWatches(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Watches += change
	c.counts.PeakWatches = max(c.counts.PeakWatches, c.counts.Watches)
}

func (c *counter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	clone := c.counts
	clone.Calls = cloneNested(c.counts.Calls)
	clone.Throttled = cloneNested(c.counts.Throttled)
	return clone
}

func increment(counts map[string]map[string]int, operation, caller string) {
	if counts[operation] == nil {
		counts[operation] = make(map[string]int)
	}
	counts[operation][caller]++
}

// dropExpired removes the times that are no longer in the last peakWindow.
func dropExpired(times []time.Time, now time.Time) []time.Time {
	first := 0
	for first < len(times) && now.Sub(times[first]) >= peakWindow {
		first++
	}
	return times[first:]
}

func cloneNested(counts map[string]map[string]int) map[string]map[string]int {
	clone := make(map[string]map[string]int, len(counts))
	for operation, byCaller := range counts {
		clone[operation] = maps.Clone(byCaller)
	}
	return clone
}
