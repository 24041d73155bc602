package forward

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/platform"
)

// Guards against load reports in answers that are not used: a server whose machine is slow, or
// that runs many requests of others, gets the next request although another one is free.
func TestLoadReportInAnswerIsUsed(t *testing.T) {
	for name, load := range map[string]string{"slow machine": "1,0,4,400", "requests of others": "4,3,4", "usual": "1,0,4,100"} {
		var reported *backend
		answer := func(b **backend) script {
			return func(w *bufio.Writer, r *http.Request, _ int) bool {
				header := signatureHeader
				if *b == reported {
					header += "X-Server-Load: " + load + "\r\n"
				}
				return respond(w, r, http.StatusOK, header)
			}
		}
		var first, second *backend
		first = newBackend(t, "i-1", answer(&first))
		second = newBackend(t, "i-2", answer(&second))
		reported = first
		e := newEntry(t, first, second)
		// The other server is a little slower, so that it gets no request without a report.
		for range 100 {
			e.scheduler.RecordSlowdown("p", "i-2", 2)
		}
		e.call(t, http.MethodGet, "/read/1", "")
		// Until then, heartbeats of entries may bring the requests that a report includes.
		time.Sleep(110 * time.Millisecond)
		e.call(t, http.MethodGet, "/read/2", "")
		if got, want := second.requests.Load(), int32(1); name != "usual" && got != want || name == "usual" && got != 0 {
			t.Errorf("%s: the other server got %d of 2 requests", name, got)
		}
	}
	if head := (platform.Headers{}).DecodeAnswer(http.StatusOK, http.Header{"X-Server-Load": {"1,2,4"}}); head.Load == nil || head.Load.WorkPercent != 0 {
		t.Errorf("load report with three numbers is decoded as %+v", head.Load)
	}
}
