package integration

import (
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

// peakMegabytes returns the largest memory of a process within a time.
func peakMegabytes(t *testing.T, p *process.Process, d time.Duration) int {
	peak := int64(0)
	for began := time.Now(); time.Since(began) < d; time.Sleep(10 * time.Millisecond) {
		peak = max(peak, p.Usage(t).ResidentBytes)
	}
	return int(peak >> 20)
}
