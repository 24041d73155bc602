package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/platform"
)

// Guards against an odd entry among those of the servers that ends entries, or keeps them
// from following the others: a server that is added after it serves, one that leaves gets
// nothing.
func TestHostedEntriesFollowServersBesideOddEntries(t *testing.T) {
	const timeout = 3 * time.Second
	s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, GracefulStop: 4 * time.Second, Timeout: timeout, Entries: 2, Backends: 2}
	s.Start(t)
	for name, specification := range map[string]string{
		"deep":       strings.Repeat("[", 300_000) + strings.Repeat("]", 300_000),
		"objects":    strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
		"characters": "\"\x01\xff\"",
		"large":      `{"service":"pool","address":"127.0.0.1:99999","zone":"a","version":"v1","slots":92233720368547758070,"state":"ready","sequence":1}`,
		"port":       `{"service":"pool","address":"127.0.0.1:0","zone":"a","version":"v1","slots":9223372036854775807,"state":"ready","sequence":1}`,
		"null":       "null",
	} {
		s.Store.PutRaw(platform.KindServers, name, []byte(specification))
	}
	caller := hostedsystem.NewCaller(timeout, true)
	added, leaving := s.AddServer(t), 0
	s.SetLeaving(leaving)
	time.Sleep(timeout)
	before := len(s.Servers[leaving].Runs())
	for i := range 200 {
		r := caller.Do(hostedsystem.Call{URL: s.Members[i%2].URL, Prefix: hostedsystem.LookupPrefix, Take: 2 * time.Millisecond})
		if r.Status != http.StatusOK || !r.Complete || r.Wrong != "" {
			t.Fatalf("request %d: status %d, %v, %s", i, r.Status, r.Err, r.Wrong)
		}
	}
	if got := len(s.Servers[added].Runs()); got == 0 {
		t.Error("the server that was added after the odd entries serves nothing")
	}
	if got := len(s.Servers[leaving].Runs()) - before; got > 0 {
		t.Errorf("%d requests reached the server that leaves", got)
	}
	for _, e := range s.Members {
		select {
		case <-e.Process.Done():
			t.Errorf("an entry ended: %s", e.Process.Stderr())
		default:
		}
	}
}
