package placement

import "time"

// maxWait is how long a request may wait and still meet its latency objective.
// A request that will miss it anyway may wait for minWait.
func (p *Placer) maxWait(r Request, now time.Time) time.Duration {
	if r.Reattempt {
		return min(r.Deadline.Sub(now)/2, r.LatencyObjective)
	}
	left := r.ArrivedAt.Add(r.LatencyObjective).Sub(now) - p.timeToFirstEvent(r.PromptTokens) - responseMargin
	return min(max(left, minWait), r.Deadline.Sub(now)/2)
}

// timeToFirstEvent is the usual time from sending a request to its first event.
func (p *Placer) timeToFirstEvent(promptTokens int) time.Duration {
	e := p.pool.Engine
	if e == nil {
		return p.serviceTime()
	}
	return 2*p.passTime() + p.prefillTime(promptTokens)
}

// passTime is the time that a full batch takes for the tokens of one event.
func (p *Placer) passTime() time.Duration {
	e := p.pool.Engine
	return time.Duration(max(1, e.TokensPerEvent)) * (e.TokenTime + time.Duration(e.Slots)*e.TokenTimePerRequest)
}

// prefillTime is the time that an engine takes to process prompt tokens.
func (p *Placer) prefillTime(tokens int) time.Duration {
	if e := p.pool.Engine; e != nil && e.PromptTokensPerSecond > 0 {
		return time.Duration(float64(tokens) / e.PromptTokensPerSecond * float64(time.Second))
	}
	return 0
}

// serviceTime is the mean time that a request occupies a slot.
func (p *Placer) serviceTime() time.Duration {
	if p.meanServiceTime > 0 {
		return p.meanServiceTime
	}
	e := p.pool.Engine
	if e == nil {
		return initialServiceTime
	}
	passes := float64(e.MeanAnswerTokens) / float64(max(1, e.TokensPerEvent))
	// While a full batch generates one response, the engine also processes one
	// prompt for each slot.
	return time.Duration(passes*float64(p.passTime())) + time.Duration(e.Slots)*p.prefillTime(e.MeanPromptTokens)
}

// expectedWait is the time until there is capacity for one more waiting request behind
// the given number of others. It assumes that all entries get an equal share of the
// capacity, or that this one gets what it has got recently if that is more.
func (p *Placer) expectedWait(capacity poolCapacity, ahead int, now time.Time) time.Duration {
	if capacity.effective == 0 {
		return maxSlotRetryAfter
	}
	share := capacity.effective / float64(1+len(p.peers))
	rate := max(share/p.serviceTime().Seconds(), p.shedding.Rate(now))
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}
