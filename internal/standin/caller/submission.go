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

const idempotencyKeyHeader = "Idempotency-Key"

type (
	// Submission is one attempt to have a plain service execute a call once.
	Submission struct {
		// Key is sent as the idempotency key and as the body.
		Key string
		ID  mulberryspool.RequestID
	}

	// SubmissionResult is what a caller received for a submission.
	SubmissionResult struct {
		Outcome mulberryspool.Outcome
		// ExecutedID is the ID of the request whose execution produced the
		// response.
		ExecutedID mulberryspool.RequestID
		Detail     string
	}
)

// Submit sends a submission to a URL. The HTTP client must use a new connection
// for each request: after a failure on a reused connection, net/http itself sends
// a request with an Idempotency-Key again. A refused connection would then not
// prove that the entry never received the request.
func (c *Caller) Submit(ctx context.Context, url string, s Submission) SubmissionResult {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.Key))
	if err != nil {
		return SubmissionResult{Outcome: mulberryspool.OutcomeNotRun, Detail: err.Error()}
	}
	request.Header.Set(requestIDHeader, string(s.ID))
	if s.Key != "" {
		request.Header.Set(idempotencyKeyHeader, s.Key)
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
	return parseSubmission(response.StatusCode, body)
}

// parseSubmission derives the result from a response that was read to its end.
func parseSubmission(status int, body []byte) SubmissionResult {
	if status == http.StatusOK {
		var done plainservice.Answer
		if err := json.Unmarshal(body, &done); err != nil {
			// The checks reject a response without the ID of an execution.
			return SubmissionResult{Outcome: mulberryspool.OutcomeDone, Detail: string(body)}
		}
		return SubmissionResult{Outcome: mulberryspool.OutcomeDone, ExecutedID: done.RequestID}
	}
	var refused errorBody
	if err := json.Unmarshal(body, &refused); err != nil || refused.Error.Type == "" {
		return SubmissionResult{Outcome: mulberryspool.OutcomeUnknown, Detail: string(body)}
	}
	return SubmissionResult{Outcome: refused.Error.Type, Detail: refused.Error.Code + ": " + refused.Error.Message}
}
