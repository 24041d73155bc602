package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
)

const headerIdempotencyKey = "Idempotency-Key"

type (
	// Submission is a try to have something done once by a plain service.
	Submission struct {
		// Key is the idempotency key and the body.
		Key string
		ID  mulberryspool.RequestID
	}

	// SubmissionResult is what the caller saw.
	SubmissionResult struct {
		Outcome mulberryspool.Outcome
		// Executed is the request whose execution the answer came from.
		Executed mulberryspool.RequestID
		Detail   string
	}
)

// Submit sends a keyed submission to a URL. The HTTP client must use a
// connection for each request: on a kept one net/http itself sends a request
// with an Idempotency-Key again, so that a refused connection would not show
// that the entry never got it.
func (c *Caller) Submit(ctx context.Context, url string, s Submission) SubmissionResult {
	limit := c.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.Key))
	if err != nil {
		return SubmissionResult{Outcome: mulberryspool.OutcomeNotRun, Detail: err.Error()}
	}
	request.Header.Set(headerRequestID, string(s.ID))
	if s.Key != "" {
		request.Header.Set(headerIdempotencyKey, s.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return SubmissionResult{Outcome: mulberryspool.OutcomeNotRun, Detail: err.Error()}
		}
		return SubmissionResult{Outcome: mulberryspool.OutcomeUnknown, Detail: err.Error()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return SubmissionResult{Outcome: mulberryspool.OutcomeUnknown, Detail: err.Error()}
	}
	return readSubmission(response.StatusCode, body)
}

func readSubmission(status int, body []byte) SubmissionResult {
	if status == http.StatusOK {
		var done plainservice.Answer
		if err := json.Unmarshal(body, &done); err != nil {
			// Without the ID of an execution no check accepts the answer.
			return SubmissionResult{Outcome: mulberryspool.OutcomeDone, Detail: string(body)}
		}
		return SubmissionResult{Outcome: mulberryspool.OutcomeDone, Executed: done.RequestID}
	}
	var refused errorBody
	if err := json.Unmarshal(body, &refused); err != nil || refused.Error.Type == "" {
		return SubmissionResult{Outcome: mulberryspool.OutcomeUnknown, Detail: string(body)}
	}
	return SubmissionResult{Outcome: refused.Error.Type, Detail: refused.Error.Code + ": " + refused.Error.Message}
}
