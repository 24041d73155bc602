package callers

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// acceptDeferred stores a submission to be run later and responds with a receipt.
func (s *Server) acceptDeferred(w http.ResponseWriter, request *http.Request, route mulberryspool.Route, submission dispatch.Submission) {
	if !route.Deferred || s.Deferred == nil {
		writeError(w, submission.ID, notRunError(CodeRouteNotDeferred, "the route takes no deferred submissions"))
		return
	}
	receipt, err := s.Deferred.Accept(request.Context(), submission)
	if err != nil {
		writeError(w, submission.ID, acceptError(err))
		return
	}
	w.Header().Set(HeaderRequestID, string(receipt.RequestID))
	w.Header().Set("Location", "/deferred/"+receipt.ID)
	w.Header().Set("Preference-Applied", "respond-async")
	writeJSON(w, http.StatusAccepted, receipt)
}

func acceptError(err error) dispatch.Error {
	switch {
	case errors.Is(err, deferred.ErrKeyReused):
		return notRunError(dispatch.CodeKeyReused, "the idempotency key was used for a request with another body")
	case errors.Is(err, deferred.ErrTooLarge):
		return notRunError(CodeBodyTooLarge, err.Error())
	case errors.Is(err, mulberryspool.ErrConflict):
		return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a deferred submission with this request ID exists"}
	case errors.Is(err, mulberryspool.ErrUnavailable):
		return retryableError(CodeStoreUnavailable, "the submission could not be made durable")
	}
	// The write may still take effect, so the submission may run.
	return dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAcceptUncertain,
		Message: "it is not known whether the submission was made durable; look at its receipt"}
}

func (s *Server) handleGetReceipt(w http.ResponseWriter, request *http.Request) {
	if s.Deferred == nil {
		s.handleUnknownPath(w, request)
		return
	}
	receipt, err := s.Deferred.Receipt(request.Context(), receiptID(request))
	if err != nil {
		writeError(w, "", receiptError(err))
		return
	}
	w.Header().Set(HeaderRequestID, string(receipt.RequestID))
	writeJSON(w, http.StatusOK, receipt)
}

// handleDeleteReceipt removes a receipt that its caller no longer needs.
func (s *Server) handleDeleteReceipt(w http.ResponseWriter, request *http.Request) {
	if s.Deferred == nil {
		s.handleUnknownPath(w, request)
		return
	}
	if err := s.Deferred.Remove(request.Context(), receiptID(request)); err != nil {
		writeError(w, "", receiptError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func receiptError(err error) dispatch.Error {
	switch {
	case errors.Is(err, mulberryspool.ErrNotFound):
		return notRunError(CodeNoReceipt, "there is no such receipt")
	case errors.Is(err, mulberryspool.ErrConflict):
		return notRunError(CodeReceiptInUse, "the submission is running")
	}
	return retryableError(CodeStoreUnavailable, "the receipt could not be read or removed")
}
