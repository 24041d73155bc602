package placement

// firstInQueue returns the index of the waiting request that precedes all
// others.
func (p *Placer) firstInQueue() int {
	first := 0
	for i, q := range p.waiting {
		if p.precedes(q.request, p.waiting[first].request) {
			first = i
		}
	}
	return first
}

// waitingAheadOf returns the number of waiting requests for the same backend servers that the
// request does not precede.
func (p *Placer) waitingAheadOf(r Request) int {
	ahead := 0
	for _, q := range p.waiting {
		if competes(r, q.request) && !p.precedes(r, q.request) {
			ahead++
		}
	}
	return ahead
}

// precedes orders waiting requests: those that were tried at another server
// first, then by priority, then new ones before retries of the caller, then by
// the time at which the first event is due.
func (p *Placer) precedes(a, b Request) bool {
	if a.Reattempt != b.Reattempt {
		return a.Reattempt
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.CallerRetry != b.CallerRetry {
		// A request that was refused before is late in any case. During a long
		// overload, each slot that it takes makes a new request late as well.
		return b.CallerRetry
	}
	return a.ArrivedAt.Add(a.LatencyObjective).Before(b.ArrivedAt.Add(b.LatencyObjective))
}
