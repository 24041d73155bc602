package quarantine

import (
	"maps"
	"slices"
	"time"
)

// recount counts the crashes of each part. A crash is explained by a part that would
// be rejected and that more speaks against than against the other parts in it.
func (q *Quarantine) recount() {
	present := make(map[Server][]*suspect)
	first := q.firstReports()
	for _, s := range q.suspects {
		for i := range s.crashes {
			s.crashes[i].incidental = s.isIncidental(s.crashes[i], first)
		}
		s.allCrashes, _ = countCrashes(s.crashes, crash.counts)
		for _, c := range s.crashes {
			if c.counts() {
				present[c.server] = append(present[c.server], s)
			}
		}
	}
	for _, s := range q.suspects {
		s.crashCount, s.lastCrash = countCrashes(s.crashes, func(c crash) bool { return c.counts() && !s.isExplained(present[c.server]) })
	}
	for _, s := range q.suspects {
		s.ambiguous = s.isAmbiguous(present)
	}
}

// firstReports returns the earliest report of each server's crash, in the order of
// time.
func (q *Quarantine) firstReports() []crash {
	byServer := make(map[Server]crash)
	for _, s := range q.suspects {
		for _, c := range s.crashes {
			if known, ok := byServer[c.server]; !ok || c.at.Before(known.at) {
				byServer[c.server] = c
			}
		}
	}
	return slices.SortedFunc(maps.Values(byServer), func(a, b crash) int { return a.at.Compare(b.at) })
}

// add adds a crash and reports true, unless the crash of the server is known. Of
// two reports of a crash the earlier time counts, since a report can only be late.
func (s *suspect) add(c crash) bool {
	i := slices.IndexFunc(s.crashes, func(known crash) bool { return known.server == c.server })
	isNew := i < 0
	if isNew {
		s.crashes = append(s.crashes, c)
		if !c.refuted {
			s.trial = trial{}
		}
	} else {
		known := &s.crashes[i]
		known.refuted = known.refuted || c.refuted
		if c.at.Before(known.at) {
			known.at = c.at
		}
	}
	slices.SortStableFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	if len(s.crashes) > maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, len(s.crashes)-maxCrashes)
	}
	return isNew
}

// refute marks all crashes as refuted and reports whether any was not.
func (s *suspect) refute() bool {
	changed := false
	for i := range s.crashes {
		changed = changed || !s.crashes[i].refuted
		s.crashes[i].refuted = true
	}
	s.proven, s.trial = true, trial{}
	return changed
}

// isIncidental reports whether other servers without the part crashed together with
// that of the crash.
func (s *suspect) isIncidental(c crash, firstReports []crash) bool {
	from, _ := slices.BinarySearchFunc(firstReports, c.at.Add(1-crashInterval), func(c crash, at time.Time) int { return c.at.Compare(at) })
	together, with := 0, 0
	for _, other := range firstReports[from:] {
		if other.at.Sub(c.at) >= crashInterval {
			break
		}
		together++
		if slices.ContainsFunc(s.crashes, func(c crash) bool { return c.server == other.server }) {
			with++
		}
	}
	return float64(with) < crashShare*float64(together)
}

// isExplained reports whether one of the parts that were present in a crash explains
// it rather than this one.
func (s *suspect) isExplained(present []*suspect) bool {
	return slices.ContainsFunc(present, func(other *suspect) bool {
		if other.allCrashes < other.allowance()+rejectCrashes {
			return false
		}
		if other.proven != s.proven {
			return s.proven
		}
		return other.allCrashes > s.allCrashes
	})
}

// isAmbiguous reports whether another part, against which at least as much speaks,
// was present in all crashes of this one that count.
func (s *suspect) isAmbiguous(present map[Server][]*suspect) bool {
	var others []*suspect
	for _, c := range s.crashes {
		if !c.counts() || s.isExplained(present[c.server]) {
			continue
		}
		if others == nil {
			others = slices.Clone(present[c.server])
		}
		others = slices.DeleteFunc(others, func(other *suspect) bool {
			return other == s || other.proven && !s.proven || !slices.Contains(present[c.server], other)
		})
		if len(others) == 0 {
			return false
		}
	}
	return len(others) > 0
}

// level returns how much speaks against the part.
func (s *suspect) level(now time.Time) Level {
	if now.Before(s.rejectedUntil()) {
		return Rejected
	}
	if s.crashCount >= s.allowance()+suspectCrashes {
		return Suspected
	}
	return Clear
}

func (s *suspect) allowance() int {
	if s.proven {
		return provenAllowance
	}
	return 0
}

func (s *suspect) rejectedUntil() time.Time { return s.lastCrash.Add(s.rejectTime()) }

// rejectTime is how long the part is rejected after the last crash; 0 if it is not.
func (s *suspect) rejectTime() time.Duration {
	excess := s.crashCount - s.allowance() - rejectCrashes
	if excess < 0 {
		return 0
	}
	return min(rejectTime<<excess, maxRejectTime)
}

// countCrashes returns the number of crashes that count, and the time of the last
// one. Those that follow another one within crashInterval are not counted.
func countCrashes(crashes []crash, counts func(crash) bool) (count int, last time.Time) {
	for _, c := range crashes {
		if counts(c) && (count == 0 || c.at.Sub(last) >= crashInterval) {
			count++
			last = c.at
		}
	}
	return count, last
}

func (c crash) counts() bool { return !c.refuted && !c.incidental }
