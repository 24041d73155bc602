package mulberryspool

import "time"

type (
	// AdmissionRequest is what an Admission looks at.
	AdmissionRequest struct {
		ID        RequestID
		Workspace string
		// Priority is higher for work that is admitted first.
		Priority int
		// Tokens estimates the size of the request.
		Tokens   int
		Deadline time.Time
	}

	// AdmissionDecision answers an offer.
	AdmissionDecision struct {
		// Admitted requests may be sent at once.
		Admitted bool
		// Queued requests are returned by a later call of Next, or time out.
		Queued bool
		// RetryAfter is a hint for a refused caller.
		RetryAfter time.Duration
		// Reason says why a request is refused.
		Reason string
	}

	// Admission limits the requests in flight of one pool, fairly between
	// workspaces. It is a plain data structure: it reads no clock and is used
	// by one goroutine.
	Admission interface {
		// SetCapacity bounds the estimated tokens in flight and says how many
		// are worked off a second.
		SetCapacity(tokens int, tokensPerSecond float64)
		Offer(request AdmissionRequest, now time.Time) AdmissionDecision
		// Next returns queued requests that are admitted now, and those whose
		// deadline can no longer be met, which are refused.
		Next(now time.Time) (admitted, expired []RequestID)
		// Release ends an admitted request or removes a queued one.
		Release(id RequestID, now time.Time)
		// AllowRetry takes one retry from the budget.
		AllowRetry(now time.Time) bool
	}
)
