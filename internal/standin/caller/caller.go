// Package caller stands in for callers. It sends streamed requests to chat routes
// and calls with an idempotency key to routes of plain services, reads each
// response to its end and returns the result. Tests compare the results with the
// records of the backend servers.
//
//	LoadGenerator --> Caller.SendChat --POST /v1/chat/completions--> entry
//	                         \--> Result --> compared with engine.Execution
package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultTimeout bounds a whole request. It keeps a request that hangs from
	// blocking its caller, and is far above the timeouts of routes.
	DefaultTimeout = 60 * time.Second

	requestIDHeader = "X-Request-ID"
	workspaceHeader = "X-Workspace"
	weightsTrailer  = "X-Weights-Digest"
	dataPrefix      = "data: "
	doneMarker      = "[DONE]"
)

type (
	// Caller sends requests. Its exported fields must be set before the first
	// request.
	Caller struct {
		HTTP *http.Client
		// Workspace is sent with each request, unless it is empty.
		Workspace string
		// Timeout bounds a whole request. It defaults to DefaultTimeout.
		Timeout time.Duration
	}

	// Result is what a caller received for one request.
	Result struct {
		ID, RequestBody string
		// Status is the HTTP status; 0 if there was no response.
		Status int
		// ResponseBody is the response body, as far as it was read.
		ResponseBody string
		// Weights is the digest in the trailer X-Weights-Digest.
		Weights mulberryspool.Digest
		// Err is set if there was no response, or if its body could not be
		// read to the end.
		Err error
		// TimedOut is set if the request did not end within the timeout.
		TimedOut bool
		// Refusal is the error reported by the entry, in the body of an error
		// response or in the last event of a stream.
		Refusal Refusal
	}

	// Refusal is an error that the entry reports.
	Refusal struct {
		Type    mulberryspool.Outcome `json:"type"`
		Code    string                `json:"code"`
		Message string                `json:"message"`
	}

	errorBody struct {
		Error Refusal `json:"error"`
	}

	// chatEvent is one event of a streamed response.
	chatEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
)

// SendChat sends a streamed chat request and reads its response to the end.
func (c *Caller) SendChat(ctx context.Context, entry, id, body string) Result {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := Result{ID: id, RequestBody: body}
	c.exchange(ctx, entry, &result)
	result.TimedOut = ctx.Err() != nil
	result.parseRefusal()
	return result
}

// exchange fills in the result from the HTTP exchange.
func (c *Caller) exchange(ctx context.Context, entry string, result *Result) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(result.RequestBody))
	if err != nil {
		result.Err = err
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(requestIDHeader, result.ID)
	if c.Workspace != "" {
		request.Header.Set(workspaceHeader, c.Workspace)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		result.Err = err
		return
	}
	defer response.Body.Close()
	stream, err := io.ReadAll(response.Body)
	result.Status, result.ResponseBody, result.Err = response.StatusCode, string(stream), err
	result.Weights = mulberryspool.Digest(response.Trailer.Get(weightsTrailer))
}

// parseRefusal sets the refusal from the body or from the last event.
func (r *Result) parseRefusal() {
	var body errorBody
	if r.Status != http.StatusOK {
		// A body of another format leaves the refusal empty.
		_ = json.Unmarshal([]byte(r.ResponseBody), &body)
	}
	for line := range strings.Lines(r.ResponseBody) {
		// The status of a stream that fails after its start is 200; its last
		// event carries the error.
		if data, found := strings.CutPrefix(line, dataPrefix); found && strings.HasPrefix(data, `{"error"`) {
			_ = json.Unmarshal([]byte(data), &body)
		}
	}
	r.Refusal = body.Error
}

// Text concatenates the contents of the stream's events. done reports whether the
// stream contained the end marker [DONE]. An incomplete last line is ignored.
func (r *Result) Text() (text string, done bool, err error) {
	var joined strings.Builder
	completeLines := r.ResponseBody[:strings.LastIndexByte(r.ResponseBody, '\n')+1]
	for line := range strings.Lines(completeLines) {
		data, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), dataPrefix)
		if !found {
			continue
		}
		if data == doneMarker {
			return joined.String(), true, nil
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return "", false, mulberryspool.AtStep(err, "decode event "+data, "")
		}
		for _, c := range e.Choices {
			joined.WriteString(c.Delta.Content)
		}
	}
	return joined.String(), false, nil
}

// Finished reports whether the response looks complete.
func (r *Result) Finished() bool {
	_, done, _ := r.Text()
	return r.Status == http.StatusOK && (done || r.Err == nil)
}
