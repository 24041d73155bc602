package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
)

const silenceTick = 50 * time.Millisecond

// silenceReplay plays entries with streams at servers, of which some are suspended from 1 s
// on. Each stream that gets no event for 1.2 s is sent to another server.
type silenceReplay struct {
	entries []*Placer
	streams []*silenceStream
	stopped map[mulberryspool.InstanceID]bool
	// shared is whether entries report to each other what they have observed.
	shared bool
	// secondAttempts counts the second attempts, lost those of them at stopped servers,
	// and newAtStopped the new requests there from 2 s on.
	secondAttempts, lost, newAtStopped int
}

type silenceStream struct {
	entry   *Placer
	d       Decision
	sentAt  time.Time
	heardAt time.Time
	endsAt  time.Time
	second  bool
}

func (r *silenceReplay) place(p *Placer, request Request, now time.Time) {
	d := p.Offer(request, now)
	if d.Verdict != Placed {
		p.Withdraw(d.Ticket)
		return
	}
	if stopped := r.stopped[d.Server.Instance] && now.Sub(start) > time.Second; request.Reattempt {
		r.secondAttempts++
		if stopped {
			r.lost++
		}
	} else if stopped && now.Sub(start) > 2*time.Second {
		r.newAtStopped++
	}
	r.streams = append(r.streams, &silenceStream{entry: p, d: d, sentAt: now, heardAt: now, endsAt: now.Add(1500 * time.Millisecond), second: request.Reattempt})
}

func (r *silenceReplay) tick(now time.Time) {
	streams := r.streams
	r.streams = nil
	for _, s := range streams {
		stopped := r.stopped[s.d.Server.Instance] && now.Sub(start) > time.Second
		switch {
		case !stopped && now.After(s.endsAt):
			s.entry.RecordEnd(s.d.Server.Instance, 900, true, Answered, now.Sub(s.sentAt), now)
			continue
		case !stopped:
			s.heardAt = now
			s.d.Activity.Heard(now)
		case now.Sub(s.heardAt) >= 1200*time.Millisecond:
			s.entry.RecordEnd(s.d.Server.Instance, 900, true, TimedOut, now.Sub(s.sentAt), now)
			if !s.second {
				again := request(s.sentAt)
				again.Reattempt, again.Exclude = true, []mulberryspool.InstanceID{s.d.Server.Instance}
				r.place(s.entry, again, now)
			}
			continue
		}
		r.streams = append(r.streams, s)
	}
	for i, p := range r.entries {
		p.ObserveSilence(now)
		for _, b := range p.SilentToProbe(now) {
			p.RecordProbe(b, !r.stopped[b.Instance], now)
		}
		loads := make(map[mulberryspool.InstanceID]Load)
		p.AddOwnLoads(loads)
		var reports []silence.Report
		if r.shared {
			reports = p.AddSilences(nil, now)
		}
		for _, peer := range r.entries {
			if peer != p {
				peer.SetPeer(fmt.Sprint("e-", i), PeerReport{FailureDomain: "a", Loads: loads}, now)
				peer.MergeSilences(reports, 0, now)
			}
		}
	}
}

func playSilence(shared bool) *silenceReplay {
	r := &silenceReplay{shared: shared, stopped: make(map[mulberryspool.InstanceID]bool)}
	for i := range 8 {
		p := newPlacer(20)
		p.Config.EntryName, p.Random = fmt.Sprint("e-", i), rand.New(rand.NewPCG(1, uint64(i)))
		r.entries = append(r.entries, p)
	}
	for i := range 6 {
		r.stopped[mulberryspool.InstanceID(fmt.Sprint("i-", 3*i))] = true
	}
	for now, n := start, 0; now.Before(start.Add(5 * time.Second)); now = now.Add(silenceTick) {
		for range 1 + n%2 {
			r.place(r.entries[n*7%len(r.entries)], request(now), now)
			n++
		}
		r.tick(now)
	}
	return r
}

// Guards against second attempts, and new requests, at servers of which other entries know
// that they are suspended. Replays the load pattern of silence.Silence.
func TestSecondAttemptsAvoidSilentServers(t *testing.T) {
	alone, shared := playSilence(false), playSilence(true)
	t.Logf("second attempts %d, lost %d, new requests at silent servers %d; with reports %d, %d, %d",
		alone.secondAttempts, alone.lost, alone.newAtStopped, shared.secondAttempts, shared.lost, shared.newAtStopped)
	if alone.lost == 0 {
		t.Error("without reports, no second attempt is lost: the replay shows nothing")
	}
	if shared.secondAttempts == 0 || shared.lost > 0 {
		t.Errorf("%d of %d second attempts went to silent servers, want none of some", shared.lost, shared.secondAttempts)
	}
	if 4*shared.newAtStopped > alone.newAtStopped {
		t.Errorf("%d new requests went to silent servers, want at most a quarter of the %d without reports", shared.newAtStopped, alone.newAtStopped)
	}
}

// Guards against a report that waited while its receiver was suspended, and counts as new.
func TestDelayedReportOfSilenceIsOld(t *testing.T) {
	for delay, want := range map[time.Duration]int{0: 1, time.Second: 1, 5 * time.Second: 0} {
		p := newPlacer(3)
		p.MergeSilences([]silence.Report{{Instance: "i-1", Born: 1, SilentMillis: 100, HeardMillis: -1}}, delay, start)
		if got := len(p.SilenceChanges()); got != want {
			t.Errorf("report delayed by %v: %d servers are silent, want %d", delay, got, want)
		}
	}
}

// Guards against an entry that takes its own delay, or its own lost links, for the silence
// of most servers.
func TestOwnFaultIsNoSilence(t *testing.T) {
	for name, c := range map[string]struct {
		servers int
		// interval is that between two calls of ObserveSilence.
		interval time.Duration
		want     int
	}{
		"half of the servers": {servers: 4, interval: 100 * time.Millisecond, want: 2},
		"most servers":        {servers: 3, interval: 100 * time.Millisecond},
		"own delay":           {servers: 4, interval: time.Second},
	} {
		p := newPlacer(c.servers)
		var heard []*Activity
		for range c.servers {
			r := request(start)
			for _, s := range p.ordered {
				if s.ownLoad.Requests > 0 {
					r.Exclude = append(r.Exclude, s.Instance)
				}
			}
			d := p.Offer(r, start)
			if len(heard) < c.servers/2 {
				heard = append(heard, d.Activity)
			}
		}
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(c.interval) {
			for _, a := range heard {
				a.Heard(now)
			}
			p.ObserveSilence(now)
		}
		if got := len(p.SilenceChanges()); got != c.want {
			t.Errorf("%s: %d servers are silent, want %d", name, got, c.want)
		}
	}
}
