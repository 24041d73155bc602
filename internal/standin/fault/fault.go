// Package fault injects faults into the calls to a stand-in.
//
//	test --Add or POST /admin/faults--> Injector
//	call --Wrap--> NextEffect finds matching rules --> delay, close the connection, hang,
//	                                                   respond 503, or run the call and
//	                                                   discard its response
//
// Each stand-in implements the kinds that alter the content of a response itself.
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

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// Refuse closes the connection without handling the call.
	Refuse Kind = "refuse"
	// Unavailable responds with status 503 without handling the call.
	Unavailable Kind = "unavailable"
	// Hang neither handles the call nor responds to it until the rules are
	// cleared or the client disconnects, then closes the connection.
	Hang Kind = "hang"
	// Slow delays the handling of the call by Rule.Delay.
	Slow Kind = "slow"
	// LoseAnswer handles the call, then closes the connection without a response.
	LoseAnswer Kind = "loseAnswer"
	// HangAnswer handles the call, then hangs in place of responding.
	HangAnswer Kind = "hangAnswer"
	// Stall sends half of the content, then nothing, and keeps the connection open.
	Stall Kind = "stall"
	// Truncate sends half of the content, then closes the connection.
	Truncate Kind = "truncate"
	// EndEarly sends half of the content, then ends the response as if it were complete.
	EndEarly Kind = "endEarly"
	// Corrupt changes a byte of the content.
	Corrupt Kind = "corrupt"
	// ApplyLate applies the operation after Rule.Delay, even if the client has
	// disconnected.
	ApplyLate Kind = "late"
	// Fail makes the operation fail with an error that is specific to the stand-in.
	Fail Kind = "fail"
)

// AdminPath is the path at which a stand-in's admin interface serves the fault rules.
const AdminPath = "/admin/faults"

type (
	// Rule selects the calls that a fault is injected into.
	Rule struct {
		Kind Kind `json:"kind"`
		// Operations lists the operations that the rule applies to; empty for all.
		Operations []string `json:"operations,omitempty"`
		// Caller is the value of the X-Caller header that the rule applies to;
		// empty for all.
		Caller string `json:"caller,omitempty"`
		// Calls is the number of calls that the rule applies to; with 0, it
		// applies until it is cleared.
		Calls int `json:"calls,omitempty"`
		// Delay is used by Slow and ApplyLate, in nanoseconds.
		Delay time.Duration `json:"delay,omitempty"`
	}

	// Injector holds the fault rules of one stand-in and applies them to the
	// calls. The delays of all matching Slow rules add up; of the other
	// kinds, only the first matching rule applies, after these delays.
	Injector struct {
		// Clock must be set before the first use.
		Clock mulberryspool.Clock
		// Operations lists the operations of the stand-in, each with the kinds
		// that it supports besides commonKinds. It must be set before the
		// first use.
		Operations map[string][]Kind

		mu      sync.Mutex
		rules   []Rule
		cleared chan struct{}
	}

	// Effect is the combined effect of the rules on one call.
	Effect struct {
		// Kind is empty for a call without a fault.
		Kind Kind
		// Delay passes before the call is handled.
		Delay time.Duration
		// Late is the delay before the operation is applied, for the kind ApplyLate.
		Late time.Duration
		// Cleared is closed when the rules are cleared.
		Cleared <-chan struct{}
	}

	// discardedResponse is an http.ResponseWriter that discards the response.
	discardedResponse struct {
		header http.Header
	}
)

// commonKinds lists the kinds that every operation supports.
var commonKinds = []Kind{Refuse, Unavailable, Hang, Slow, LoseAnswer, HangAnswer}

// Add validates a rule and puts it in force.
func (i *Injector) Add(rule Rule) error {
	if err := i.validate(rule); err != nil {
		return err
	}
	if rule.Calls < 0 || rule.Delay < 0 {
		return errors.Newf("fault calls %d and delay %v must not be negative", rule.Calls, rule.Delay)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules = append(i.rules, rule)
	return nil
}

// validate returns an error for a rule that could never take effect.
func (i *Injector) validate(rule Rule) error {
	var supported []Kind
	for operation, specific := range i.Operations {
		if rule.appliesTo(operation) {
			supported = append(supported, specific...)
		}
	}
	for _, operation := range rule.Operations {
		if _, found := i.Operations[operation]; !found {
			return errors.Newf("fault is for unknown operation %q", operation)
		}
	}
	if !slices.Contains(commonKinds, rule.Kind) && !slices.Contains(supported, rule.Kind) {
		return errors.Newf("fault kind %q is not supported, want one of %q", rule.Kind, append(supported, commonKinds...))
	}
	return nil
}

// Clear removes all rules and ends the calls that hang.
func (i *Injector) Clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules = nil
	if i.cleared != nil {
		close(i.cleared)
		i.cleared = nil
	}
}

// Rules returns the rules in force.
func (i *Injector) Rules() []Rule {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.rules)
}

// NextEffect returns the effect on the next call of an operation and counts
// the call against each rule that applies to it.
func (i *Injector) NextEffect(operation, caller string) Effect {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cleared == nil {
		i.cleared = make(chan struct{})
	}
	effect := Effect{Cleared: i.cleared}
	remaining := i.rules[:0]
	for _, r := range i.rules {
		if !r.matches(operation, caller) || (r.Kind != Slow && effect.Kind != "") {
			remaining = append(remaining, r)
			continue
		}
		if r.Kind == Slow {
			effect.Delay += r.Delay
		} else {
			effect.Kind = r.Kind
			if r.Kind == ApplyLate {
				effect.Late = r.Delay
			}
		}
		if r.Calls == 1 {
			continue
		}
		if r.Calls > 1 {
			r.Calls--
		}
		remaining = append(remaining, r)
	}
	i.rules = remaining
	return effect
}

// Register adds the handlers of AdminPath to a router.
func (i *Injector) Register(router *mux.Router) {
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, i.Rules())
	}).Methods(http.MethodGet)
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, r *http.Request) {
		var rule Rule
		if !serve.ReadJSON(w, r, &rule) {
			return
		}
		if err := i.Add(rule); err != nil {
			serve.WriteError(w, http.StatusBadRequest, "invalidFault", err.Error())
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPost)
	router.HandleFunc(AdminPath, func(w http.ResponseWriter, _ *http.Request) {
		i.Clear()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
}

// Wrap returns a handler that applies the rules to the calls of an operation.
// The kinds that Wrap does not implement are passed on to next.
func (i *Injector) Wrap(operation string, next func(http.ResponseWriter, *http.Request, Effect)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		effect := i.NextEffect(operation, r.Header.Get(serve.CallerHeader))
		if effect.Delay > 0 && !Sleep(r.Context(), i.Clock, effect.Delay) {
			panic(http.ErrAbortHandler)
		}
		switch effect.Kind {
		case Refuse:
			panic(http.ErrAbortHandler)
		case Unavailable:
			serve.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the service is switched off")
		case Hang:
			// net/http detects that the client disconnected only after the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			effect.WaitCleared(r.Context())
			panic(http.ErrAbortHandler)
		case LoseAnswer:
			next(&discardedResponse{header: make(http.Header)}, r, effect)
			panic(http.ErrAbortHandler)
		case HangAnswer:
			next(&discardedResponse{header: make(http.Header)}, r, effect)
			effect.WaitCleared(r.Context())
			panic(http.ErrAbortHandler)
		default:
			next(w, r, effect)
		}
	}
}

// WaitCleared blocks until the context ends or the rules are cleared.
func (e Effect) WaitCleared(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Cleared:
	}
}

// Sleep waits for a duration. It returns false if the context ends first.
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
	return (r.Caller == "" || r.Caller == caller) && r.appliesTo(operation)
}

func (r Rule) appliesTo(operation string) bool {
	return len(r.Operations) == 0 || slices.Contains(r.Operations, operation)
}

// Header implements http.ResponseWriter.
func (d *discardedResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discardedResponse) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discardedResponse) WriteHeader(int) {}
