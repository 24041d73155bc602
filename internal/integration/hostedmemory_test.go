package integration

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

// Guards against an entry that runs out of memory because it keeps many long answers, such as
// those of a faulty server that sends bytes without end.
func TestLongAnswersDoNotExhaustMemory(t *testing.T) {
	const (
		memory  = 96
		timeout = 5 * time.Second
		answers = 128
	)
	s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, MegabytesOfMemory: memory, GracefulStop: 4 * time.Second, Timeout: timeout, Entries: 1, Backends: 8}
	s.Start(t)
	e := s.Members[0]
	caller := hostedsystem.NewCaller(timeout, true)
	for range answers {
		caller.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.OrderPrefix, Take: time.Second, Bytes: 1<<20 - 100})
	}
	done := make(chan int)
	go func() { done <- peakMegabytes(t, e.Process, 3*time.Second) }()
	whole := 0
	for _, r := range caller.Wait() {
		if r.Wrong != "" {
			t.Error(r.Wrong)
		}
		if r.Complete {
			whole++
		}
	}
	if whole < answers {
		t.Errorf("%d of %d long answers are whole", whole, answers)
	}
	if peak := <-done; peak > memory*8/10 {
		t.Errorf("the entry takes %d MB of %d", peak, memory)
	}
}

// Guards against an entry that runs out of memory because it keeps many long bodies of
// callers, and against short requests that get no memory beside them.
func TestLongBodiesDoNotExhaustMemory(t *testing.T) {
	const (
		memory   = 184
		timeout  = 5 * time.Second
		callers  = 200
		duration = 6 * time.Second
		interval = 10 * time.Millisecond
	)
	body := bytes.Repeat([]byte("x"), 4<<20)
	s := &hostedsystem.System{Builder: &builder, RepeatSlack: 200, MegabytesOfMemory: memory, MaxBody: len(body), GracefulStop: 4 * time.Second, Timeout: timeout, Entries: 1, Backends: 8}
	s.Start(t)
	e := s.Members[0]
	long, short := hostedsystem.NewCaller(timeout, true), hostedsystem.NewCaller(timeout, true)
	end := time.Now().Add(duration)
	var sending sync.WaitGroup
	for range callers {
		sending.Go(func() {
			for time.Now().Before(end) {
				long.Do(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.OrderPrefix, Take: 200 * time.Millisecond, Body: body})
			}
		})
	}
	sending.Go(func() {
		for time.Now().Before(end) {
			short.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.LookupPrefix, Take: 10 * time.Millisecond})
			time.Sleep(interval)
		}
	})
	peak := peakMegabytes(t, e.Process, duration)
	sending.Wait()
	if peak > memory*8/10 {
		t.Errorf("the entry takes %d MB of %d", peak, memory)
	}
	results := short.Wait()
	whole := completeAnswers(results)
	if 100*whole < 99*len(results) {
		t.Errorf("%d of %d short requests were served", whole, len(results))
	}
	results = long.Wait()
	if completeAnswers(results) == 0 {
		t.Error("no request with a long body was served")
	}
	t.Logf("at most %d MB of %d; %d of %d requests with long bodies were served", peak, memory, completeAnswers(results), len(results))
	checkRefusedNotRun(t, s, results)
}

// completeAnswers returns how many requests were served.
func completeAnswers(results []hostedsystem.Result) int {
	n := 0
	for _, r := range results {
		if r.Complete && r.Status == http.StatusOK {
			n++
		}
	}
	return n
}

// checkRefusedNotRun checks that no request that was refused as not run has run.
func checkRefusedNotRun(t *testing.T, s *hostedsystem.System, results []hostedsystem.Result) {
	t.Helper()
	runs := make(map[string]bool)
	for _, server := range s.Servers {
		for _, run := range server.Runs() {
			runs[run.ID] = true
		}
	}
	for _, r := range results {
		if r.Status == http.StatusServiceUnavailable && runs[r.ID] {
			t.Errorf("request %s has run and was refused as not run", r.ID)
		}
	}
}

// peakMegabytes returns the largest memory of a process within a time.
func peakMegabytes(t *testing.T, p *process.Process, d time.Duration) int {
	peak := int64(0)
	for began := time.Now(); time.Since(began) < d; time.Sleep(10 * time.Millisecond) {
		peak = max(peak, p.Usage(t).ResidentBytes)
	}
	return int(peak >> 20)
}
