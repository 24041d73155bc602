package mulberryspool

import "time"

type (
	// AdmissionRequest describes a request to an Admission.
	AdmissionRequest struct {
		ID        RequestID
		Workspace string
		// Priority is higher for work that is admitted first.
		Priority int
		// Tokens estimates the size of the request.
		Tokens   int
		Deadline time.Time
	}

	// AdmissionDecision is the result of Admission.Offer.
	AdmissionDecision struct {
		// Admitted means that the request may be sent at once.
		Admitted bool
		// Queued means that a later call of Next returns the request, as admitted
		// or as expired.
		Queued bool
		// RetryAfter is the suggested delay before the caller of a refused request
		// tries again.
		RetryAfter time.Duration
		// Reason is why the request is refused.
		Reason string
	}

	// Admission limits the requests in flight of one pool and shares the capacity
	// fairly between workspaces. It does no I/O, reads no clock and is not safe for
	// concurrent use.
	Admission interface {
		// SetCapacity sets the maximum of estimated tokens in flight and the number
		// of tokens processed per second.
		SetCapacity(tokens int, tokensPerSecond float64)
		Offer(request AdmissionRequest, now time.Time) AdmissionDecision
		// Next removes requests from the queue: those that are admitted now, and
		// those refused because their deadline can no longer be met.
		Next(now time.Time) (admitted, expired []RequestID)
		// Release ends an admitted request or removes a queued one.
		Release(id RequestID, now time.Time)
		// AllowRetry takes one retry from the retry budget. It returns false if the
		// budget is used up.
		AllowRetry(now time.Time) bool
	}
)
