package fault

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against rules that apply to the wrong calls or to more calls than Rule.Calls.
func TestNextEffect(t *testing.T) {
	s := &Injector{Clock: clockwork.NewFakeClock(), Operations: map[string][]Kind{"read": {Corrupt}, "write": nil}}
	for _, rule := range []Rule{
		{Kind: Slow, Delay: time.Second, Calls: 2},
		{Kind: Slow, Delay: time.Minute, Caller: "b"},
		{Kind: Refuse, Operations: []string{"write"}, Calls: 1},
		{Kind: Hang, Caller: "b", Calls: 1},
		{Kind: Corrupt, Operations: []string{"read"}},
	} {
		if err := s.Add(rule); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []struct {
		operation, caller string
		kind              Kind
		delay             time.Duration
	}{
		{"write", "a", Refuse, time.Second},
		{"write", "b", Hang, time.Second + time.Minute},
		{"write", "b", "", time.Minute},
		{"write", "a", "", 0},
		{"read", "a", Corrupt, 0},
		{"read", "b", Corrupt, time.Minute},
	} {
		if got := s.NextEffect(want.operation, want.caller); got.Kind != want.kind || got.Delay != want.delay {
			t.Errorf("call %d: %q after %v, want %q after %v", i, got.Kind, got.Delay, want.kind, want.delay)
		}
	}
	hung := s.NextEffect("read", "a")
	s.Clear()
	<-hung.Cleared
	if got := s.NextEffect("read", "b"); got.Kind != "" || got.Delay != 0 || len(s.Rules()) != 0 {
		t.Errorf("after Clear: %+v", got)
	}
}

// Guards against a rule that is accepted although it can never apply, for
// example because of a misspelled operation.
func TestInvalidRulesAreRejected(t *testing.T) {
	s := &Injector{Clock: clockwork.NewFakeClock(), Operations: map[string][]Kind{"read": {Corrupt}, "write": nil}}
	for _, rule := range []Rule{
		{},
		{Kind: "unknown"},
		{Kind: Refuse, Operations: []string{"reed"}},
		{Kind: Corrupt, Operations: []string{"write"}},
		{Kind: Fail},
		{Kind: Refuse, Calls: -1},
		{Kind: Slow, Delay: -1},
	} {
		if err := s.Add(rule); err == nil {
			t.Errorf("rule %+v was accepted", rule)
		}
	}
}
