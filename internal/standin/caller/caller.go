// Package caller stands in for callers of chat routes: it sends streamed
// requests, reads each answer to its end and keeps what it saw.
//
//	Load --> Caller.Ask --POST /v1/chat/completions--> entry
//	              \--> Result --> checks against the engines' records
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
	// DefaultLimit keeps a request that hangs from blocking its caller; it is
	// far above the timeouts of routes.
	DefaultLimit = 60 * time.Second

	headerRequestID = "X-Request-ID"
	headerWorkspace = "X-Workspace"
	trailerWeights  = "X-Weights-Digest"
	dataPrefix      = "data: "
	endMarker       = "[DONE]"
)

type (
	// Caller sends requests. Set the exported fields before the first one.
	Caller struct {
		HTTP *http.Client
		// Workspace is sent with each request; empty for none.
		Workspace string
		// Limit bounds a request; DefaultLimit when 0.
		Limit time.Duration
	}

	// Result is what a caller saw of one request.
	Result struct {
		ID, Body string
		// Status is 0 if no answer came.
		Status int
		// Stream is the body as it was read.
		Stream  string
		Weights mulberryspool.Digest
		// Failure is set when the answer was not read to its end.
		Failure error
		// Hung is set when the request was not over within the limit.
		Hung bool
		// Refusal is the error that the entry told, in the body or in the
		// last event of a stream.
		Refusal Refusal
	}

	// Refusal is the error of an answer.
	Refusal struct {
		Type    mulberryspool.Outcome `json:"type"`
		Code    string                `json:"code"`
		Message string                `json:"message"`
	}

	errorBody struct {
		Error Refusal `json:"error"`
	}

	// event is a piece of a streamed answer.
	event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
)

// Ask sends one streamed request and reads its answer to the end.
func (c *Caller) Ask(ctx context.Context, entry, id, body string) Result {
	limit := c.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	result := Result{ID: id, Body: body}
	c.ask(ctx, entry, &result)
	result.Hung = ctx.Err() != nil
	result.readRefusal()
	return result
}

func (c *Caller) ask(ctx context.Context, entry string, result *Result) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(result.Body))
	if err != nil {
		result.Failure = err
		return
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, result.ID)
	if c.Workspace != "" {
		request.Header.Set(headerWorkspace, c.Workspace)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		result.Failure = err
		return
	}
	defer response.Body.Close()
	stream, err := io.ReadAll(response.Body)
	result.Status, result.Stream, result.Failure = response.StatusCode, string(stream), err
	result.Weights = mulberryspool.Digest(response.Trailer.Get(trailerWeights))
}

func (r *Result) readRefusal() {
	var body errorBody
	if r.Status != http.StatusOK {
		// What is no error body leaves the refusal empty.
		_ = json.Unmarshal([]byte(r.Stream), &body)
	}
	for line := range strings.Lines(r.Stream) {
		// A stream that breaks off after its start carries the error in its last event.
		if data, found := strings.CutPrefix(line, dataPrefix); found && strings.HasPrefix(data, `{"error"`) {
			_ = json.Unmarshal([]byte(data), &body)
		}
	}
	r.Refusal = body.Error
}

// Text joins the pieces of the stream; done says whether the end marker was
// there. A last line that was cut is left out.
func (r *Result) Text() (text string, done bool, err error) {
	var joined strings.Builder
	whole := r.Stream[:strings.LastIndexByte(r.Stream, '\n')+1]
	for line := range strings.Lines(whole) {
		data, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), dataPrefix)
		if !found {
			continue
		}
		if data == endMarker {
			return joined.String(), true, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return "", false, mulberryspool.AtStep(err, "decode event "+data, "")
		}
		for _, c := range e.Choices {
			joined.WriteString(c.Delta.Content)
		}
	}
	return joined.String(), false, nil
}

// Finished reports whether the answer looks complete.
func (r *Result) Finished() bool {
	_, done, _ := r.Text()
	return r.Status == http.StatusOK && (done || r.Failure == nil)
}
