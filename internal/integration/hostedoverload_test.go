package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Guards against entries that reject urgent requests while they serve less urgent ones in an
// overload, each of which sees another part of the load, and against one that doesn't learn of
// the overload or doesn't log it.
func TestOverloadedEntriesServeUrgentRequestsFirst(t *testing.T) {
	const (
		timeout  = 3 * time.Second
		duration = 4 * time.Second
		interval = 50 * time.Millisecond
		take     = 200 * time.Millisecond
	)
	s := &hostedsystem.System{
		Builder: &builder, RepeatSlack: 200, GracefulStop: 8 * time.Second, Timeout: timeout, Entries: 2, Backends: 2, Slots: 8,
		Priorities: map[string]int{hostedsystem.OrderPrefix: 1},
	}
	s.Start(t)
	// The pool serves 160 requests a second; 320 are sent, of which 100 are urgent.
	loads := []map[string]int{
		{hostedsystem.LookupPrefix: 4, hostedsystem.OrderPrefix: 3},
		{hostedsystem.LookupPrefix: 1, hostedsystem.OrderPrefix: 8},
	}
	caller := hostedsystem.NewCaller(timeout, true)
	for began := time.Now(); time.Since(began) < duration; time.Sleep(interval) {
		for i, load := range loads {
			for prefix, count := range load {
				for range count {
					caller.Go(hostedsystem.Call{URL: s.Members[i].URL, Prefix: prefix, Take: take})
				}
			}
		}
	}
	sent, served := make(map[string]int), make(map[string]int)
	for _, r := range caller.Wait() {
		sent[r.Call.Prefix]++
		switch r.Status {
		case http.StatusOK:
			served[r.Call.Prefix]++
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("%s ended with status %d: %v", r.Call.Prefix, r.Status, r.Err)
		}
	}
	share := func(prefix string) float64 { return float64(served[prefix]) / float64(sent[prefix]) }
	t.Logf("of %d urgent and %d less urgent requests %.2f and %.2f are served", sent[hostedsystem.LookupPrefix], sent[hostedsystem.OrderPrefix], share(hostedsystem.LookupPrefix), share(hostedsystem.OrderPrefix))
	if share(hostedsystem.LookupPrefix) < share(hostedsystem.OrderPrefix) {
		t.Error("less urgent requests are served more often than urgent ones")
	}
	for _, e := range s.Members {
		if !strings.Contains(e.Process.Stdout(), "pool is overloaded") {
			t.Errorf("the log of %s doesn't show the overload", e.Registration)
		}
	}
}
