package coldstart

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

func newEntries(self, others int) *Entries {
	e := &Entries{Self: address(self), FailureDomain: domainOf(self % 3), StartedAt: start}
	for i := range others {
		e.Heard(address(i), domainOf(i%3), start)
	}
	e.SetListed()
	return e
}

// Guards against shares that add up to more than the total, or leave a part of it to nobody,
// although all entries know the same set, and against a remainder that goes to entries of
// other failure domains first.
func TestSharesAddUpToTotal(t *testing.T) {
	for n := 1; n <= 30; n++ {
		for total := 0; total <= 40; total++ {
			for server := range 4 {
				sum, least, most := 0, total, 0
				for i := range n {
					share := newEntries(i, n).share(serverID(server), domainOf(server%3), total)
					sum, least, most = sum+share, min(least, share), max(most, share)
				}
				if sum != total || most-least > 1 {
					t.Fatalf("shares of %d entries in %d add up to %d, from %d to %d", n, total, sum, least, most)
				}
			}
		}
	}
	for i := range 9 {
		if share, want := newEntries(i, 9).share("i-1", domainOf(1), 3), map[bool]int{true: 1}[i%3 == 1]; share != want {
			t.Errorf("entry %d of %s has a share of %d of 3 requests to a server in %s, want %d", i, domainOf(i%3), share, domainOf(1), want)
		}
	}
}

// Guards against an entry that uses the shares of others before it knows them.
func TestEntryThatHasJustStartedWaits(t *testing.T) {
	e := &Entries{Self: address(0), StartedAt: start}
	s := &Servers{Entries: e}
	s.SetPool(mulberryspool.IngressPool{ColdRate: 10, ColdTime: time.Hour}, 1, 0)
	s.SetList([]mulberryspool.BackendServer{{Instance: "i-0", ColdFor: time.Hour}}, start)
	server := s.Server("i-0", 0)
	if at := server.AvailableAt(start); !at.Equal(start.Add(unlistedTime)) {
		t.Errorf("server is available %v after the start although no entries are known, want %v", at.Sub(start), unlistedTime)
	}
	e.SetListed()
	if at := server.AvailableAt(start); !at.Equal(start.Add(settleTime)) {
		t.Errorf("server is available %v after the start, want %v", at.Sub(start), settleTime)
	}
	if now := start.Add(settleTime); server.Share(now) != 10 {
		t.Errorf("share of the only entry is %d, want 10", server.Share(now))
	}
}

// Guards against shares that grow on both sides of a partition, and against entries that tell
// each other without end of one that has ended.
func TestEntryThatIsNoLongerHeardCounts(t *testing.T) {
	e := newEntries(0, 2)
	e.expire(start.Add(countTime - time.Second))
	if got := len(e.Addresses(start.Add(countTime - time.Second))); got != 1 {
		t.Errorf("%d entries count shortly before %v, want 1", got, countTime)
	}
	now := start.Add(countTime + time.Second)
	e.Learned(address(1), start.Add(countTime-time.Second))
	e.expire(now)
	e.Learned(address(1), now)
	if got := len(e.Addresses(now)); got != 0 {
		t.Errorf("%d entries count after %v, want 0", got, countTime)
	}
	e.Heard(address(1), "", now)
	if got := len(e.Addresses(now)); got != 1 {
		t.Errorf("%d entries count after a heartbeat of one, want 1", got)
	}
}

// Guards against servers that are not known to be cold although their object, their answer,
// their start or the end of an evacuation says so, and against servers that count as cold
// only because a list lacked them for a while.
func TestServerIsCold(t *testing.T) {
	const coldTime = 3 * time.Second
	old := mulberryspool.BackendServer{Instance: "i-0", Born: 1, FailureDomain: "a", Revision: 5}
	row := func(revision mulberryspool.Revision, coldFor time.Duration) mulberryspool.BackendServer {
		b := old
		b.Revision, b.ColdFor = revision, coldFor
		return b
	}
	list := func(b ...mulberryspool.BackendServer) []mulberryspool.BackendServer { return b }
	for name, c := range map[string]struct {
		born int64
		play func(s *Servers)
		want time.Duration
	}{
		"in the first list": {1, func(*Servers) {}, 0},
		"new incarnation": {2, func(s *Servers) {
			next := row(6, 0)
			next.Born = 2
			s.SetList(list(next), start)
		}, coldTime},
		"object": {1, func(s *Servers) { s.SetList(list(row(6, 2*time.Second)), start) }, 2 * time.Second},
		"same object again": {1, func(s *Servers) {
			s.SetList(list(row(6, 2*time.Second)), start.Add(-time.Second))
			s.SetList(list(row(6, 2*time.Second)), start)
		}, time.Second},
		"later object": {1, func(s *Servers) {
			s.SetList(list(row(6, 2*time.Second)), start.Add(-time.Second))
			s.SetList(list(row(7, 0)), start)
		}, 0},
		"object of a restored copy": {1, func(s *Servers) {
			s.SetList(list(row(6, 2*time.Second)), start.Add(-time.Second))
			copied := row(5, 0)
			copied.Era = 2
			s.SetList(list(copied), start)
		}, time.Second},
		"not listed for a while": {1, func(s *Servers) {
			s.SetList(nil, start.Add(-time.Second))
			s.SetList(list(old), start)
		}, 0},
		"answer": {1, func(s *Servers) { s.Server("i-0", 1).RecordAnswer(time.Second, start, start) }, time.Second},
		"answer to an earlier request": {1, func(s *Servers) {
			s.Server("i-0", 1).RecordAnswer(time.Second, start, start)
			s.Server("i-0", 1).RecordAnswer(0, start.Add(-time.Millisecond), start)
		}, time.Second},
		"answer says that it is cold no longer": {1, func(s *Servers) {
			s.Server("i-0", 1).RecordAnswer(time.Second, start.Add(-time.Second), start)
			s.Server("i-0", 1).RecordAnswer(0, start, start)
		}, 0},
		"after an evacuation":           {1, func(s *Servers) { s.EvacuationEnded("a", mulberryspool.Position{Revision: 8}, start) }, coldTime},
		"after an evacuation elsewhere": {1, func(s *Servers) { s.EvacuationEnded("b", mulberryspool.Position{Revision: 8}, start) }, 0},
		"after an evacuation, object is later": {1, func(s *Servers) {
			s.EvacuationEnded("a", mulberryspool.Position{Revision: 8}, start)
			s.SetList(list(row(9, time.Second)), start)
		}, time.Second},
		"after an evacuation, object was later": {1, func(s *Servers) {
			s.SetList(list(row(9, 0)), start)
			s.EvacuationEnded("a", mulberryspool.Position{Revision: 8}, start)
		}, 0},
		"after an evacuation, object is earlier": {1, func(s *Servers) {
			s.EvacuationEnded("a", mulberryspool.Position{Revision: 8}, start)
			s.SetList(list(row(7, 0)), start)
		}, coldTime},
		"after an evacuation with unknown position": {1, func(s *Servers) {
			s.EvacuationEnded("a", mulberryspool.Position{}, start)
			s.SetList(list(row(9, 0)), start)
		}, coldTime},
	} {
		s := &Servers{Entries: newEntries(0, 0)}
		s.SetPool(mulberryspool.IngressPool{ColdRate: 10, ColdTime: coldTime}, 1.5, 5)
		s.SetList(list(old), start.Add(-time.Minute))
		c.play(s)
		server := s.Server("i-0", c.born)
		if until := server.Until(start); c.want == 0 && !until.IsZero() || c.want > 0 && !until.Equal(start.Add(c.want)) {
			t.Errorf("%s: server is cold until %v, want for %v", name, until, c.want)
		}
		s.SetPool(mulberryspool.IngressPool{ColdTime: coldTime}, 1.5, 5)
		if !server.Until(start).IsZero() {
			t.Errorf("%s: server of a pool without a rate for cold ones is cold", name)
		}
	}
}

// Guards against a cold server that gets this entry's share in addition to what the entry has
// sent before it learned that the server is cold.
func TestRequestsBeforeServerIsKnownToBeColdCount(t *testing.T) {
	s := &Servers{Entries: newEntries(0, 0)}
	s.SetPool(mulberryspool.IngressPool{ColdRate: 4, ColdTime: time.Second}, 1, 0)
	b := mulberryspool.BackendServer{Instance: "i-0", Revision: 1}
	s.SetList([]mulberryspool.BackendServer{b}, start)
	server, now := s.Server("i-0", 0), start.Add(time.Minute)
	for range 9 {
		if server.Reserve(now); !server.Write(now) {
			t.Fatal("a request to a server that is not cold was withheld")
		}
	}
	b.Revision, b.ColdFor = 2, 10*time.Second
	now = now.Add(time.Millisecond)
	s.SetList([]mulberryspool.BackendServer{b}, now)
	if server.Write(now) {
		t.Error("the server got a request beyond the share")
	}
	if at, want := server.AvailableAt(now), now.Add(window-time.Millisecond); !at.Equal(want) {
		t.Errorf("server is available in %v, want in %v", at.Sub(now), want.Sub(now))
	}
}

// Guards against an incarnation that gets a full share in addition to what was written to its
// predecessor, or may have been written to itself before it was listed.
func TestRequestsToPredecessorCount(t *testing.T) {
	s := &Servers{Entries: newEntries(0, 0)}
	s.SetPool(mulberryspool.IngressPool{ColdRate: 4, ColdTime: time.Second}, 1, 0)
	b := mulberryspool.BackendServer{Instance: "i-0", Born: 1, Revision: 1}
	s.SetList([]mulberryspool.BackendServer{b}, start)
	now := start.Add(time.Minute)
	for range 4 {
		s.Server("i-0", 1).Write(now)
	}
	b.Born, b.Revision = 2, 2
	s.SetList([]mulberryspool.BackendServer{b}, now)
	if server := s.Server("i-0", 2); server.Write(now) || !server.Write(now.Add(window)) {
		t.Error("the next incarnation got a request beyond the share, or none after it")
	}
}

// Guards against a server that has crashed and gets requests as if it were warm until its next
// incarnation is listed, and against one that runs and is held back although it responds.
func TestServerMayHaveStartedAgainAfterLostConnection(t *testing.T) {
	const share = 4
	now := start.Add(time.Minute)
	writes := func(play func(s *Server)) int {
		s := &Servers{Entries: newEntries(0, 0)}
		s.SetPool(mulberryspool.IngressPool{ColdRate: share, ColdTime: time.Second}, 1, 0)
		s.SetList([]mulberryspool.BackendServer{{Instance: "i-0", Revision: 1}}, start)
		server := s.Server("i-0", 0)
		play(server)
		n := 0
		for server.Write(now) && n < 10*share {
			n++
		}
		return n
	}
	earlier := now.Add(-time.Second)
	for name, c := range map[string]struct {
		play func(s *Server)
		held bool
	}{
		"nothing lost":                         {func(*Server) {}, false},
		"connection lost":                      {func(s *Server) { s.RecordLost(now) }, true},
		"lost long ago":                        {func(s *Server) { s.RecordLost(now.Add(-doubtTime)) }, false},
		"response on an earlier connection":    {func(s *Server) { s.RecordLost(now); s.RecordAlive(earlier) }, false},
		"response on a later connection":       {func(s *Server) { s.RecordLost(earlier); s.RecordAlive(now) }, true},
		"lost again after an earlier response": {func(s *Server) { s.RecordLost(now); s.RecordAlive(earlier); s.RecordLost(now) }, true},
	} {
		if n := writes(c.play); c.held != (n == share) {
			t.Errorf("%s: %d requests are written at once, want the share of %d: %t", name, n, share, c.held)
		}
	}
}
