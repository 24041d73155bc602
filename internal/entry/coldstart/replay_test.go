package coldstart

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	replayTick = 5 * time.Millisecond
	// announceInterval is the time between two heartbeats of an entry.
	announceInterval = 500 * time.Millisecond
	// maxOpenTime is how long it takes at most to open a connection, in half of the cases.
	maxOpenTime = 1500 * time.Millisecond
	// maxWriteTime is how long a request takes at most from the check to its arrival.
	maxWriteTime = 100 * time.Millisecond
)

var (
	replaySeeds = flag.Uint64("coldstart.seeds", 1, "number of seeds of each replay of cold servers")
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

type (
	// replay plays entries that all have requests waiting, and servers that are cold all the
	// time. The last entries of joining start with new addresses during the play, at a tenth
	// of it.
	replay struct {
		entries, joining, servers, domains int
		rate, overshoot, slack             float64
		length                             time.Duration
		// Entries restart one after the other each restartInterval; 0 for never. The store
		// doesn't answer them while there is a partition.
		restartInterval time.Duration
		// Failure domains don't hear each other from partitionedFrom to partitionedUntil.
		partitionedFrom, partitionedUntil time.Duration

		random *rand.Rand
		now    time.Time
		nodes  []*node
		sends  []pendingWrite
		// arrived holds the times of the requests to each server.
		arrived [][]time.Time
	}

	node struct {
		address netip.AddrPort
		domain  string
		entries *Entries
		servers *Servers
	}

	pendingWrite struct {
		node   *node
		server int
		at     time.Time
	}
)

func (r *replay) addNode(i int) *node {
	n := &node{address: address(i), domain: domainOf(i % r.domains)}
	n.entries = &Entries{Self: n.address, FailureDomain: n.domain, StartedAt: r.now}
	n.servers = &Servers{Entries: n.entries}
	n.servers.SetPool(mulberryspool.IngressPool{ColdRate: r.rate, ColdTime: 3 * time.Second}, r.overshoot, r.slack)
	var list []mulberryspool.BackendServer
	for j := range r.servers {
		list = append(list, mulberryspool.BackendServer{Instance: serverID(j), Born: 1, FailureDomain: domainOf(j % r.domains), Revision: 1, ColdFor: time.Hour})
	}
	n.servers.SetList(list, r.now)
	if !r.partitioned() {
		for _, other := range r.nodes {
			n.entries.Learned(other.address, r.now)
		}
		n.entries.SetListed()
	}
	return n
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func domainOf(i int) string { return fmt.Sprintf("z-%d", i) }

func serverID(i int) mulberryspool.InstanceID {
	return mulberryspool.InstanceID(fmt.Sprintf("i-%d", i))
}

func (r *replay) partitioned() bool {
	since := r.now.Sub(start)
	return since >= r.partitionedFrom && since < r.partitionedUntil
}

func (r *replay) run(seed uint64) {
	r.random, r.now, r.arrived = rand.New(rand.NewPCG(seed, 3)), start, make([][]time.Time, r.servers)
	for i := range r.entries {
		r.nodes = append(r.nodes, r.addNode(i))
	}
	for tick, restarted, joined := 0, 0, 0; r.now.Sub(start) < r.length; tick++ {
		r.now = r.now.Add(replayTick)
		if due := time.Duration(restarted+1) * r.restartInterval; due > 0 && r.now.Sub(start) >= due {
			i := restarted % r.entries
			r.nodes[i] = r.addNode(i)
			restarted++
		}
		if joined < r.joining && r.now.Sub(start) >= r.length/10 {
			r.nodes = append(r.nodes, r.addNode(r.entries+joined))
			joined++
		}
		r.exchange(tick)
		r.write()
		for _, n := range r.nodes {
			for j := range r.servers {
				if s := n.servers.Server(serverID(j), 1); !s.AvailableAt(r.now).After(r.now) {
					s.Reserve(r.now)
					r.sends = append(r.sends, pendingWrite{n, j, r.now.Add(r.openTime())})
				}
			}
		}
	}
}

func (r *replay) openTime() time.Duration {
	if r.random.Float64() < 0.5 {
		return 0
	}
	return time.Duration(r.random.Int64N(int64(maxOpenTime)))
}

// exchange lets entries hear each other, with the entries that they know but don't hear.
func (r *replay) exchange(tick int) {
	for i, n := range r.nodes {
		if (tick+i*7)%int(announceInterval/replayTick) != 0 {
			continue
		}
		for _, other := range r.nodes {
			if other == n || r.partitioned() && other.domain != n.domain {
				continue
			}
			other.entries.Heard(n.address, n.domain, r.now)
			for _, a := range n.entries.Addresses(r.now) {
				other.entries.Learned(a, r.now)
			}
		}
	}
}

// write writes the requests whose connections are open.
func (r *replay) write() {
	r.sends = slices.DeleteFunc(r.sends, func(w pendingWrite) bool {
		if w.at.After(r.now) {
			return false
		}
		if w.node.servers.Server(serverID(w.server), 1).Write(r.now) {
			r.arrived[w.server] = append(r.arrived[w.server], r.now.Add(time.Duration(r.random.Int64N(int64(maxWriteTime)))))
		}
		return true
	})
}

// most returns the largest number of requests that a server got in a second.
func (r *replay) most(server int) int {
	slices.SortFunc(r.arrived[server], time.Time.Compare)
	most, from := 0, 0
	for i, at := range r.arrived[server] {
		for at.Sub(r.arrived[server][from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Replays cold servers that all entries want to send requests to. Guards against entries
// that each use a limit meant for all of them: while they are partitioned from each other,
// restart, join or open connections slowly; and against a limit that is hardly used.
func TestColdServersGetNoMoreThanBound(t *testing.T) {
	plain := replay{entries: 22, servers: 3, domains: 3, rate: 28, overshoot: 1.5, slack: 5, length: 20 * time.Second}
	for name, vary := range map[string]func(r *replay){
		"as it is":               func(*replay) {},
		"single entry":           func(r *replay) { r.entries = 1 },
		"few entries":            func(r *replay) { r.entries = 3 },
		"more entries than rate": func(r *replay) { r.entries = 45 },
		"rate below one":         func(r *replay) { r.rate, r.overshoot, r.slack = 0.5, 1, 1 },
		"no margin":              func(r *replay) { r.overshoot, r.slack = 1, 0 },
		"partition":              func(r *replay) { r.partitionedFrom, r.partitionedUntil = 5*time.Second, 15*time.Second },
		"long partition": func(r *replay) {
			r.length, r.partitionedFrom, r.partitionedUntil = 40*time.Second, 5*time.Second, 35*time.Second
		},
		"entries restart": func(r *replay) { r.restartInterval = 800 * time.Millisecond },
		"entries join":    func(r *replay) { r.joining = 8 },
		"restarts in a partition": func(r *replay) {
			r.restartInterval, r.partitionedFrom, r.partitionedUntil = 800*time.Millisecond, 3*time.Second, 15*time.Second
		},
		"entries join a partition": func(r *replay) { r.joining, r.partitionedFrom, r.partitionedUntil = 6, time.Second, 15*time.Second },
	} {
		for seed := range *replaySeeds {
			r := plain
			vary(&r)
			r.run(seed)
			bound := int(r.rate*r.overshoot + r.slack)
			for server := range r.servers {
				most, perSecond := r.most(server), float64(len(r.arrived[server]))/r.length.Seconds()
				t.Logf("%s, seed %d, server %d: at most %d of %d, %.1f per second", name, seed, server, most, bound, perSecond)
				if most > bound {
					t.Errorf("%s, seed %d: server %d got %d requests in a second, want at most %d", name, seed, server, most, bound)
				}
				if r.restartInterval == 0 && perSecond < 0.5*max(1, r.rate) {
					t.Errorf("%s, seed %d: server %d got %.1f requests per second, want at least half of %.1f", name, seed, server, perSecond, r.rate)
				}
			}
		}
	}
}
