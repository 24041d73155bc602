package integration

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Figures of the servers that are cold again.
const (
	againRate, againOvershoot, againSlack = 8, 1.5, 2
	againBound                            = againRate*againOvershoot + againSlack
	againTime                             = 3 * time.Second
)

// Guards against a server that starts under load and gets more requests per second than it can
// handle while it is cold, from entries of which one can't read the store and one has just
// started, and against one that is left idle meanwhile or afterwards.
func TestServerThatStartsUnderLoadIsFilledSlowly(t *testing.T) {
	const (
		rate, overshoot, slack = 8, 1.5, 2
		bound                  = rate*overshoot + slack
		coldTime               = 3 * time.Second
		entries                = 4
		interval               = 20 * time.Millisecond
		length                 = 6 * time.Second
		// newsTime is how old the information that a server is listed may be.
		newsTime = 2 * time.Second
	)
	s := &hostedsystem.System{
		Builder: &builder, RepeatSlack: 200, GracefulStop: 8 * time.Second, Timeout: 2 * time.Second, Entries: entries, Backends: 2,
		ColdTime: coldTime, ColdRate: rate, ColdOvershoot: overshoot, ColdSlack: slack,
	}
	s.Start(t)
	caller := hostedsystem.NewCaller(s.Timeout, true)
	call := func(length time.Duration) {
		for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
			for _, e := range s.Members[:entries] {
				caller.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.LookupPrefix, Take: 100 * time.Millisecond})
			}
		}
	}
	call(2 * time.Second)
	s.RefuseEntries(s.Members[0])
	began := time.Now()
	joined := s.Servers[s.AddServer(t)]
	s.AddEntry(t)
	call(newsTime + length)
	caller.Wait()
	runs := joined.Runs()
	if len(runs) == 0 {
		t.Fatal("the server that has started got no request")
	}
	cold, most := runsIn(runs, began, began.Add(coldTime))
	t.Logf("%d requests while the server was cold, at most %d in a second", cold, most)
	if most > bound {
		t.Errorf("cold server got %d requests in a second, want at most %.0f", most, float64(bound))
	}
	// The entries may learn of the server as late as newsTime.
	if least := rate / 2; cold < least {
		t.Errorf("cold server got %d requests in %v, want at least %d", cold, coldTime, least)
	}
	if warm, _ := runsIn(runs, began.Add(coldTime+newsTime), began.Add(coldTime+newsTime+time.Second)); warm <= bound {
		t.Errorf("server got %d requests in a second after it was cold, want more than %.0f", warm, float64(bound))
	}
}

// runsIn returns how many runs began in a span of time, and at most in a second of it.
func runsIn(runs []backendserver.Run, from, until time.Time) (total, most int) {
	var in []backendserver.Run
	for _, r := range runs {
		if !r.StartedAt.Before(from) && r.StartedAt.Before(until) {
			in = append(in, r)
		}
	}
	start := 0
	for i, r := range in {
		for r.StartedAt.Sub(in[start].StartedAt) >= time.Second {
			start++
		}
		most = max(most, i-start+1)
	}
	return len(in), most
}

// Guards against a server that becomes cold again while it serves, and gets more requests per
// second than it can handle from the entries that read the servers from others.
func TestServerThatBecomesColdAgainGetsFewRequests(t *testing.T) {
	t.Parallel()
	s, caller := startColdAgain(t, 2)
	s.SetCold(0, againTime)
	began := time.Now()
	callAll(s, caller, againTime)
	caller.Wait()
	// Entries may learn of it a second later.
	checkColdAgain(t, s, began.Add(time.Second), began.Add(againTime))
}

// Guards against a server that crashes and starts again under its ID, and gets more requests per
// second than it can handle until all entries know its next incarnation.
func TestServerThatStartsAgainUnderItsIDGetsFewRequests(t *testing.T) {
	t.Parallel()
	s, caller := startColdAgain(t, 1)
	for range 2 {
		s.StopServer(0)
		callAll(s, caller, 300*time.Millisecond)
		began := time.Now()
		s.RestartServer(t, 0, againTime)
		callAll(s, caller, againTime)
		checkColdAgain(t, s, began, began.Add(againTime))
		callAll(s, caller, 2*time.Second)
	}
	caller.Wait()
}

// startColdAgain starts entries of several failure domains and sends requests for a second.
func startColdAgain(t *testing.T, servers int) (*hostedsystem.System, *hostedsystem.Caller) {
	t.Helper()
	s := &hostedsystem.System{
		Builder: &builder, RepeatSlack: 200, GracefulStop: 8 * time.Second, Timeout: 2 * time.Second, Entries: 6, Backends: servers,
		EntryDomains: []string{"a", "b", "c"}, ColdTime: againTime, ColdRate: againRate, ColdOvershoot: againOvershoot, ColdSlack: againSlack,
	}
	s.Start(t)
	time.Sleep(watchersSettle)
	caller := hostedsystem.NewCaller(s.Timeout, true)
	began := time.Now()
	callAll(s, caller, time.Second)
	if before, _ := runsIn(s.Servers[0].Runs(), began, time.Now()); before <= againBound {
		t.Errorf("server got %d requests in a second while it was warm, want more than %.0f", before, float64(againBound))
	}
	return s, caller
}

// callAll sends requests to all entries for a time.
func callAll(s *hostedsystem.System, caller *hostedsystem.Caller, length time.Duration) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(20 * time.Millisecond) {
		for _, e := range s.Members {
			caller.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.LookupPrefix, Take: 20 * time.Millisecond})
		}
	}
}

// checkColdAgain checks that the first server gets at most the requests of a cold one, and some.
func checkColdAgain(t *testing.T, s *hostedsystem.System, from, until time.Time) {
	t.Helper()
	total, most := runsIn(s.Servers[0].Runs(), from, until)
	t.Logf("%d requests while the server was cold, at most %d in a second", total, most)
	if most > againBound {
		t.Errorf("cold server got %d requests in a second, want at most %.0f", most, float64(againBound))
	}
	if total == 0 {
		t.Error("cold server got no request")
	}
}
