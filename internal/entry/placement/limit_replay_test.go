package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
)

const (
	limitTick = 5 * time.Millisecond
	// answerTime is the time from a request to its answer, which names the limit.
	answerTime = 60 * time.Millisecond
	// contactTime is the time after which a limit must be kept, and after which the
	// requests of a restarted entry count.
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
	// reportLossRate is the share of reports that are lost.
	reportLossRate = 0.02
	// minFairShare is the number of requests below which an entry may get less than a
	// quarter of its share by chance.
	minFairShare = 20
)

var limitSeeds = flag.Uint64("limit.seeds", 1, "number of seeds of each replay of rate limits")

type (
	// limitReplay plays requests through entries to servers that name a rate limit from
	// limitedFrom to limitedUntil.
	limitReplay struct {
		entries, servers          int
		limit                     float64
		requestRate               float64
		limitedFrom, limitedUntil time.Duration
		length                    time.Duration
		// Entries restart one after the other each restartInterval; 0 for never.
		restartInterval time.Duration

		random  *rand.Rand
		now     time.Time
		nodes   []*limitNode
		pending []limitAnswer
		reports []limitReport
		// sent holds the requests to each server, servedBy their number by entry while
		// there is a limit, offeredBy what the entry was offered meanwhile.
		sent                [][]limitSend
		servedBy, offeredBy []int
	}

	limitNode struct {
		Placer
		startedAt time.Time
		reported  map[mulberryspool.InstanceID]serverlimit.Report
	}

	limitSend struct {
		at      time.Time
		counted bool
	}

	limitAnswer struct {
		node                  *limitNode
		server                mulberryspool.BackendServer
		sentAt, headAt, endAt time.Time
	}

	limitReport struct {
		from, to int
		at       time.Time
		limits   []serverlimit.Report
		load     PeerReport
	}
)

func (r *limitReplay) newNode(i int) *limitNode {
	n := &limitNode{startedAt: r.now, reported: make(map[mulberryspool.InstanceID]serverlimit.Report)}
	n.Config = Config{EntryName: r.name(i), FailureDomain: "a", VersionGrace: time.Minute}
	n.Random = rand.New(rand.NewPCG(uint64(i), r.random.Uint64()))
	n.SetPool(mulberryspool.IngressPool{Name: "plain"})
	var list []mulberryspool.BackendServer
	for j := range r.servers {
		list = append(list, mulberryspool.BackendServer{Instance: mulberryspool.InstanceID(fmt.Sprint(j)), Born: 1, Slots: 8, FailureDomain: "a"})
	}
	n.SetServers(list)
	return n
}

func (r *limitReplay) name(i int) string { return fmt.Sprintf("e-%02d", i) }

func (r *limitReplay) limited(at time.Time) bool {
	since := at.Sub(start)
	return since >= r.limitedFrom && since < r.limitedUntil
}

// mustKeepLimit reports whether the limit has been named for contactTime.
func (r *limitReplay) mustKeepLimit() bool {
	return r.limited(r.now) && r.now.Sub(start) >= r.limitedFrom+contactTime
}

func (r *limitReplay) run(seed uint64) {
	r.random, r.now = rand.New(rand.NewPCG(seed, 2)), start
	r.sent, r.servedBy, r.offeredBy = make([][]limitSend, r.servers), make([]int, r.entries), make([]int, r.entries)
	for i := range r.entries {
		r.nodes = append(r.nodes, r.newNode(i))
	}
	for tick, restarted := 0, 0; r.now.Sub(start) < r.length; tick++ {
		r.now = r.now.Add(limitTick)
		if due := time.Duration(restarted+1) * r.restartInterval; due > 0 && r.now.Sub(start) >= due {
			r.nodes[restarted%r.entries] = r.newNode(restarted % r.entries)
			restarted++
		}
		r.answer()
		r.exchange(tick)
		for expected := r.requestRate * limitTick.Seconds(); expected > 0; expected-- {
			if r.random.Float64() < expected {
				i := r.random.IntN(r.entries)
				if r.mustKeepLimit() {
					r.offeredBy[i]++
				}
				r.decide(i, r.nodes[i].Offer(Request{LatencyObjective: 300 * time.Millisecond, ArrivedAt: r.now, Deadline: r.now.Add(3 * time.Second)}, r.now))
			}
		}
		for i, n := range r.nodes {
			for _, d := range n.DecideWaiting(r.now) {
				r.decide(i, d)
			}
		}
	}
}

func (r *limitReplay) decide(i int, d Decision) {
	if d.Verdict != Placed {
		return
	}
	n := r.nodes[i]
	var server int
	_, _ = fmt.Sscan(string(d.Server.Instance), &server)
	r.sent[server] = append(r.sent[server], limitSend{at: r.now, counted: r.now.Sub(n.startedAt) >= contactTime || n.startedAt.Equal(start)})
	if r.mustKeepLimit() {
		r.servedBy[i]++
	}
	r.pending = append(r.pending, limitAnswer{node: n, server: d.Server, sentAt: r.now, headAt: r.now.Add(answerTime), endAt: r.now.Add(2 * answerTime)})
}

// answer lets the answers arrive that are due.
func (r *limitReplay) answer() {
	var left []limitAnswer
	for _, a := range r.pending {
		if !a.headAt.IsZero() && !a.headAt.After(r.now) {
			a.headAt = time.Time{}
			var rate *float64
			if r.limited(r.now) {
				rate = &r.limit
			}
			a.node.RecordLimit(a.server.Instance, a.server.Born, rate, a.sentAt, r.now)
		}
		if a.endAt.After(r.now) {
			left = append(left, a)
			continue
		}
		a.node.RecordEnd(a.server.Instance, 0, false, Answered, 2*answerTime, r.now)
	}
	r.pending = left
}

// exchange reports changes soon and everything from time to time.
func (r *limitReplay) exchange(tick int) {
	var left []limitReport
	for _, m := range r.reports {
		if m.at.After(r.now) {
			left = append(left, m)
			continue
		}
		n := r.nodes[m.to]
		n.SetPeer(r.name(m.from), m.load, r.now)
		n.MergeLimits(r.name(m.from), m.limits, r.now)
	}
	r.reports = left
	for i, n := range r.nodes {
		full := (tick+i*7)%(int(500*time.Millisecond/limitTick)) == 0
		if !full && (tick+i)%5 != 0 {
			continue
		}
		n.ExpirePeers(r.now)
		var limits []serverlimit.Report
		for _, l := range n.AddLimits(nil, r.now) {
			if full || n.reported[l.Instance] != l.Content() {
				limits = append(limits, l)
				n.reported[l.Instance] = l.Content()
			}
		}
		loads := make(map[mulberryspool.InstanceID]Load)
		n.AddOwnLoads(loads)
		for j := range r.nodes {
			if j != i && r.random.Float64() >= reportLossRate {
				r.reports = append(r.reports, limitReport{
					from: i, to: j, at: r.now.Add(time.Duration(1+r.random.IntN(5)) * limitTick), limits: limits,
					load: PeerReport{FailureDomain: "a", Loads: loads, Waiting: n.Waiting()},
				})
			}
		}
	}
}

// most returns the largest number of counted requests to a server in limitWindow,
// and how many it got while the limit held.
func (r *limitReplay) most(server int) (most, total int) {
	from := 0
	var counted []limitSend
	for _, s := range r.sent[server] {
		if since := s.at.Sub(start); s.counted && since >= r.limitedFrom+contactTime && since < r.limitedUntil {
			counted = append(counted, s)
		}
	}
	for i, s := range counted {
		for s.at.Sub(counted[from].at) >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most, len(counted)
}

// Replays a server that names a limit to entries which all have requests waiting.
// Guards against entries that each keep a limit meant for all of them, that let it go
// unused, and that leave the only server of a pool to one of them.
func TestEntriesKeepLimitTogether(t *testing.T) {
	plain := limitReplay{entries: 8, servers: 3, limit: 4, requestRate: 60, limitedFrom: 3 * time.Second, limitedUntil: 23 * time.Second, length: 28 * time.Second}
	for name, vary := range map[string]func(r *limitReplay){
		"as it is":        func(*limitReplay) {},
		"single server":   func(r *limitReplay) { r.servers, r.limit = 1, 12 },
		"single entry":    func(r *limitReplay) { r.entries = 1 },
		"many entries":    func(r *limitReplay) { r.entries, r.requestRate, r.limit = 24, 150, 12 },
		"small limit":     func(r *limitReplay) { r.limit = 0.7 },
		"large limit":     func(r *limitReplay) { r.limit, r.requestRate = 40, 250 },
		"few requests":    func(r *limitReplay) { r.requestRate = 8 },
		"entries restart": func(r *limitReplay) { r.restartInterval = 1500 * time.Millisecond },
	} {
		for seed := range *limitSeeds {
			r := plain
			vary(&r)
			r.run(seed)
			usable := (r.limitedUntil - r.limitedFrom - contactTime).Seconds() * r.limit
			if all := (r.limitedUntil - r.limitedFrom - contactTime).Seconds() * r.requestRate / float64(r.servers); all < usable {
				usable = all
			}
			allowed := int(1.5*limitWindow.Seconds()*r.limit + 5)
			for server := range r.servers {
				most, total := r.most(server)
				t.Logf("%s, seed %d, server %d: at most %d of %d allowed, used %.2f, by entry %v", name, seed, server, most, allowed, float64(total)/usable, r.servedBy)
				if most > allowed {
					t.Errorf("%s, seed %d: server %d got %d requests in %s, want at most %d", name, seed, server, most, limitWindow, allowed)
				}
				if float64(total) < 0.7*usable && r.restartInterval == 0 {
					t.Errorf("%s, seed %d: server %d got %d of %.0f requests", name, seed, server, total, usable)
				}
			}
			served, offered := 0, 0
			for i := range r.entries {
				served, offered = served+r.servedBy[i], offered+r.offeredBy[i]
			}
			for i, n := range r.servedBy {
				fair := float64(r.offeredBy[i]) * float64(served) / float64(offered)
				if fair >= minFairShare && float64(n) < fair/4 {
					t.Errorf("%s, seed %d: %s sent %d of %d requests, a fair share is %.0f", name, seed, r.name(i), n, r.offeredBy[i], fair)
				}
			}
		}
	}
}
