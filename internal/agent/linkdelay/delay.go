// Package linkdelay estimates how long data takes to reach an agent's machine whose link is full.
//
//	fetches of chunks --> Begin, end --> Delay --> At
//
// Chunks that other agents send queue up on a link that is narrower than usual, and requests to
// the model server beside the agent wait behind them. Opening a connection does not show that,
// because its packets carry no data.
package linkdelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// minDelay is the shortest delay that is reported. Fetches usually take less.
	minDelay = 300 * time.Millisecond
	// window is how long a fetch that has ended counts.
	window = time.Second
)

type (
	// Delay holds the recent fetches from other agents. It is safe for concurrent use.
	Delay struct {
		mu sync.Mutex
		// running holds when each running fetch began.
		running map[uint64]time.Time
		last    uint64
		ended   []fetch
	}

	// fetch is a fetch that ended at a time.
	fetch struct {
		at   time.Time
		took time.Duration
	}
)

// Begin records that a fetch begins. The returned function records its end and whether all data
// has arrived.
func (d *Delay) Begin(now time.Time) (end func(now time.Time, arrived bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = make(map[uint64]time.Time)
	}
	d.last++
	id := d.last
	d.running[id] = now
	return func(endedAt time.Time, arrived bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running, id)
		if took := endedAt.Sub(now); arrived && took >= minDelay {
			d.ended = append(d.ended, fetch{at: endedAt, took: took})
		}
	}
}

// At returns how long data is expected to take to arrive, 0 if not unusually long. Only one long
// fetch does not count, because a slow sender would explain it. One that is still running is
// expected to take as long again.
func (d *Delay) At(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = slices.DeleteFunc(d.ended, func(f fetch) bool { return now.Sub(f.at) >= window })
	var longest, second time.Duration
	count := func(took time.Duration) {
		longest, second = max(longest, took), max(second, min(longest, took))
	}
	for _, f := range d.ended {
		count(f.took)
	}
	for _, began := range d.running {
		if elapsed := now.Sub(began); elapsed >= minDelay {
			count(2 * elapsed)
		}
	}
	return second
}
