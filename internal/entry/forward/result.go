package forward

// Results of an attempt.
const (
	// resultFinished means that the response is complete.
	resultFinished attemptResult = iota
	// resultPromptRefused means that the prompt is kept from backend servers.
	resultPromptRefused
	// resultNotPlaced means that no backend server had a place.
	resultNotPlaced
	// resultWithheld means that no byte was sent, because the backend server takes no
	// requests since the placement, or there is no retry budget.
	resultWithheld
	// resultNotSent means that no byte of the request was sent.
	resultNotSent
	// resultNotRun means that the backend server rejected the request without
	// running it.
	resultNotRun
	// resultUnknown means that the request may have run.
	resultUnknown
	// resultServerError means that the backend server responded with a 5xx status.
	resultServerError
	// resultBrokenOff means that a response broke off that had been passed on in part and
	// can't be resumed.
	resultBrokenOff
)

// attemptResult is how an attempt ended.
type attemptResult int

// String returns the result as it appears in log lines.
func (r attemptResult) String() string {
	switch r {
	case resultPromptRefused:
		return "promptRefused"
	case resultNotPlaced:
		return "notPlaced"
	case resultWithheld:
		return "withheld"
	case resultNotSent:
		return "notSent"
	case resultNotRun:
		return "notRun"
	case resultServerError:
		return "serverError"
	case resultFinished:
		return "finished"
	}
	return "lost"
}
