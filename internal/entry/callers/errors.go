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

// Codes of requests that never reach the dispatcher.
const (
	CodeBadRequest      dispatch.Code = "badRequest"
	CodeBodyTooLarge    dispatch.Code = "bodyTooLarge"
	CodeMethod          dispatch.Code = "methodNotAllowed"
	CodeNotDeferred     dispatch.Code = "routeNotDeferred"
	CodeNoReceipt       dispatch.Code = "noReceipt"
	CodeReceiptInUse    dispatch.Code = "receiptInUse"
	CodeStoreDown       dispatch.Code = "storeUnavailable"
	CodeAcceptUncertain dispatch.Code = "acceptUncertain"
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

// statusOf maps codes to HTTP status; codes not listed are 502 after a
// dispatch and 503 before.
var statusOf = map[dispatch.Code]int{
	dispatch.CodeNoRoute:       http.StatusNotFound,
	dispatch.CodeDuplicateID:   http.StatusConflict,
	dispatch.CodeOverload:      http.StatusTooManyRequests,
	dispatch.CodeDeadline:      http.StatusGatewayTimeout,
	dispatch.CodeCallerStalled: http.StatusRequestTimeout,
	dispatch.CodeKeyReused:     http.StatusUnprocessableEntity,
	dispatch.CodeAlreadyRan:    http.StatusConflict,
	dispatch.CodeKeyUnknown:    http.StatusConflict,
	CodeBadRequest:             http.StatusBadRequest,
	CodeBodyTooLarge:           http.StatusRequestEntityTooLarge,
	CodeMethod:                 http.StatusMethodNotAllowed,
	CodeNotDeferred:            http.StatusBadRequest,
	CodeNoReceipt:              http.StatusNotFound,
	CodeReceiptInUse:           http.StatusConflict,
}

func httpStatus(err dispatch.Error) int {
	if status, ok := statusOf[err.Code]; ok {
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

// writeError answers a request of which nothing was written yet.
func writeError(w http.ResponseWriter, id mulberryspool.RequestID, err dispatch.Error) {
	body := errorJSON(id, err)
	header := w.Header()
	header.Del("Trailer")
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, string(id))
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(httpStatus(err))
	_, _ = w.Write(body)
}

func notRun(code dispatch.Code, message string) dispatch.Error {
	return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message}
}

func notRunLater(code dispatch.Code, message string) dispatch.Error {
	return dispatch.Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: time.Second}
}
