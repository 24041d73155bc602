package callers

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// accept keeps a submission for later and gives a receipt.
func (f *Front) accept(w http.ResponseWriter, request *http.Request, route mulberryspool.Route, sub dispatch.Submission) {
	if !route.Deferred || f.Deferred == nil {
		writeError(w, sub.ID, notRun(CodeNotDeferred, "the route takes no deferred submissions"))
		return
	}
	receipt, err := f.Deferred.Accept(request.Context(), sub)
	if err != nil {
		writeError(w, sub.ID, acceptError(err))
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
		return notRun(dispatch.CodeKeyReused, "the idempotency key was used for a request with another body")
	case errors.Is(err, deferred.ErrTooLarge):
		return notRun(CodeBodyTooLarge, err.Error())
	case errors.Is(err, mulberryspool.ErrConflict):
		return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: dispatch.CodeDuplicateID,
			Message: "a deferred submission with this request ID exists"}
	case errors.Is(err, mulberryspool.ErrUnavailable):
		return notRunLater(CodeStoreDown, "the submission could not be made durable")
	}
	// The write may take effect, so the submission may still run.
	return dispatch.Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAcceptUncertain,
		Message: "it is not known whether the submission was made durable; look at its receipt"}
}

func (f *Front) receipt(w http.ResponseWriter, request *http.Request) {
	if f.Deferred == nil {
		f.unknownPath(w, request)
		return
	}
	receipt, err := f.Deferred.Receipt(request.Context(), receiptID(request))
	if err != nil {
		writeError(w, "", receiptError(err))
		return
	}
	w.Header().Set(HeaderRequestID, string(receipt.RequestID))
	writeJSON(w, http.StatusOK, receipt)
}

// collect removes a receipt that its caller has read.
func (f *Front) collect(w http.ResponseWriter, request *http.Request) {
	if f.Deferred == nil {
		f.unknownPath(w, request)
		return
	}
	if err := f.Deferred.Remove(request.Context(), receiptID(request)); err != nil {
		writeError(w, "", receiptError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func receiptError(err error) dispatch.Error {
	switch {
	case errors.Is(err, mulberryspool.ErrNotFound):
		return notRun(CodeNoReceipt, "there is no such receipt")
	case errors.Is(err, mulberryspool.ErrConflict):
		return notRun(CodeReceiptInUse, "the submission is running")
	}
	return notRunLater(CodeStoreDown, "the receipt could not be read or removed")
}
