package integration

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

const endlessTables = `
routes:
  - name: read
    kind: plain
    pool: booking
    idempotent: true
    timeout: 30s
  - name: write
    kind: plain
    pool: booking
    timeout: 30s
  - name: short
    kind: plain
    pool: booking
    timeout: 2s
pools:
  - name: booking
    kind: plain
`

// Guards against a plain service whose answer has no end that takes the answers of
// other services with it: an idempotent request must get one of them, any other
// must end with 502 and not as not run, and an endless body must not look complete.
func TestEndlessAnswersOfPlainService(t *testing.T) {
	// maxSentBytes is more than an agent reads of a head, and what the kernel buffers.
	const maxSentBytes = 4 << 20
	// goodRequests leave a budget for retries, and clear the failures that an agent
	// would be ejected for.
	const goodRequests = 30
	const head = "HTTP/1.1 200 OK\r\n"
	service := endless.New(endless.Response{}, head+"Content-Length: 2\r\n\r\nok")
	s := &system.System{Builder: &builder}
	s.Start(t)
	s.AddAgent(t, "booking", "http://"+service.Listen(t))
	s.AddAgent(t, "booking", "http://"+service.Listen(t))
	entry := s.AddEntry(t)
	s.Apply(t, endlessTables)
	s.AwaitReadyAgents(t, "booking", 2)
	checkGoodRequests := func() {
		t.Helper()
		for range goodRequests {
			if status, body, err := post(entry.CallersURL + "/read/x"); err != nil || status != http.StatusOK || body != "ok" {
				t.Fatalf("complete answer is %d %.100q, %v", status, body, err)
			}
		}
	}
	checkGoodRequests()

	for name, response := range map[string]endless.Response{
		"garbage":         {Unit: "g"},
		"header line":     {Head: head + "X-Long: ", Unit: "v"},
		"header lines":    {Head: head, Unit: "X-Many: v\r\n"},
		"chunk extension": {Head: head + "Transfer-Encoding: chunked\r\n\r\n2;", Unit: "e"},
	} {
		for route, want := range map[string]int{"read": http.StatusOK, "write": http.StatusBadGateway} {
			service.Restart(response)
			status, body, err := post(entry.CallersURL + "/" + route + "/x")
			if err != nil || status != want || status == http.StatusOK && body != "ok" {
				t.Errorf("%s: route %s answered %d %.100q, %v, want %d", name, route, status, body, err, want)
			}
			service.AwaitClosed(t)
			if sent := service.Written(); sent > maxSentBytes {
				t.Errorf("%s: service could send %d bytes, want at most %d", name, sent, maxSentBytes)
			}
			if n := service.Requests(); (route == "write") != (n == 1) {
				t.Errorf("%s: service got %d requests of route %s", name, n, route)
			}
			checkGoodRequests()
		}
	}
	service.Restart(endless.Response{Head: head + "Transfer-Encoding: chunked\r\n\r\n", Unit: "10\r\nmmmmmmmmmmmmmmmm\r\n"})
	if status, _, err := post(entry.CallersURL + "/short/x"); err == nil {
		t.Errorf("endless body with status %d looks complete", status)
	}
	service.AwaitClosed(t)
	checkGoodRequests()
}

// post sends a request and returns the status and the beginning of the body. The
// error is nil only if the body is complete.
func post(url string) (int, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(url, "text/plain", strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return response.StatusCode, string(body), err
}
