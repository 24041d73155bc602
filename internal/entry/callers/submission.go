package callers

import (
	"bytes"
	"encoding/json"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
)

const (
	// bytesPerToken is the usual ratio for text. It is used only for estimates.
	bytesPerToken = 4
	// defaultOutputTokens is assumed for chat requests that set no maximum.
	defaultOutputTokens = 256
	// prefixBytes is the length of the part of the messages that is hashed, to
	// find an agent that is likely to have the prompt's prefix in its cache.
	prefixBytes = 1024
	// maxHeaderValueBytes limits Idempotency-Key and X-Workspace.
	maxHeaderValueBytes = 256
)

// requestIDPattern matches valid values of X-Request-ID, which become part of
// object names and logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// chatRequest holds the fields of a chat request that the entry reads. The body
// is forwarded unchanged.
type chatRequest struct {
	Model               string         `json:"model"`
	Stream              bool           `json:"stream"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Messages            messagesPrefix `json:"messages"`
}

// messagesPrefix is the first part of the messages, in JSON.
type messagesPrefix []byte

// UnmarshalJSON implements json.Unmarshaler.
func (p *messagesPrefix) UnmarshalJSON(data []byte) error {
	*p = bytes.Clone(data[:min(len(data), prefixBytes)])
	return nil
}

// requestID returns the caller's request ID, or generates one.
func requestID(request *http.Request) (mulberryspool.RequestID, error) {
	given := request.Header.Get(HeaderRequestID)
	if given == "" {
		return mulberryspool.RequestID(uuid.NewString()), nil
	}
	if !requestIDPattern.MatchString(given) {
		return mulberryspool.RequestID(uuid.NewString()), errors.Newf("%s must match %s", HeaderRequestID, requestIDPattern)
	}
	return mulberryspool.RequestID(given), nil
}

// readBody reads at most MaxBody bytes. The body must be released unless the request is refused.
func (s *Server) readBody(w http.ResponseWriter, request *http.Request) (*bodybudget.Body, *dispatch.Error) {
	if request.ContentLength > s.MaxBody {
		refusal := s.bodyTooLarge()
		return nil, &refusal
	}
	body, err := s.Bodies.Read(http.MaxBytesReader(w, request.Body, s.MaxBody), request.ContentLength, s.MaxBody+1)
	if err == nil {
		return body, nil
	}
	body.Release()
	refusal := s.bodyError(err)
	return nil, &refusal
}

// bodyError returns the refusal of a request whose body could not be read.
func (s *Server) bodyError(err error) dispatch.Error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return s.bodyTooLarge()
	case errors.Is(err, bodybudget.ErrFull), errors.Is(err, httpguard.ErrNoMemory):
		return retryableError(CodeNoMemory, "this entry has no memory for the body")
	case errors.Is(err, httpguard.ErrNoProgress):
		return notRunError(CodeBodyStalled, "the body did not arrive")
	}
	return notRunError(CodeBadRequest, "the body could not be read: "+err.Error())
}

func (s *Server) bodyTooLarge() dispatch.Error {
	return notRunError(CodeBodyTooLarge, "the body is larger than "+strconv.FormatInt(s.MaxBody, 10)+" bytes")
}

// chatSubmission converts the body of a chat request, and reports whether a
// stream is requested.
func (s *Server) chatSubmission(body []byte) (dispatch.Submission, bool, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return dispatch.Submission{}, false, errors.Wrap(err, "the body is no chat request in JSON")
	}
	if chat.Model == "" {
		return dispatch.Submission{}, false, errors.New("the field model is missing")
	}
	output := max(chat.MaxTokens, chat.MaxCompletionTokens)
	if output <= 0 {
		output = defaultOutputTokens
	}
	return dispatch.Submission{
		Route:       chat.Model,
		Method:      http.MethodPost,
		Path:        chatPath,
		ContentType: "application/json",
		Body:        body,
		Prefix:      xxhash.Sum64(chat.Messages),
		Tokens:      len(body)/bytesPerToken + output,
		Buffered:    !chat.Stream,
	}, chat.Stream, nil
}

// plainSubmission converts a request to a plain route.
func plainSubmission(request *http.Request, body []byte) dispatch.Submission {
	path := "/" + mux.Vars(request)["rest"]
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	return dispatch.Submission{
		Route:       mux.Vars(request)["route"],
		Method:      request.Method,
		Path:        path,
		ContentType: request.Header.Get("Content-Type"),
		Body:        body,
		Tokens:      1 + len(body)/bytesPerToken,
		// An HTTP/1.0 client can't tell a complete body from a truncated one,
		// and a response to HEAD has no body that could be left incomplete.
		Buffered: !request.ProtoAtLeast(1, 1) || request.Method == http.MethodHead,
	}
}

// applyHeaders sets the fields of the submission that depend on the route and on
// the request's headers.
func (s *Server) applyHeaders(submission *dispatch.Submission, route mulberryspool.Route, header http.Header) error {
	submission.Workspace = header.Get(HeaderWorkspace)
	key := header.Get(HeaderIdempotencyKey)
	if len(submission.Workspace) > maxHeaderValueBytes || len(key) > maxHeaderValueBytes {
		return errors.Newf("%s and %s are at most %d bytes", HeaderWorkspace, HeaderIdempotencyKey, maxHeaderValueBytes)
	}
	if key != "" {
		// Quoting makes the key unambiguous whatever the three parts contain.
		submission.IdempotencyKey = strings.Join([]string{strconv.Quote(route.Name), strconv.Quote(submission.Workspace), strconv.Quote(key)}, "/")
	}
	if text := header.Get(HeaderDeadline); text != "" {
		remaining, err := time.ParseDuration(text)
		if err != nil || remaining <= 0 {
			return errors.Newf("%s must be a positive duration such as 30s, not %q", HeaderDeadline, text)
		}
		submission.Deadline = s.Clock.Now().Add(remaining)
	}
	submission.Priority = route.Priority
	if text := header.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 {
			return errors.Newf("%s must be a number from 0, not %q", HeaderPriority, text)
		}
		// A caller may lower the priority of the route but not raise it.
		submission.Priority = min(priority, route.Priority)
	}
	return nil
}
