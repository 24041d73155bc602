package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/endless"
)

// Guards against a model server or origin whose response head has no end and fills
// the memory of the agent.
func TestEndlessResponseHeadIsCutOff(t *testing.T) {
	const (
		timeout = 20 * time.Second
		// maxSent is more than is read of a head, and what the kernel buffers.
		maxSent = 4 << 20
	)
	for name, response := range map[string]endless.Response{
		"status line":  {Head: "HTTP/1.1 200 ", Unit: "O"},
		"header line":  {Head: "HTTP/1.1 200 OK\r\nX-Long: ", Unit: "v"},
		"header lines": {Head: "HTTP/1.1 200 OK\r\n", Unit: "X-Many: v\r\n"},
	} {
		s := endless.New(response, "")
		client := &http.Client{Timeout: timeout, Transport: newTransport(1)}
		began := time.Now()
		answer, err := client.Get("http://" + s.Listen(t))
		if err == nil {
			answer.Body.Close()
			t.Errorf("%s: endless head was accepted", name)
		}
		if time.Since(began) >= timeout {
			t.Errorf("%s: call ended at its timeout only", name)
		}
		s.AwaitClosed(t)
		if s.Written() > maxSent {
			t.Errorf("%s: server could send %d bytes, want at most %d", name, s.Written(), maxSent)
		}
	}
}
