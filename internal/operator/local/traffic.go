package local

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
)

const (
	headerRequestID = "X-Request-ID"
	headerWorkspace = "X-Workspace"
	trailerWeights  = "X-Weights-Digest"
	endMarker       = "[DONE]"
)

type (
	// traffic sends chat requests to the entries and checks each answer
	// against the engines' own record.
	traffic struct {
		callers []string
		client  *http.Client

		mu      sync.Mutex
		results map[mulberryspool.RequestID]result
	}

	// result is what a caller saw of one request.
	result struct {
		outcome mulberryspool.Outcome
		detail  string
	}

	// streamEvent is a piece of a streamed answer.
	streamEvent struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}

	errorBody struct {
		Error struct {
			Type    mulberryspool.Outcome `json:"type"`
			Message string                `json:"message"`
		} `json:"error"`
	}
)

// run keeps the given number of callers busy until the context ends; requests
// that have begun are finished.
func (t *traffic) run(ctx context.Context, callers int) {
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				t.send(context.WithoutCancel(ctx), i, n)
				select {
				case <-ctx.Done():
				case <-time.After(callerPause):
				}
			}
		})
	}
	group.Wait()
}

func (t *traffic) send(ctx context.Context, caller, number int) {
	id := mulberryspool.RequestID(uuid.NewString())
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":12,"messages":[{"role":"user","content":"caller %d question %d"}]}`, routeName, caller, number)
	got := t.exchange(ctx, id, t.callers[(caller+number)%len(t.callers)], fmt.Sprintf("workspace-%d", caller%workspaceCount), body)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.results == nil {
		t.results = make(map[mulberryspool.RequestID]result)
	}
	t.results[id] = got
}

func (t *traffic) exchange(ctx context.Context, id mulberryspool.RequestID, entry, workspace, body string) result {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return result{outcome: mulberryspool.OutcomeFailed, detail: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerRequestID, string(id))
	request.Header.Set(headerWorkspace, workspace)
	response, err := t.client.Do(request)
	if err != nil {
		return result{outcome: mulberryspool.OutcomeUnknown, detail: err.Error()}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var refused errorBody
		if err := json.NewDecoder(response.Body).Decode(&refused); err != nil {
			return result{outcome: mulberryspool.OutcomeFailed, detail: "error body can't be read: " + err.Error()}
		}
		return result{outcome: refused.Error.Type, detail: refused.Error.Message}
	}
	text, err := readStream(response.Body)
	if err != nil {
		return result{outcome: mulberryspool.OutcomeUnknown, detail: err.Error()}
	}
	want, err := engine.Answer([]byte(body), mulberryspool.Digest(response.Trailer.Get(trailerWeights)))
	if err != nil || text != want {
		return result{outcome: mulberryspool.OutcomeFailed, detail: fmt.Sprintf("answer %q is not the expected %q", text, want)}
	}
	return result{outcome: mulberryspool.OutcomeDone}
}

// readStream joins the pieces of a stream that must end with the end marker.
func readStream(stream io.Reader) (string, error) {
	var text strings.Builder
	done := false
	lines := bufio.NewScanner(stream)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == endMarker {
			done = true
			continue
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", errors.Wrapf(err, "decode event %q", data)
		}
		for _, c := range event.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return "", errors.Wrap(err, "read stream")
	}
	if !done {
		return "", errors.New("stream ended without its end marker")
	}
	return text.String(), nil
}
