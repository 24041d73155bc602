package callers

import (
	"encoding/json"
	"io"
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
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

const (
	// bytesPerToken is the usual ratio for text; it only feeds estimates.
	bytesPerToken = 4
	// defaultOutputTokens is assumed for chats that set no maximum.
	defaultOutputTokens = 256
	// prefixBytes of the messages decide which agent is likely to hold the prompt's prefix.
	prefixBytes = 1024
	// maxKeyBytes bounds Idempotency-Key and X-Workspace.
	maxKeyBytes = 256
)

// requestIDs are what X-Request-ID may be; they name objects and appear in logs.
var requestIDs = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// chatRequest is what the entry reads of a chat request; the rest is passed on.
type chatRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

// requestID takes the caller's ID or makes one.
func requestID(request *http.Request) (mulberryspool.RequestID, error) {
	given := request.Header.Get(HeaderRequestID)
	if given == "" {
		return mulberryspool.RequestID(uuid.NewString()), nil
	}
	if !requestIDs.MatchString(given) {
		return mulberryspool.RequestID(uuid.NewString()), errors.Newf("%s must match %s", HeaderRequestID, requestIDs)
	}
	return mulberryspool.RequestID(given), nil
}

// readBody reads at most MaxBody bytes.
func (f *Front) readBody(w http.ResponseWriter, request *http.Request) ([]byte, *dispatch.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, f.MaxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refused := notRun(CodeBodyTooLarge, "the body is larger than "+strconv.FormatInt(f.MaxBody, 10)+" bytes")
		return nil, &refused
	}
	refused := notRun(CodeBadRequest, "the body could not be read: "+err.Error())
	return nil, &refused
}

// chatSubmission reads a chat request.
func (f *Front) chatSubmission(body []byte) (dispatch.Submission, bool, error) {
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
	prefix := chat.Messages[:min(len(chat.Messages), prefixBytes)]
	return dispatch.Submission{
		Route:       chat.Model,
		Method:      http.MethodPost,
		Path:        chatPath,
		ContentType: "application/json",
		Body:        body,
		Prefix:      xxhash.Sum64(prefix),
		Tokens:      len(body)/bytesPerToken + output,
		Buffered:    !chat.Stream,
	}, chat.Stream, nil
}

// plainSubmission reads a request to a plain route.
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
		// HTTP/1.0 can't tell a whole body from a cut one, and HEAD has no
		// body whose end could be withheld.
		Buffered: !request.ProtoAtLeast(1, 1) || request.Method == http.MethodHead,
	}
}

// takeHeaders fills in what the headers say. The route is known to exist.
func (f *Front) takeHeaders(sub *dispatch.Submission, route mulberryspool.Route, header http.Header) error {
	sub.Workspace = header.Get(HeaderWorkspace)
	key := header.Get(HeaderKey)
	if len(sub.Workspace) > maxKeyBytes || len(key) > maxKeyBytes {
		return errors.Newf("%s and %s are at most %d bytes", HeaderWorkspace, HeaderKey, maxKeyBytes)
	}
	if key != "" {
		// Quoting keeps the three parts apart whatever they contain.
		sub.Key = strings.Join([]string{strconv.Quote(route.Name), strconv.Quote(sub.Workspace), strconv.Quote(key)}, "/")
	}
	if text := header.Get(HeaderDeadline); text != "" {
		left, err := time.ParseDuration(text)
		if err != nil || left <= 0 {
			return errors.Newf("%s must be a positive duration such as 30s, not %q", HeaderDeadline, text)
		}
		sub.Deadline = f.Clock.Now().Add(left)
	}
	sub.Priority = route.Priority
	if text := header.Get(HeaderPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 {
			return errors.Newf("%s must be a number from 0, not %q", HeaderPriority, text)
		}
		// A caller may ask for less than the route's priority, never for more.
		sub.Priority = min(priority, route.Priority)
	}
	return nil
}
