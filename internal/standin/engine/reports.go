package engine

import (
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// reports keeps the recent history of the load, so that a report can show
	// the load of the past.
	reports struct {
		clock    mulberryspool.Clock
		lag      time.Duration
		capacity int

		mu      sync.Mutex
		history []loadSample
		// currentSecond is the latest second that was counted, since the Unix
		// epoch. currentTokens were generated in it, and previousTokens in the
		// second before.
		currentSecond                 int64
		currentTokens, previousTokens int
	}

	// loadSample is the load from a point in time on.
	loadSample struct {
		time                           time.Time
		running, waiting, queuedTokens int
	}
)

func (p *reports) init(s *Server) {
	p.clock, p.lag, p.capacity = s.Clock, s.ReportLag, orDefault(s.Capacity, DefaultCapacity)
	p.history = []loadSample{{time: p.clock.Now()}}
}

// record adds a sample of the load to the history.
func (p *reports) record(running, waiting, queuedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.history = append(p.history, loadSample{time: now, running: running, waiting: waiting, queuedTokens: queuedTokens})
	p.trim(now)
}

// trim removes all samples that precede the newest one that is at least as old as
// the lag. The caller must hold p.mu.
func (p *reports) trim(now time.Time) {
	reportTime := now.Add(-p.lag)
	first := 0
	for first+1 < len(p.history) && !p.history[first+1].time.After(reportTime) {
		first++
	}
	p.history = p.history[first:]
}

// countToken counts one generated token.
func (p *reports) countToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(p.clock.Now().Unix())
	p.currentTokens++
}

// advance makes the counters of tokens those of a second. The caller must hold
// p.mu.
func (p *reports) advance(second int64) {
	switch {
	case second == p.currentSecond+1:
		p.previousTokens, p.currentTokens = p.currentTokens, 0
	case second > p.currentSecond:
		p.previousTokens, p.currentTokens = 0, 0
	}
	p.currentSecond = max(p.currentSecond, second)
}

// delayedReport returns the load as it was one lag before now. The rate of tokens
// is that of the last full second and does not lag.
func (p *reports) delayedReport(now time.Time) mulberryspool.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(now)
	p.advance(now.Unix())
	load := p.history[0]
	return mulberryspool.LoadReport{
		Running:         load.running,
		Waiting:         load.waiting,
		QueuedTokens:    load.queuedTokens,
		Capacity:        p.capacity,
		TokensPerSecond: float64(p.previousTokens),
		Age:             p.lag,
	}
}
