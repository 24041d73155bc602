package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Error codes of requests that are rejected before they reach the dispatcher.
const (
	CodeBadRequest       dispatch.Code = "badRequest"
	CodeBodyTooLarge     dispatch.Code = "bodyTooLarge"
	CodeBodyStalled      dispatch.Code = "bodyStalled"
	CodeNoMemory         dispatch.Code = "noMemory"
	CodeMethodNotAllowed dispatch.Code = "methodNotAllowed"
	CodeRouteNotDeferred dispatch.Code = "routeNotDeferred"
	CodeNoReceipt        dispatch.Code = "noReceipt"
	CodeReceiptInUse     dispatch.Code = "receiptInUse"
	CodeStoreUnavailable dispatch.Code = "storeUnavailable"
	CodeAcceptUncertain  dispatch.Code = "acceptUncertain"
)

type (
	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Type      mulberryspool.Outcome   `json:"type"`
		Code      dispatch.Code           `json:"code"`
		Message   string                  `json:"message"`
		RequestID mulberryspool.RequestID `json:"requestID"`
	}
)

// statusByCode maps error codes to HTTP status codes. For other codes the status
// is 503 if the request did not run, and 502 otherwise.
var statusByCode = map[dispatch.Code]int{
	dispatch.CodeNoRoute:               http.StatusNotFound,
	dispatch.CodeDuplicateID:           http.StatusConflict,
	dispatch.CodeOverload:              http.StatusTooManyRequests,
	dispatch.CodeDeadline:              http.StatusGatewayTimeout,
	dispatch.CodeCallerTooSlow:         http.StatusRequestTimeout,
	dispatch.CodeKeyReused:             http.StatusUnprocessableEntity,
	dispatch.CodeAlreadyRan:            http.StatusConflict,
	dispatch.CodeEarlierOutcomeUnknown: http.StatusConflict,
	CodeBadRequest:                     http.StatusBadRequest,
	CodeBodyTooLarge:                   http.StatusRequestEntityTooLarge,
	CodeBodyStalled:                    http.StatusRequestTimeout,
	CodeMethodNotAllowed:               http.StatusMethodNotAllowed,
	CodeRouteNotDeferred:               http.StatusBadRequest,
	CodeNoReceipt:                      http.StatusNotFound,
	CodeReceiptInUse:                   http.StatusConflict,
}

func httpStatus(err dispatch.Error) int {
	if status, ok := statusByCode[err.Code]; ok {
		return status
	}
	if err.Outcome == mulberryspool.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func errorJSON(id mulberryspool.RequestID, err dispatch.Error) []byte {
	encoded, _ := json.Marshal(errorBody{Error: errorDetail{
		Type: err.Outcome, Code: err.Code, Message: err.Message, RequestID: id,
	}})
	return encoded
}

// writeError responds with an error. Nothing may have been written before.
func writeError(w http.ResponseWriter, id mulberryspool.RequestID, err dispatch.Error) {
	body := errorJSON(id, err)
	header := w.Header()
	header.Del("Trailer")
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, string(id))
	SetRefusal(header, err.RetryAfter)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(httpStatus(err))
	_, _ = w.Write(body)
}

// SetRefusal sets the headers of a response to a request that did not run, and that may be sent
// again after some time; 0 for no such hint.
func SetRefusal(header http.Header, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
}

func notRunError(code dispatch.Code, message string) dispatch.Error {
	return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message}
}

func retryableError(code dispatch.Code, message string) dispatch.Error {
	return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: time.Second}
}
