package local

import (
	"fmt"
	"net/http"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
)

// observedOutcome returns the outcome of a request as seen by its caller and,
// unless the request is done, the reason.
func observedOutcome(r caller.Result) (outcome mulberryspool.Outcome, detail string) {
	text, done, err := r.Text()
	switch {
	case r.Refusal.Type != "":
		return r.Refusal.Type, r.Refusal.Message
	case r.Err != nil:
		return mulberryspool.OutcomeUnknown, r.Err.Error()
	case r.Status != http.StatusOK || err != nil || !done:
		return mulberryspool.OutcomeFailed, fmt.Sprintf("status %d, answer without its end: %s", r.Status, r.ResponseBody)
	}
	want, err := engine.ExpectedAnswer([]byte(r.RequestBody), r.Weights)
	if err != nil || text != want {
		return mulberryspool.OutcomeFailed, fmt.Sprintf("answer %q is not the expected %q", text, want)
	}
	return mulberryspool.OutcomeDone, ""
}
