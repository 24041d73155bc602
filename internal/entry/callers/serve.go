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

func (f *Front) chat(w http.ResponseWriter, request *http.Request) {
	f.take(w, request, mulberryspool.RouteChat, func(body []byte) (dispatch.Submission, error) {
		sub, _, err := f.chatSubmission(body)
		return sub, err
	})
}

func (f *Front) plain(w http.ResponseWriter, request *http.Request) {
	f.take(w, request, mulberryspool.RoutePlain, func(body []byte) (dispatch.Submission, error) {
		return plainSubmission(request, body), nil
	})
}

// take reads a request, checks it and answers it.
func (f *Front) take(w http.ResponseWriter, request *http.Request, kind mulberryspool.RouteKind,
	read func(body []byte) (dispatch.Submission, error),
) {
	id, err := requestID(request)
	if err != nil {
		writeError(w, id, notRun(CodeBadRequest, err.Error()))
		return
	}
	body, refused := f.readBody(w, request)
	if refused != nil {
		writeError(w, id, *refused)
		return
	}
	sub, err := read(body)
	if err != nil {
		writeError(w, id, notRun(CodeBadRequest, err.Error()))
		return
	}
	sub.ID = id
	view, ok := f.Tables()
	if !ok {
		writeError(w, id, notRunLater(dispatch.CodeNotReady, "no tables revision is confirmed yet"))
		return
	}
	route, ok := view.Tables.Route(sub.Route)
	if !ok || route.Kind != kind {
		writeError(w, id, notRun(dispatch.CodeNoRoute, "no "+string(kind)+" route is named "+strconv.Quote(sub.Route)))
		return
	}
	if err := f.takeHeaders(&sub, route, request.Header); err != nil {
		writeError(w, id, notRun(CodeBadRequest, err.Error()))
		return
	}
	if wantsLater(request.Header) {
		f.accept(w, request, route, sub)
		return
	}
	f.answer(w, request, sub)
}

// answer runs the request while the caller waits.
func (f *Front) answer(w http.ResponseWriter, request *http.Request, sub dispatch.Submission) {
	exchange := NewExchange(f.MaxAnswer, func() { f.Stalled(sub.ID) })
	if !f.Submit(sub, exchange) {
		writeError(w, sub.ID, dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a request with this ID is in progress"})
		return
	}
	f.Metrics.Counter("callers_requests").Inc(1)
	defer f.Leave(sub.ID)
	if sub.Buffered {
		f.answerWhole(request.Context(), w, sub, exchange)
		return
	}
	f.answerStream(request.Context(), w, sub, exchange)
}

func (f *Front) answerWhole(ctx context.Context, w http.ResponseWriter, sub dispatch.Submission, exchange *Exchange) {
	answer, err := exchange.Collect(ctx)
	if err != nil {
		return
	}
	if answer.Err != nil {
		writeError(w, sub.ID, *answer.Err)
		return
	}
	header := w.Header()
	header.Set(HeaderRequestID, string(sub.ID))
	setContentType(header, answer.ContentType)
	header.Set(HeaderWeights, string(answer.Weights))
	header.Set(HeaderVersion, answer.Version)
	if sub.Method != http.MethodHead && bodyAllowed(answer.Status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.Data)))
	}
	w.WriteHeader(orOK(answer.Status))
	_, _ = w.Write(answer.Data)
}

// answerStream writes the answer as it comes. The body has no declared
// length, so it is finished only by returning normally.
func (f *Front) answerStream(ctx context.Context, w http.ResponseWriter, sub dispatch.Submission, exchange *Exchange) {
	out := &streamWriter{w: w, id: sub.ID}
	for {
		answer, err := exchange.Next(ctx)
		if err != nil {
			// The caller is gone; the connection must not look finished either.
			panic(http.ErrAbortHandler)
		}
		if answer.Head {
			out.head(answer.Status, answer.ContentType)
		}
		out.write(answer.Data)
		if answer.Err != nil {
			out.fail(*answer.Err)
			return
		}
		if answer.Ended {
			out.end(answer)
			return
		}
	}
}

// wantsLater reports whether the caller asks for a deferred answer.
func wantsLater(header http.Header) bool {
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
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
		return
	}
	header.Set("Content-Type", contentType)
}

func orOK(status int) int {
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
