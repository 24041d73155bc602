package placement

import (
	"net/netip"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
)

const (
	coldRate = 10
	coldTime = 3 * time.Second
)

// newColdPlacer returns a placer of one of two entries, whose servers are warm.
func newColdPlacer(servers int) (*Placer, []mulberryspool.BackendServer) {
	p := newPlacer(0)
	p.Config.Entries = &coldstart.Entries{Self: netip.MustParseAddrPort("10.0.0.1:7000"), FailureDomain: "a", StartedAt: start.Add(-time.Hour)}
	p.Config.Entries.Heard(netip.MustParseAddrPort("10.0.0.2:7000"), "a", start)
	p.Config.Entries.SetListed()
	p.Config.ColdOvershoot, p.Config.ColdSlack = 1.5, 5
	pool := enginePool()
	pool.ColdTime, pool.ColdRate = coldTime, coldRate
	p.SetPool(pool)
	list := engines(servers, 1)
	p.SetServers(list)
	p.ObserveCold(list, start)
	return p, list
}

// Replays a server that joins cold while all others are full. Guards against a server that
// gets more than this entry's share, one that is left idle although requests wait, and
// waiting requests that are not decided when the share is available again.
func TestServerThatJoinsColdIsFilledAtItsRate(t *testing.T) {
	const (
		tick        = 2 * time.Millisecond
		serviceTime = 400 * time.Millisecond
	)
	p, list := newColdPlacer(2)
	for _, b := range list {
		for range b.Slots {
			if d := p.Offer(request(start), start); d.Verdict != Placed || !p.RecordWrite(d.Server, start) {
				t.Fatalf("request at a warm server was not sent: %+v", d)
			}
			p.RecordFirstEvent("i-0", 900)
			p.RecordFirstEvent("i-1", 900)
		}
	}
	joining := list[1]
	joining.Instance, joining.Born = "i-2", 7
	list = append(list, joining)
	joinedAt := start.Add(time.Second)
	p.SetServers(list)
	p.ObserveCold(list, joinedAt)
	var sent []time.Time
	var ends []time.Time
	wake := joinedAt
	for now := joinedAt; now.Before(joinedAt.Add(coldTime + time.Second)); now = now.Add(tick) {
		for len(ends) > 0 && !ends[0].After(now) {
			p.RecordEnd("i-2", 900, true, Answered, serviceTime, now)
			ends = ends[1:]
		}
		decisions := []Decision{p.Offer(request(now), now)}
		if !wake.After(now) {
			decisions = append(decisions, p.DecideWaiting(now)...)
		}
		wake, _ = p.NextWake(now)
		for _, d := range decisions {
			if d.Verdict != Placed {
				continue
			}
			if d.Server.Instance != "i-2" || !p.RecordWrite(d.Server, now) {
				t.Fatalf("request is placed at %s, or must not be sent", d.Server.Instance)
			}
			p.RecordFirstEvent("i-2", 900)
			sent = append(sent, now)
			ends = append(ends, now.Add(serviceTime))
		}
	}
	cold, from := 0, 0
	for i, at := range sent {
		if !at.Before(joinedAt.Add(coldTime)) {
			break
		}
		cold++
		for at.Sub(sent[from]) >= time.Second {
			from++
		}
		if in := i - from + 1; in > coldRate/2 {
			t.Fatalf("cold server got %d requests in a second, want at most %d", in, coldRate/2)
		}
	}
	if want := int(coldTime.Seconds()) * coldRate / 2; cold < want {
		t.Errorf("cold server got %d requests while it was cold, want %d", cold, want)
	}
	if after := len(sent) - cold; after < joining.Slots {
		t.Errorf("server got %d requests in the second after it was cold, want at least %d", after, joining.Slots)
	}
	if servers, heldBack := p.Cold(joinedAt); servers != 1 || heldBack == 0 {
		t.Errorf("%d cold servers, %d requests held back, want 1 and more than 0", servers, heldBack)
	}
}

// Guards against requests that wait for cold servers from which this entry gets too little.
func TestRequestsAreNotQueuedForMoreThanShare(t *testing.T) {
	p, list := newColdPlacer(1)
	list[0].ColdFor, list[0].Revision = time.Minute, 1
	p.SetServers(list)
	p.ObserveCold(list, start)
	placed, waiting := 0, 0
	for range 100 {
		switch d := p.Offer(request(start), start); d.Verdict {
		case Placed:
			placed++
			p.RecordFirstEvent("i-0", 900)
		case Waiting:
			waiting++
		case Refused:
		}
	}
	// The objective leaves less than 0.4 s for the wait, and the share is 5 in a second.
	if placed != list[0].Slots || waiting > 2 {
		t.Errorf("%d requests are placed and %d wait, want %d and at most 2", placed, waiting, list[0].Slots)
	}
}

// Guards against long or late requests that take a cold server's few requests from short ones
// although a warm server has capacity for them.
func TestColdServerGetsShortRequests(t *testing.T) {
	long, retry := request(start), request(start)
	long.AnswerTokens = 4 * enginePool().Engine.MeanAnswerTokens
	retry.CallerRetry = true
	for name, c := range map[string]struct {
		request Request
		want    mulberryspool.InstanceID
	}{"short": {request(start), "i-0"}, "long": {long, "i-1"}, "late": {retry, "i-1"}} {
		p, list := newColdPlacer(2)
		list[0].ColdFor, list[0].Revision = time.Minute, 1
		p.SetServers(list)
		p.ObserveCold(list, start)
		p.SetPeer("other", PeerReport{Loads: map[mulberryspool.InstanceID]Load{"i-1": {Requests: 1}}}, start)
		if d := p.Offer(c.request, start); d.Server.Instance != c.want {
			t.Errorf("%s request is placed at %q, want %q", name, d.Server.Instance, c.want)
		}
	}
}
