package callers

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

const eventStream = "text/event-stream"

func (f *Front) handleChat(w http.ResponseWriter, request *http.Request) {
	f.handleRequest(w, request, mulberryspool.RouteChat, func(body []byte) (dispatch.Submission, error) {
		submission, _, err := f.chatSubmission(body)
		return submission, err
	})
}

func (f *Front) handlePlain(w http.ResponseWriter, request *http.Request) {
	f.handleRequest(w, request, mulberryspool.RoutePlain, func(body []byte) (dispatch.Submission, error) {
		return plainSubmission(request, body), nil
	})
}

// handleRequest reads and checks a request, then runs it or stores it to be run
// later.
func (f *Front) handleRequest(w http.ResponseWriter, request *http.Request, kind mulberryspool.RouteKind,
	parse func(body []byte) (dispatch.Submission, error),
) {
	id, err := requestID(request)
	if err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	body, refusal := f.readBody(w, request)
	if refusal != nil {
		writeError(w, id, *refusal)
		return
	}
	submission, err := parse(body)
	if err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	submission.ID = id
	view, ok := f.Tables()
	if !ok {
		writeError(w, id, retryableError(dispatch.CodeNotReady, "no tables revision is confirmed yet"))
		return
	}
	route, ok := view.Tables.Route(submission.Route)
	if !ok || route.Kind != kind {
		writeError(w, id, notRunError(dispatch.CodeNoRoute, "no "+string(kind)+" route is named "+strconv.Quote(submission.Route)))
		return
	}
	if err := f.applyHeaders(&submission, route, request.Header); err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	if prefersAsync(request.Header) {
		f.acceptDeferred(w, request, route, submission)
		return
	}
	f.serveSubmission(w, request, submission)
}

// serveSubmission runs a request while the caller waits for the response.
func (f *Front) serveSubmission(w http.ResponseWriter, request *http.Request, submission dispatch.Submission) {
	exchange := NewExchange(f.MaxAnswer, func() { f.Stalled(submission.ID) })
	if !f.Submit(submission, exchange) {
		writeError(w, submission.ID, dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a request with this ID is in progress"})
		return
	}
	f.Metrics.Counter("callers_requests").Inc(1)
	defer f.Leave(submission.ID)
	if submission.Buffered {
		f.respondBuffered(request.Context(), w, submission, exchange)
		return
	}
	f.respondStreaming(request.Context(), w, submission, exchange)
}

// respondBuffered writes the response after it is complete.
func (f *Front) respondBuffered(ctx context.Context, w http.ResponseWriter, submission dispatch.Submission, exchange *Exchange) {
	response, err := exchange.Collect(ctx)
	if err != nil {
		return
	}
	if response.Err != nil {
		writeError(w, submission.ID, *response.Err)
		return
	}
	header := w.Header()
	header.Set(HeaderRequestID, string(submission.ID))
	setContentType(header, response.ContentType)
	header.Set(HeaderWeightsDigest, string(response.Weights))
	header.Set(HeaderModelVersion, response.Version)
	if submission.Method != http.MethodHead && bodyAllowed(response.Status) {
		header.Set("Content-Length", strconv.Itoa(len(response.Data)))
	}
	w.WriteHeader(statusOrOK(response.Status))
	_, _ = w.Write(response.Data)
}

// respondStreaming writes the response as it is received. The body has no
// Content-Length, so net/http marks it as complete only if the handler returns
// normally.
func (f *Front) respondStreaming(ctx context.Context, w http.ResponseWriter, submission dispatch.Submission, exchange *Exchange) {
	writer := &streamWriter{w: w, id: submission.ID}
	for {
		response, err := exchange.Next(ctx)
		if err != nil {
			// The caller has disconnected. Aborting keeps the response from
			// looking complete.
			panic(http.ErrAbortHandler)
		}
		if response.HasHead {
			writer.writeHead(response.Status, response.ContentType)
		}
		writer.write(response.Data)
		if response.Err != nil {
			writer.fail(*response.Err)
			return
		}
		if response.Complete {
			writer.finish(response)
			return
		}
	}
}

// prefersAsync reports whether the caller asks for deferred processing.
func prefersAsync(header http.Header) bool {
	for _, value := range header.Values("Prefer") {
		for preference := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}

func setContentType(header http.Header, contentType string) {
	if contentType == "" {
		// Keeps net/http from detecting a content type.
		header["Content-Type"] = nil
		return
	}
	header.Set("Content-Type", contentType)
}

func statusOrOK(status int) int {
	if status == 0 {
		return http.StatusOK
	}
	return status
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func receiptID(request *http.Request) string {
	return mux.Vars(request)["id"]
}
