package engine

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// maxRequestBytes bounds a request's body.
const maxRequestBytes = 16 << 20

// generation is one request while it runs.
type generation struct {
	server    *Server
	request   chatRequest
	seed      uint64
	execution *Execution
	effect    fault.Effect
	writer    http.ResponseWriter
	head      chatAnswer
	usage     chatUsage
	// made counts the tokens so far.
	made int
}

var (
	errCut      = errors.New("answer cut by a fault")
	errEndEarly = errors.New("answer ended early by a fault")
)

func (s *Server) complete(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", "the body was not received completely")
		return
	}
	request, err := parse(body)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", err.Error())
		return
	}
	priority, err := priorityOf(r)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidPriority", err.Error())
		return
	}
	id := mulberryspool.RequestID(r.Header.Get(serve.RequestIDHeader))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer s.records.track(id, cancel)()
	if err := s.batch.enter(ctx, priority, request.tokens()); err != nil {
		refuse(w, err)
		return
	}
	defer s.batch.leave()
	digest := s.Loaded().Digest
	if digest == "" {
		serve.WriteError(w, http.StatusServiceUnavailable, "nothingLoaded", "the engine serves no version")
		return
	}
	sum := sha256.Sum256(body)
	prompt := request.prompt()
	g := &generation{server: s, request: request, seed: xxhash.Sum64(body), effect: effect, writer: w}
	cached := s.cache.use(prompt)
	g.execution = s.records.start(Execution{
		RequestID:    id,
		Workspace:    r.Header.Get(WorkspaceHeader),
		Priority:     priority,
		Body:         mulberryspool.Digest(hex.EncodeToString(sum[:])),
		StartDigest:  digest,
		CachedTokens: cached,
		Started:      s.Clock.Now(),
	})
	g.usage.PromptTokens = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	g.usage.PromptTokensDetails.CachedTokens = cached
	g.head = chatAnswer{ID: "chatcmpl-" + string(id), Created: s.Clock.Now().Unix(), Model: request.Model}
	err = g.run(ctx)
	outcome := ExecutionCompleted
	switch {
	case errors.Is(err, errCut) || errors.Is(err, errEndEarly):
		outcome = ExecutionFailed
	case err != nil:
		outcome = ExecutionCancelled
	}
	s.records.end(g.execution, outcome, g.made, s.Loaded().Digest, s.Clock.Now())
	if err != nil && !errors.Is(err, errEndEarly) {
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, err error) {
	if !errors.Is(err, errBatchFull) {
		// The request was cancelled before it ran.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Retry-After", "1")
	serve.WriteError(w, http.StatusTooManyRequests, "overloaded", err.Error())
}

func priorityOf(r *http.Request) (int, error) {
	text := r.Header.Get(PriorityHeader)
	if text == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(text)
	return priority, errors.Wrapf(err, "header %s", PriorityHeader)
}

func (g *generation) run(ctx context.Context) error {
	settings := g.server.currentSettings()
	if rate := settings.PrefillTokensPerSecond; rate > 0 {
		tokens := float64(max(0, g.usage.PromptTokens-g.usage.PromptTokensDetails.CachedTokens))
		if !fault.Sleep(ctx, g.server.Clock, time.Duration(tokens/rate*float64(time.Second))) {
			return ctx.Err()
		}
	}
	if g.request.Stream {
		return g.stream(ctx)
	}
	var text strings.Builder
	err := g.generate(ctx, func(part string) error {
		text.WriteString(part)
		return nil
	})
	if err != nil {
		return err
	}
	return g.whole(ctx, text.String())
}

// generate makes the tokens at the engine's rate. Each one is made with the
// weights that are loaded at that moment, as in an engine that swaps weights
// under running requests.
func (g *generation) generate(ctx context.Context, emit func(string) error) error {
	due := g.server.Clock.Now()
	for g.made < g.request.tokens() {
		if g.made == g.request.tokens()/2 && g.request.Stream {
			if err := g.breakOff(ctx); err != nil {
				return err
			}
		}
		if rate := g.server.currentSettings().TokensPerSecond; rate > 0 {
			due = due.Add(time.Duration(float64(time.Second) / rate))
			if !fault.Sleep(ctx, g.server.Clock, g.server.Clock.Until(due)) {
				return ctx.Err()
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		part := token(g.seed, g.server.Loaded().Digest, g.made)
		g.made++
		g.server.reports.generated()
		if err := emit(part); err != nil {
			return err
		}
	}
	return nil
}

// breakOff applies a fault in the middle of the answer.
func (g *generation) breakOff(ctx context.Context) error {
	switch g.effect.Kind {
	case fault.Stall:
		g.effect.WaitCleared(ctx)
		return errCut
	case fault.Truncate:
		return errCut
	case fault.EndEarly:
		return errEndEarly
	default:
		return nil
	}
}

func (g *generation) finishUsage() *chatUsage {
	g.usage.CompletionTokens = g.made
	g.usage.TotalTokens = g.usage.PromptTokens + g.made
	return &g.usage
}

// whole sends an answer with a declared length.
func (g *generation) whole(ctx context.Context, text string) error {
	reason := "stop"
	answer := g.head
	answer.Object = "chat.completion"
	answer.Choices = []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}}
	answer.Usage = g.finishUsage()
	encoded, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	g.writer.Header().Set("Content-Type", "application/json")
	g.writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	half := len(encoded) / 2
	if _, err := g.writer.Write(encoded[:half]); err != nil {
		return err
	}
	if err := g.breakOff(ctx); err != nil {
		_ = http.NewResponseController(g.writer).Flush()
		return err
	}
	_, err = g.writer.Write(encoded[half:])
	return err
}

// stream sends an answer as server-sent events.
func (g *generation) stream(ctx context.Context) error {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	g.writer.Header().Set("Cache-Control", "no-cache")
	first := true
	err := g.generate(ctx, func(part string) error {
		delta := &chatMessage{Content: part}
		if first {
			delta.Role, first = "assistant", false
		}
		return g.event([]chatChoice{{Delta: delta}}, nil)
	})
	if err != nil {
		return err
	}
	reason := "stop"
	if err := g.event([]chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}}, nil); err != nil {
		return err
	}
	usage := g.finishUsage()
	if g.request.StreamOptions.IncludeUsage {
		if err := g.event([]chatChoice{}, usage); err != nil {
			return err
		}
	}
	// This is flushed at the end of the call, after the record of the
	// execution, so that whoever has the whole answer finds the record.
	_, err = g.writer.Write([]byte("data: [DONE]\n\n"))
	return err
}

func (g *generation) event(choices []chatChoice, usage *chatUsage) error {
	answer := g.head
	answer.Object, answer.Choices, answer.Usage = "chat.completion.chunk", choices, usage
	encoded, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return g.send(bytes.Join([][]byte{[]byte("data: "), encoded, []byte("\n\n")}, nil))
}

func (g *generation) send(data []byte) error {
	if _, err := g.writer.Write(data); err != nil {
		return err
	}
	// An answer that is discarded can't be flushed.
	_ = http.NewResponseController(g.writer).Flush()
	return nil
}
