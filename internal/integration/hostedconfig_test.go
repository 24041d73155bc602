package integration

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
)

// Guards against requests that get neither an answer nor a refusal, and streams that are broken
// off before their route's time-out, while routes, their time-outs and servers change in series.
func TestRequestsBesideConfigurationsGetAnswers(t *testing.T) {
	const (
		timeout, shortTimeout = 3 * time.Second, 700 * time.Millisecond
		duration              = 6 * time.Second
		interval              = 20 * time.Millisecond
	)
	s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, GracefulStop: 8 * time.Second, Timeout: timeout, Entries: 1, Backends: 3, Slots: 6}
	s.Start(t)
	e := s.Members[0]
	kept, fresh := hostedsystem.NewCaller(timeout, true), hostedsystem.NewCaller(timeout, false)
	without := [][]string{nil, {hostedsystem.LookupPrefix}, {hostedsystem.OrderPrefix, hostedsystem.StreamPrefix}, nil}
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		for _, call := range []hostedsystem.Call{
			{Prefix: hostedsystem.LookupPrefix, Take: 30 * time.Millisecond},
			{Prefix: hostedsystem.OrderPrefix, Take: 40 * time.Millisecond},
			{Prefix: hostedsystem.StreamPrefix, Take: 500 * time.Millisecond, Events: 10},
		} {
			call.URL = e.URL
			kept.Go(call)
			fresh.Go(call)
		}
		if n%5 == 0 {
			s.Timeout = timeout
			if n%2 == 0 {
				s.Timeout = shortTimeout
			}
			s.Without, s.ExtraRoute = without[n%len(without)], n%3 == 0
			s.PutConfiguration(n + 2)
		}
		if n%20 == 0 {
			if err := e.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		if n%40 == 30 {
			s.SetLeaving(s.AddServer(t) - 1)
		}
		time.Sleep(interval)
	}
	statuses := make(map[int]int)
	for _, r := range append(kept.Wait(), fresh.Wait()...) {
		statuses[r.Status]++
		if r.Status == 0 || !r.Complete && r.Took < shortTimeout {
			t.Errorf("%s ended with status %d after %v, %d events: %v", r.Call.Prefix, r.Status, r.Took, r.Events, r.Err)
		}
	}
	t.Logf("requests by status: %v", statuses)
	if statuses[http.StatusOK] == 0 || statuses[http.StatusNotFound] == 0 || statuses[http.StatusServiceUnavailable] == 0 {
		t.Error("not all of 200, 404 and 503 occurred")
	}
}
