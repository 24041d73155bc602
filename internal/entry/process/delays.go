package process

import (
	"sync"
	"time"
)

// Gains of a new sample in the moving averages; the values are those of TCP's
// retransmission timer (RFC 6298).
const (
	meanGain      = 0.125
	deviationGain = 0.25
	// deviationFactor is the number of mean deviations above the mean that a
	// round trip may take before its connection is suspected.
	deviationFactor = 6
)

type (
	// delayEstimator estimates the round-trip time to each failure domain and
	// derives the suspicion timeout from it.
	delayEstimator struct {
		minTimeout, maxTimeout time.Duration

		mu      sync.Mutex
		domains map[string]*delayEstimate
	}

	// delayEstimate holds moving averages in nanoseconds.
	delayEstimate struct {
		mean, deviation float64
	}
)

func (d *delayEstimator) observe(domain string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := float64(roundTrip)
	estimate := d.domains[domain]
	if estimate == nil {
		d.domains[domain] = &delayEstimate{mean: sample, deviation: sample / 2}
		return
	}
	difference := sample - estimate.mean
	estimate.mean += meanGain * difference
	estimate.deviation += deviationGain * (max(difference, -difference) - estimate.deviation)
}

// timeout returns the suspicion timeout: how long a reply from the failure
// domain may take before its connection counts as silent. Without any sample
// it is maxTimeout.
func (d *delayEstimator) timeout(domain string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.domains[domain]
	if estimate == nil {
		return d.maxTimeout
	}
	return min(d.maxTimeout, max(d.minTimeout, time.Duration(estimate.mean+deviationFactor*estimate.deviation)))
}

func (d *delayEstimator) timeouts() map[string]time.Duration {
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
