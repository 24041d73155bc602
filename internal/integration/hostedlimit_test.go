package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Guards against whole answers without length that are withheld or broken off, beside
// configurations in series, because their server has as many connections as it accepts when
// they end.
func TestUnframedAnswersOutlastConnectionLimit(t *testing.T) {
	const (
		timeout = 4 * time.Second
		count   = 20
		take    = time.Second
		// fullFor is how long the server accepts no further connection.
		fullFor = time.Second
	)
	s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, GracefulStop: 8 * time.Second, Timeout: timeout, Entries: 1, Backends: 1, Slots: 100}
	s.Start(t)
	server, listener := s.Servers[0], s.Listeners[0]
	server.SetUnframed(true)
	caller := hostedsystem.NewCaller(timeout, true)
	for range count {
		caller.Go(hostedsystem.Call{URL: s.Members[0].URL, Prefix: hostedsystem.StreamPrefix, Take: take, Events: 10})
		caller.Go(hostedsystem.Call{URL: s.Members[0].URL, Prefix: hostedsystem.OrderPrefix, Take: take})
	}
	for len(server.Runs()) < 2*count {
		time.Sleep(time.Millisecond)
	}
	listener.SetLimit(1)
	for version := 2; version < 2+10; version++ {
		s.PutConfiguration(version)
		time.Sleep((take + fullFor) / 10)
	}
	listener.SetLimit(0)
	for _, r := range caller.Wait() {
		if r.Status != http.StatusOK || !r.Complete || r.Wrong != "" {
			t.Errorf("%s ended with status %d after %v, %d events, complete %t: %v %s", r.Call.Prefix, r.Status, r.Took, r.Events, r.Complete, r.Err, r.Wrong)
		}
	}
	if listener.Resets() == 0 {
		t.Error("no connection was reset")
	}
}
