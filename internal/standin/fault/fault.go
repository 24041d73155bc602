// Package fault holds the faults that tests switch on at a stand-in.
//
//	test --Add or POST /admin/faults--> Switch
//	call --Wrap--> Take a matching rule --> delay, refuse, hang, answer 503,
//	                                        or run the call and lose its answer
//
// Kinds that concern the content of an answer are left to the stand-in.
package fault

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Kind says what goes wrong.
type Kind string

// Kinds of faults.
const (
	// Refuse closes the connection; the call has no effect.
	Refuse Kind = "refuse"
	// Unavailable answers 503; the call has no effect.
	Unavailable Kind = "unavailable"
	// Hang leaves the call without answer and effect until the rules are
	// cleared or the caller goes away, then closes the connection.
	Hang Kind = "hang"
	// Slow delays the call by Rule.Delay before it takes effect.
	Slow Kind = "slow"
	// LoseAnswer lets the call take effect, then closes the connection.
	LoseAnswer Kind = "loseAnswer"
	// HangAnswer lets the call take effect, then hangs.
	HangAnswer Kind = "hangAnswer"
	// Stall sends half of the content, then nothing.
	Stall Kind = "stall"
	// Truncate sends half of the content, then closes the connection.
	Truncate Kind = "truncate"
	// EndEarly sends half of the content, then ends the answer as if it were complete.
	EndEarly Kind = "endEarly"
	// Corrupt changes a byte of the content.
	Corrupt Kind = "corrupt"
	// Late lets the operation take effect after Rule.Delay, even if the
	// caller has gone away.
	Late Kind = "late"
	// Fail lets the operation fail with the stand-in's own error.
	Fail Kind = "fail"
)

// AdminPath is the path of the rules on a stand-in's admin interface.
const AdminPath = "/admin/faults"

type (
	// Rule switches a fault on.
	Rule struct {
		Kind Kind `json:"kind"`
		// Operations that the rule applies to; empty for all.
		Operations []string `json:"operations,omitempty"`
		// Caller is the X-Caller header that the rule applies to; empty for all.
		Caller string `json:"caller,omitempty"`
		// Calls is how many calls the rule applies to; 0 until it is cleared.
		Calls int `json:"calls,omitempty"`
		// Delay is used by Slow and Late, in nanoseconds.
		Delay time.Duration `json:"delay,omitempty"`
	}

	// Switch holds the rules of one stand-in. The first matching rule that is
	// not Slow applies, after the delays of all matching rules.
	Switch struct {
		// Clock is set before the first use.
		Clock mulberryspool.Clock
		// Operations names those of the stand-in, each with the kinds that it
		// supports besides the general ones. It is set before the first use.
		Operations map[string][]Kind

		mu      sync.Mutex
		rules   []Rule
		cleared chan struct{}
	}

	// Effect is what happens to one call.
	Effect struct {
		// Kind is empty for a call without a fault.
		Kind Kind
		// Delay comes before the call takes effect.
		Delay time.Duration
		// Late is the delay of a call whose kind is Late.
		Late time.Duration
		// Cleared is closed when the rules are cleared.
		Cleared <-chan struct{}
	}

	// discardedAnswer takes an answer that is never sent.
	discardedAnswer struct {
		header http.Header
	}
)

// general are the kinds that work for each operation.
var general = []Kind{Refuse, Unavailable, Hang, Slow, LoseAnswer, HangAnswer}

// Add switches a fault on.
func (s *Switch) Add(rule Rule) error {
	if err := s.check(rule); err != nil {
		return err
	}
	if rule.Calls < 0 || rule.Delay < 0 {
		return errors.Newf("fault calls %d and delay %v must not be negative", rule.Calls, rule.Delay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = append(s.rules, rule)
	return nil
}

// check keeps a rule that would never have an effect from being accepted.
func (s *Switch) check(rule Rule) error {
	var supported []Kind
	for operation, special := range s.Operations {
		if rule.applies(operation) {
			supported = append(supported, special...)
		}
	}
	for _, operation := range rule.Operations {
		if _, found := s.Operations[operation]; !found {
			return errors.Newf("fault is for unknown operation %q", operation)
		}
	}
	if !slices.Contains(general, rule.Kind) && !slices.Contains(supported, rule.Kind) {
		return errors.Newf("fault kind %q is not supported, want one of %q", rule.Kind, append(supported, general...))
	}
	return nil
}

// Clear switches all faults off and ends the calls that hang.
func (s *Switch) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = nil
	if s.cleared != nil {
		close(s.cleared)
		s.cleared = nil
	}
}

// Rules returns the rules that are switched on.
func (s *Switch) Rules() []Rule {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.rules)
}

// Take uses up one call of each rule that applies.
func (s *Switch) Take(operation, caller string) Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cleared == nil {
		s.cleared = make(chan struct{})
	}
	effect := Effect{Cleared: s.cleared}
	kept := s.rules[:0]
	for _, r := range s.rules {
		if !r.matches(operation, caller) || (r.Kind != Slow && effect.Kind != "") {
			kept = append(kept, r)
			continue
		}
		if r.Kind == Slow {
			effect.Delay += r.Delay
		} else {
			effect.Kind = r.Kind
			if r.Kind == Late {
				effect.Late = r.Delay
			}
		}
		if r.Calls == 1 {
			continue
		}
		if r.Calls > 1 {
			r.Calls--
		}
		kept = append(kept, r)
	}
	s.rules = kept
	return effect
}

// Register adds the admin interface of the rules to a router.
func (s *Switch) Register(router *mux.Router) {
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Rules())
	}).Methods(http.MethodGet)
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, r *http.Request) {
		var rule Rule
		if !serve.ReadJSON(w, r, &rule) {
			return
		}
		if err := s.Add(rule); err != nil {
			serve.WriteError(w, http.StatusBadRequest, "invalidFault", err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, _ *http.Request) {
		s.Clear()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
}

// Wrap applies the faults to the calls of an operation.
func (s *Switch) Wrap(operation string, next func(http.ResponseWriter, *http.Request, Effect)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		effect := s.Take(operation, r.Header.Get(serve.CallerHeader))
		if effect.Delay > 0 && !Sleep(r.Context(), s.Clock, effect.Delay) {
			panic(http.ErrAbortHandler)
		}
		switch effect.Kind {
		case Refuse:
			panic(http.ErrAbortHandler)
		case Unavailable:
			serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the service is switched off")
		case Hang:
			// The server notices that the caller went away only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			effect.Wait(r.Context())
			panic(http.ErrAbortHandler)
		case LoseAnswer:
			next(&discardedAnswer{header: make(http.Header)}, r, effect)
			panic(http.ErrAbortHandler)
		case HangAnswer:
			next(&discardedAnswer{header: make(http.Header)}, r, effect)
			effect.Wait(r.Context())
			panic(http.ErrAbortHandler)
		default:
			next(w, r, effect)
		}
	}
}

// Wait returns when the context ends or the rules are cleared.
func (e Effect) Wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Cleared:
	}
}

// Sleep returns false if the context ended before the time was over.
func Sleep(ctx context.Context, clock mulberryspool.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

func (r Rule) matches(operation, caller string) bool {
	return (r.Caller == "" || r.Caller == caller) && r.applies(operation)
}

func (r Rule) applies(operation string) bool {
	return len(r.Operations) == 0 || slices.Contains(r.Operations, operation)
}

// Header implements http.ResponseWriter.
func (d *discardedAnswer) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedAnswer) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedAnswer) WriteHeader(int) {}
