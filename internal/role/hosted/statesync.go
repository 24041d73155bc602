package hosted

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

const (
	// peerFetchDelay is how long the store may take to deliver a change that a
	// peer has already, before the peer's state is read.
	peerFetchDelay = 150 * time.Millisecond
	// remotePeerFetchDelay is the same for a peer in another failure domain. It is
	// longer because a peer in the same one usually has the change by then, and
	// traffic within a failure domain is free.
	remotePeerFetchDelay = 400 * time.Millisecond
	// peerStartTimeout is the time without a response, peerStallTimeout that without a part
	// of it, after which a read counts as stalled.
	peerStartTimeout = time.Second
	peerStallTimeout = 500 * time.Millisecond
	// peerReadTimeout limits a read.
	peerReadTimeout = 10 * time.Second
	// peerBackoff is how long a peer is not read again after a read from it has stalled or
	// failed.
	peerBackoff = 2 * time.Second
)

type (
	// stateSync updates a fleet from entries that have newer state, for the time in
	// which the store does not answer this process or answers it later than others.
	// The servers and the configuration are read separately, since a configuration may
	// take seconds and the servers are urgent.
	stateSync struct {
		fleet  *fleet.Fleet
		clock  mulberryspool.Clock
		fetch  func(context.Context, stateRead) (fleet.State, error)
		logger zerolog.Logger
		// failureDomain is that of this process.
		failureDomain string
		// minInterval is the minimum interval between two reads of a part.
		minInterval time.Duration
		// remoteConfigDelay returns how long to wait before the configuration is read
		// from another failure domain; nil for remotePeerFetchDelay.
		remoteConfigDelay func() time.Duration
		// overdueAfter returns how long after a peer has announced newer state it counts as
		// overdue, and checkOverdue is called then; nil if the store is not read instead.
		overdueAfter func() time.Duration
		checkOverdue func()

		mu sync.Mutex
		// lacked holds what this process lacked when a peer announced it first, until it has
		// that or something newer.
		lacked map[fleet.Part]lack
		// receivedAt is when a part of a response last arrived.
		receivedAt map[fleet.Part]time.Time
		// inProgress is set from the heartbeat that shows a peer with newer state until
		// minInterval after its state was read.
		inProgress map[readSlot]bool
		// lackingSince is since when a part is to be read: failed reads do not begin the
		// delay of the next one again.
		lackingSince map[readSlot]time.Time
		// failedAt is when a read from a peer last stalled or failed.
		failedAt map[netip.AddrPort]time.Time
		// stalled holds the read of each slot that has stalled last. It goes on beside
		// another one: a sound peer may be silent for a short time.
		stalled map[readSlot]*openRead
	}

	// lack is newer state of a peer.
	lack struct {
		summary fleet.Summary
		since   time.Time
	}

	// stateRead is a read of a part of a peer's state.
	stateRead struct {
		entry netip.AddrPort
		part  fleet.Part
		// progress must be called when a part of the response has arrived.
		progress func()
	}

	// openRead is a read whose response has not ended.
	openRead struct {
		slot  readSlot
		entry netip.AddrPort
		// summary is that of the state to be read.
		summary fleet.Summary
		cancel  context.CancelFunc
		ended   bool
		// superseded is set when another read has brought the state.
		superseded bool
	}

	// readSlot is used by one read at a time, and by one that has stalled.
	readSlot struct {
		part fleet.Part
		// local is set for peers in the same failure domain.
		local bool
	}
)

// handleHeartbeat merges the named versions in a heartbeat and schedules reads of the
// parts of the sender's state that are newer. It returns how long the heartbeat was
// delayed, as far as known.
func (s *stateSync) handleHeartbeat(m heartbeat.Message, from netip.AddrPort) time.Duration {
	if m.Summary == nil {
		return 0
	}
	s.fleet.ObserveEra(m.Summary.Era, m.Sender)
	delay := s.fleet.MergeNamedVersions(m.Summary.Summary, m.Sender, m.Boot)
	if m.Role != mulberryspool.RoleEntry {
		return delay
	}
	for _, part := range []fleet.Part{fleet.PartServers, fleet.PartConfig} {
		if s.fleet.Lacks(m.Summary.Summary, part) {
			s.recordLack(m.Summary.Summary, part)
			s.schedule(m, from, part)
		}
	}
	return delay
}

// recordLack records that a peer has newer state, unless something older is lacked already.
func (s *stateSync) recordLack(peer fleet.Summary, part fleet.Part) {
	if s.overdueAfter == nil {
		return
	}
	after := s.overdueAfter()
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.lacked[part]; ok && s.fleet.Lacks(l.summary, part) {
		return
	}
	if s.lacked == nil {
		s.lacked = make(map[fleet.Part]lack)
	}
	s.lacked[part] = lack{summary: peer, since: s.clock.Now()}
	s.clock.AfterFunc(after, s.checkOverdue)
}

// overdue reports whether this process lacks state that a peer announced overdueAfter ago or
// earlier, and no peer is sending it.
func (s *stateSync) overdue() bool {
	if s.overdueAfter == nil {
		return false
	}
	after := s.overdueAfter()
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, l := range s.lacked {
		switch {
		case !s.fleet.Lacks(l.summary, part):
			delete(s.lacked, part)
		case s.clock.Since(l.since) >= after && s.clock.Since(s.receivedAt[part]) >= peerStallTimeout:
			return true
		}
	}
	return false
}

func (s *stateSync) schedule(m heartbeat.Message, from netip.AddrPort, part fleet.Part) {
	slot := readSlot{part: part, local: m.FailureDomain == s.failureDomain}
	if !s.begin(slot, from) {
		return
	}
	summary := m.Summary.Summary
	done := func() {
		lacks := s.fleet.Lacks(summary, part)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inProgress, slot)
		if !lacks {
			delete(s.lackingSince, slot)
		}
	}
	s.clock.AfterFunc(s.delay(slot), func() {
		if !s.fleet.Lacks(summary, part) {
			done()
			return
		}
		release := sync.OnceFunc(func() {
			if s.minInterval == 0 {
				done()
				return
			}
			s.clock.AfterFunc(s.minInterval, done)
		})
		s.read(&openRead{slot: slot, entry: from, summary: summary}, m.Sender, release)
		release()
	})
}

// begin takes a slot. It returns false if the slot is in use, or if the last read from
// the peer has just failed.
func (s *stateSync) begin(slot readSlot, entry netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.failedAt[entry]; ok {
		if s.clock.Since(at) < peerBackoff {
			return false
		}
		delete(s.failedAt, entry)
	}
	if s.inProgress[slot] {
		return false
	}
	if s.inProgress == nil {
		s.inProgress, s.failedAt = make(map[readSlot]bool), make(map[netip.AddrPort]time.Time)
		s.lackingSince, s.stalled = make(map[readSlot]time.Time), make(map[readSlot]*openRead)
	}
	s.inProgress[slot] = true
	if s.lackingSince[slot].IsZero() {
		s.lackingSince[slot] = s.clock.Now()
	}
	return true
}

// delay returns the rest of the delay before a read.
func (s *stateSync) delay(slot readSlot) time.Duration {
	delay := remotePeerFetchDelay
	switch {
	case slot.local:
		delay = peerFetchDelay
	case slot.part == fleet.PartConfig && s.remoteConfigDelay != nil:
		delay = s.remoteConfigDelay()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, delay-s.clock.Since(s.lackingSince[slot]))
}

// read reads a part of a peer's state and merges it. If the read stalls, it calls release, so
// that another peer can be read, and goes on.
func (s *stateSync) read(r *openRead, sender string, release func()) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), s.clock, peerReadTimeout)
	defer cancel()
	r.cancel = cancel
	timer := s.clock.AfterFunc(peerStartTimeout, func() {
		s.stall(r)
		release()
	})
	state, err := s.fetch(ctx, stateRead{entry: r.entry, part: r.slot.part, progress: func() {
		timer.Reset(peerStallTimeout)
		s.resume(r)
	}})
	timer.Stop()
	if err == nil {
		s.fleet.Merge(state, sender)
	}
	s.end(r, err)
}

// stall records that a read has stalled. Of two such reads in a slot, the later one goes on.
func (s *stateSync) stall(r *openRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.ended || r.superseded || s.stalled[r.slot] == r {
		return
	}
	s.logger.Info().Str(logging.FieldStep, "read state").Str(logging.FieldPeer, r.entry.String()).Str("part", string(r.slot.part)).
		Msg("peer is silent while its state is read; the read goes on, other peers may be read")
	s.failedAt[r.entry] = s.clock.Now()
	if other := s.stalled[r.slot]; other != nil {
		other.cancel()
	}
	s.stalled[r.slot] = r
}

// resume records that a part of a response has arrived.
func (s *stateSync) resume(r *openRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedAt == nil {
		s.receivedAt = make(map[fleet.Part]time.Time)
	}
	s.receivedAt[r.slot.part] = s.clock.Now()
	if s.stalled[r.slot] == r {
		delete(s.stalled, r.slot)
	}
}

// end records the end of a read. A successful one ends the stalled ones that would bring
// nothing newer.
func (s *stateSync) end(r *openRead, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ended = true
	if s.stalled[r.slot] == r {
		delete(s.stalled, r.slot)
	}
	switch {
	case r.superseded:
	case err != nil:
		s.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Str("part", string(r.slot.part)).Msg("state of a peer could not be read")
		s.failedAt[r.entry] = s.clock.Now()
	default:
		delete(s.failedAt, r.entry)
		for slot, other := range s.stalled {
			if !s.fleet.Lacks(other.summary, slot.part) {
				other.superseded = true
				other.cancel()
				delete(s.stalled, slot)
			}
		}
		// A read that has released its slot doesn't use it any more.
		if !s.inProgress[r.slot] && !s.fleet.Lacks(r.summary, r.slot.part) {
			delete(s.lackingSince, r.slot)
		}
	}
}
