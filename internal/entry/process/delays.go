package process

import (
	"sync"
	"time"
)

// Weights of a new measurement in the moving averages, as TCP uses them.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	// deviations is how many mean deviations above the mean are still normal.
	deviations = 6
)

type (
	// delays measures round trips per failure domain and derives the
	// suspicion timeout from them.
	delays struct {
		floor, cap time.Duration

		mu      sync.Mutex
		domains map[string]*delay
	}

	delay struct {
		mean, deviation float64
	}
)

func (d *delays) observe(domain string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	measured := float64(roundTrip)
	known := d.domains[domain]
	if known == nil {
		d.domains[domain] = &delay{mean: measured, deviation: measured / 2}
		return
	}
	off := measured - known.mean
	known.mean += meanWeight * off
	known.deviation += deviationWeight * (max(off, -off) - known.deviation)
}

// timeout returns how long a reply from the failure domain may take before
// its connection counts as silent.
func (d *delays) timeout(domain string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.domains[domain]
	if known == nil {
		return d.cap
	}
	return min(d.cap, max(d.floor, time.Duration(known.mean+deviations*known.deviation)))
}

func (d *delays) timeouts() map[string]time.Duration {
	d.mu.Lock()
	names := make([]string, 0, len(d.domains))
	for name := range d.domains {
		names = append(names, name)
	}
	d.mu.Unlock()
	timeouts := make(map[string]time.Duration, len(names))
	for _, name := range names {
		timeouts[name] = d.timeout(name)
	}
	return timeouts
}
