package callers

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

const (
	eventStream = "text/event-stream"
	// storedCopies is how many times the size of a body it takes to store it: encoded in base64,
	// with the buffers of the encoder.
	storedCopies = 4
)

func (s *Server) handleChat(w http.ResponseWriter, request *http.Request) {
	s.handleRequest(w, request, mulberryspool.RouteChat, func(body []byte) (dispatch.Submission, error) {
		submission, _, err := s.chatSubmission(body)
		return submission, err
	})
}

func (s *Server) handlePlain(w http.ResponseWriter, request *http.Request) {
	s.handleRequest(w, request, mulberryspool.RoutePlain, func(body []byte) (dispatch.Submission, error) {
		return plainSubmission(request, body), nil
	})
}

// handleRequest reads and checks a request, then runs it or stores it to be run
// later.
func (s *Server) handleRequest(w http.ResponseWriter, request *http.Request, kind mulberryspool.RouteKind,
	parse func(body []byte) (dispatch.Submission, error),
) {
	id, err := requestID(request)
	if err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	body, refusal := s.readBody(w, request)
	if refusal != nil {
		s.Metrics.Tagged(map[string]string{"code": string(refusal.Code)}).Counter("callers_bodies_refused").Inc(1)
		writeError(w, id, *refusal)
		return
	}
	defer body.Release()
	submission, err := parse(body.Bytes)
	if err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	submission.ID, submission.Held = id, body
	view, ok := s.Tables()
	if !ok {
		writeError(w, id, retryableError(dispatch.CodeNotReady, "no tables revision is confirmed yet"))
		return
	}
	route, ok := view.Tables.Route(submission.Route)
	if !ok || route.Kind != kind {
		writeError(w, id, notRunError(dispatch.CodeNoRoute, "no "+string(kind)+" route is named "+strconv.Quote(submission.Route)))
		return
	}
	if err := s.applyHeaders(&submission, route, request.Header); err != nil {
		writeError(w, id, notRunError(CodeBadRequest, err.Error()))
		return
	}
	if prefersAsync(request.Header) {
		if !body.Extend(storedCopies * int64(len(body.Bytes))) {
			writeError(w, id, s.bodyError(bodybudget.ErrFull))
			return
		}
		s.acceptDeferred(w, request, route, submission)
		return
	}
	s.serveSubmission(w, request, submission)
}

// serveSubmission runs a request while the caller waits for the response.
func (s *Server) serveSubmission(w http.ResponseWriter, request *http.Request, submission dispatch.Submission) {
	buffer := NewResponseBuffer(s.MaxBufferedResponse, func() { s.OnBufferFull(submission.ID) })
	// The request may outlast its caller.
	submission.Held.Retain()
	if !s.Submit(submission, buffer) {
		submission.Held.Release()
		writeError(w, submission.ID, dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a request with this ID is in progress"})
		return
	}
	s.Metrics.Counter("callers_requests").Inc(1)
	defer s.OnDisconnect(submission.ID)
	if submission.Buffered {
		s.respondBuffered(request.Context(), w, submission, buffer)
		return
	}
	s.respondStreaming(request.Context(), w, submission, buffer)
}

// respondBuffered writes the response after it is complete.
func (s *Server) respondBuffered(ctx context.Context, w http.ResponseWriter, submission dispatch.Submission, buffer *ResponseBuffer) {
	response, err := buffer.Collect(ctx)
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
func (s *Server) respondStreaming(ctx context.Context, w http.ResponseWriter, submission dispatch.Submission, buffer *ResponseBuffer) {
	writer := &streamWriter{w: w, id: submission.ID}
	for {
		response, err := buffer.Next(ctx)
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
