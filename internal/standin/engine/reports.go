package engine

import (
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// reports keeps the load of the recent past, so that a report can lag.
	reports struct {
		clock    mulberryspool.Clock
		lag      time.Duration
		capacity int

		mu      sync.Mutex
		history []datedLoad
		// second is the current second since the Unix epoch; tokens were
		// generated in it, and previous ones in the second before.
		second           int64
		tokens, previous int
	}

	datedLoad struct {
		at                             time.Time
		running, waiting, queuedTokens int
	}
)

func (p *reports) init(s *Server) {
	p.clock, p.lag, p.capacity = s.Clock, s.ReportLag, orDefault(s.Capacity, DefaultCapacity)
	p.history = []datedLoad{{at: p.clock.Now()}}
}

// note keeps the newest load that is older than the lag, and all later ones.
func (p *reports) note(running, waiting, queuedTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.history = append(p.history, datedLoad{at: now, running: running, waiting: waiting, queuedTokens: queuedTokens})
	p.trim(now)
}

// trim needs the lock.
func (p *reports) trim(now time.Time) {
	limit := now.Add(-p.lag)
	first := 0
	for first+1 < len(p.history) && !p.history[first+1].at.After(limit) {
		first++
	}
	p.history = p.history[first:]
}

func (p *reports) generated() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(p.clock.Now().Unix())
	p.tokens++
}

// advance needs the lock.
func (p *reports) advance(second int64) {
	switch {
	case second == p.second+1:
		p.previous, p.tokens = p.tokens, 0
	case second > p.second:
		p.previous, p.tokens = 0, 0
	}
	p.second = max(p.second, second)
}

func (p *reports) lagged(now time.Time) mulberryspool.LoadReport {
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
		TokensPerSecond: float64(p.previous),
		Age:             p.lag,
	}
}
