package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	reportTick = 2 * time.Millisecond
	// sampleInterval is the time between two changes of what a server reports.
	sampleInterval = 100 * time.Millisecond
	reportServers  = 8
	reportEntries  = 6
	slowFactor     = 3
	meanWork       = 700 * time.Millisecond
	workUntilHead  = 60 * time.Millisecond
)

var reportSeeds = flag.Uint64("report.seeds", 3, "number of seeds of each replay of load reports")

type (
	// reportReplay plays requests through entries to engines that report their load in the
	// heads of their answers.
	reportReplay struct {
		// offered is the load as a share of what the pool can carry.
		offered float64
		// reports is whether the entries read the reports.
		reports bool
		// slow reports whether the machine of a server is slow.
		slow func(server int, since time.Duration) bool
		// Entries of the two halves don't hear each other while partitioned.
		partitioned func(since time.Duration) bool
		length      time.Duration

		random  *rand.Rand
		now     time.Time
		nodes   []*Placer
		servers []reportServer
		loads   []reportMessage
		result  reportResult
	}

	reportServer struct {
		// requests holds those that the server has; only the first run, one in each slot.
		requests []*reportRequest
		sampled  mulberryspool.LoadReport
	}

	reportRequest struct {
		node                int
		arrivedAt, placedAt time.Time
		// work is the time that the request takes at the usual speed, left the rest of it,
		// untilHead that until its answer begins.
		work, left, untilHead time.Duration
		headed                bool
	}

	reportMessage struct {
		from, to int
		at       time.Time
		report   PeerReport
	}

	reportResult struct {
		offered, inTime, late, refused int
	}
)

func (r *reportReplay) run(seed uint64) reportResult {
	r.random, r.now, r.servers = rand.New(rand.NewPCG(seed, 11)), start, make([]reportServer, reportServers)
	for i := range reportEntries {
		p := newPlacer(reportServers)
		p.Config.EntryName = fmt.Sprintf("e-%d", i)
		p.Random = rand.New(rand.NewPCG(seed, uint64(i)))
		r.nodes = append(r.nodes, p)
	}
	rate := r.offered * reportServers * float64(enginePool().Engine.Slots) / meanWork.Seconds()
	arrivals := make(map[int]map[Ticket]*reportRequest)
	for i := range r.nodes {
		arrivals[i] = make(map[Ticket]*reportRequest)
	}
	for tick := 0; r.now.Sub(start) < r.length; tick++ {
		r.now = r.now.Add(reportTick)
		r.serve()
		r.exchange(tick)
		for expected := rate * reportTick.Seconds(); expected > 0; expected-- {
			if r.random.Float64() >= expected {
				continue
			}
			i := r.random.IntN(reportEntries)
			work := time.Duration((0.4 + 1.2*r.random.Float64()) * float64(meanWork))
			q := &reportRequest{node: i, arrivedAt: r.now, work: work, left: work, untilHead: workUntilHead}
			r.result.offered++
			d := r.nodes[i].Offer(request(r.now), r.now)
			arrivals[i][d.Ticket] = q
			r.decide(arrivals[i], d)
		}
		for i, p := range r.nodes {
			for _, d := range p.DecideWaiting(r.now) {
				r.decide(arrivals[i], d)
			}
		}
	}
	return r.result
}

func (r *reportReplay) decide(arrivals map[Ticket]*reportRequest, d Decision) {
	q := arrivals[d.Ticket]
	switch d.Verdict {
	case Waiting:
		return
	case Refused:
		r.result.refused++
	case Placed:
		var server int
		_, _ = fmt.Sscanf(string(d.Server.Instance), "i-%d", &server)
		q.placedAt = r.now
		r.servers[server].requests = append(r.servers[server].requests, q)
	}
	delete(arrivals, d.Ticket)
}

// serve lets the running requests progress, and their answers begin and end.
func (r *reportReplay) serve() {
	for i := range r.servers {
		s, id := &r.servers[i], mulberryspool.InstanceID(fmt.Sprintf("i-%d", i))
		step, percent := reportTick, 100
		if r.slow != nil && r.slow(i, r.now.Sub(start)) {
			step, percent = reportTick/slowFactor, 100*slowFactor
		}
		slots := enginePool().Engine.Slots
		if r.now.Sub(start)%sampleInterval == 0 {
			running := min(slots, len(s.requests))
			s.sampled = mulberryspool.LoadReport{Running: running, Waiting: len(s.requests) - running, Capacity: slots, WorkPercent: percent}
		}
		var left []*reportRequest
		for j, q := range s.requests {
			node := r.nodes[q.node]
			if j < slots {
				q.left, q.untilHead = q.left-step, q.untilHead-step
			}
			if !q.headed && q.untilHead <= 0 {
				q.headed = true
				node.RecordFirstEvent(id, 900)
				if r.reports {
					node.RecordLoad(id, 1, s.sampled, r.now)
				}
				if r.now.Sub(q.arrivedAt) <= request(r.now).LatencyObjective {
					r.result.inTime++
				} else {
					r.result.late++
				}
			}
			if q.left > 0 {
				left = append(left, q)
				continue
			}
			node.RecordSlowdown(id, max(1, float64(r.now.Sub(q.placedAt))/float64(q.work)))
			node.RecordEnd(id, 900, true, Answered, r.now.Sub(q.placedAt), r.now)
		}
		s.requests = left
	}
}

// exchange lets the entries hear each other's loads.
func (r *reportReplay) exchange(tick int) {
	var left []reportMessage
	for _, m := range r.loads {
		if m.at.After(r.now) {
			left = append(left, m)
		} else {
			r.nodes[m.to].SetPeer(fmt.Sprintf("e-%d", m.from), m.report, r.now)
		}
	}
	r.loads = left
	for i, p := range r.nodes {
		if (tick+i)%8 != 0 {
			continue
		}
		p.ExpirePeers(r.now)
		loads := make(map[mulberryspool.InstanceID]Load)
		p.AddOwnLoads(loads)
		for j := range r.nodes {
			if j != i && (r.partitioned == nil || i%2 == j%2 || !r.partitioned(r.now.Sub(start))) {
				r.loads = append(r.loads, reportMessage{i, j, r.now.Add(time.Duration(2+r.random.IntN(30)) * time.Millisecond), PeerReport{FailureDomain: "a", Loads: loads, Waiting: p.Waiting()}})
			}
		}
	}
}

// Replays engines that report their load: in calm operation, in overload, with machines that
// slow down by a factor of 3, and while half of the entries don't hear the others. Guards
// against reports that make placements worse than without them, and against a partition in
// which the entries fill each server twice.
func TestReportsOfServersImprovePlacement(t *testing.T) {
	slow := func(every, length time.Duration) func(int, time.Duration) bool {
		return func(server int, since time.Duration) bool {
			return (since+time.Duration(server)*every/reportServers)%every < length
		}
	}
	partitioned := func(since time.Duration) bool { return since > 3*time.Second }
	for name, c := range map[string]struct {
		replay reportReplay
		// gain is the least gain in requests that are in time, as a share of those without
		// reports. A loss of 0.5 of 100 is allowed where an entry learns nothing by them.
		gain float64
	}{
		"calm":                     {reportReplay{offered: 0.6}, -0.005},
		"busy":                     {reportReplay{offered: 0.9}, -0.005},
		"overload":                 {reportReplay{offered: 1.5}, -0.005},
		"slow for half a second":   {reportReplay{offered: 0.7, slow: slow(3*time.Second, 500*time.Millisecond)}, -0.005},
		"slow for four seconds":    {reportReplay{offered: 0.7, slow: slow(12*time.Second, 4*time.Second)}, -0.005},
		"partitioned":              {reportReplay{offered: 0.7, partitioned: partitioned}, -0.005},
		"partitioned and overload": {reportReplay{offered: 1.2, partitioned: partitioned}, 0.05},
	} {
		var a, b reportResult
		for seed := range *reportSeeds {
			without, with := c.replay, c.replay
			without.length, with.length, with.reports = 20*time.Second, 20*time.Second, true
			a.add(without.run(seed))
			b.add(with.run(seed))
		}
		t.Logf("%s: without reports %+v, with reports %+v", name, a, b)
		if least := (1 + c.gain) * float64(a.inTime); float64(b.inTime) < least {
			t.Errorf("%s: %d of %d requests are in time with reports, want at least %.0f, as %d are without", name, b.inTime, b.offered, least, a.inTime)
		}
	}
}

func (r *reportResult) add(other reportResult) {
	r.offered, r.inTime, r.late, r.refused = r.offered+other.offered, r.inTime+other.inTime, r.late+other.late, r.refused+other.refused
}
