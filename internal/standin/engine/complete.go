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

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// generation is the state of a running request.
type generation struct {
	server    *Server
	request   chatRequest
	seed      uint64
	execution *Execution
	effect    fault.Effect
	writer    http.ResponseWriter
	envelope  chatAnswer
	usage     chatUsage
	// generated is the number of tokens generated so far.
	generated int
}

var (
	errAnswerCut = errors.New("answer cut off by an injected fault")
	errEndEarly  = errors.New("answer ended early by an injected fault")
)

// complete handles a chat completion request.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", "the body was not received completely")
		return
	}
	request, err := parseRequest(body)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", err.Error())
		return
	}
	priority, err := parsePriority(r)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidPriority", err.Error())
		return
	}
	id := mulberryspool.RequestID(r.Header.Get(serve.RequestIDHeader))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer s.records.track(id, cancel)()
	if err := s.batch.acquire(ctx, priority, request.answerTokens()); err != nil {
		rejectRequest(w, err)
		return
	}
	defer s.batch.release()
	digest := s.Loaded().Digest
	if digest == "" {
		serve.WriteError(w, http.StatusServiceUnavailable, "nothingLoaded", "the engine serves no version")
		return
	}
	sum := sha256.Sum256(body)
	prompt := request.promptText()
	g := &generation{server: s, request: request, seed: xxhash.Sum64(body), effect: effect, writer: w}
	cached := s.cache.lookupAndInsert(prompt)
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
	g.envelope = chatAnswer{ID: "chatcmpl-" + string(id), Created: s.Clock.Now().Unix(), Model: request.Model}
	err = g.run(ctx)
	outcome := ExecutionCompleted
	switch {
	case errors.Is(err, errAnswerCut) || errors.Is(err, errEndEarly):
		outcome = ExecutionFailed
	case err != nil:
		outcome = ExecutionCancelled
	}
	s.records.end(g.execution, outcome, g.generated, s.Loaded().Digest, s.Clock.Now())
	if err != nil && !errors.Is(err, errEndEarly) {
		panic(http.ErrAbortHandler)
	}
}

// rejectRequest responds with status 429 if the queue is full, and otherwise
// closes the connection.
func rejectRequest(w http.ResponseWriter, err error) {
	if !errors.Is(err, errQueueFull) {
		// The request was cancelled while it waited.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Retry-After", "1")
	serve.WriteError(w, http.StatusTooManyRequests, "overloaded", err.Error())
}

func parsePriority(r *http.Request) (int, error) {
	text := r.Header.Get(PriorityHeader)
	if text == "" {
		return 0, nil
	}
	priority, err := strconv.Atoi(text)
	return priority, errors.Wrapf(err, "header %s", PriorityHeader)
}

// run waits for the prefill of the uncached part of the prompt, then generates
// the tokens and sends the response.
func (g *generation) run(ctx context.Context) error {
	settings := g.server.currentSettings()
	if rate := settings.PrefillTokensPerSecond; rate > 0 {
		tokens := float64(max(0, g.usage.PromptTokens-g.usage.PromptTokensDetails.CachedTokens))
		if !fault.Sleep(ctx, g.server.Clock, time.Duration(tokens/rate*float64(time.Second))) {
			return ctx.Err()
		}
	}
	if g.request.Stream {
		return g.streamAnswer(ctx)
	}
	var text strings.Builder
	err := g.generate(ctx, func(part string) error {
		text.WriteString(part)
		return nil
	})
	if err != nil {
		return err
	}
	return g.writeAnswer(ctx, text.String())
}

// generate generates the tokens at the engine's rate and passes the text of each
// to emit. Each token depends on the weights that are loaded at that moment, as
// in an engine that swaps weights while requests run.
func (g *generation) generate(ctx context.Context, emit func(string) error) error {
	due := g.server.Clock.Now()
	for g.generated < g.request.answerTokens() {
		if g.generated == g.request.answerTokens()/2 && g.request.Stream {
			if err := g.applyContentFault(ctx); err != nil {
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
		part := tokenText(g.seed, g.server.Loaded().Digest, g.generated)
		g.generated++
		g.server.reports.countToken()
		if err := emit(part); err != nil {
			return err
		}
	}
	return nil
}

// applyContentFault applies the fault of the request that alters the content. It is
// called in the middle of the response.
func (g *generation) applyContentFault(ctx context.Context) error {
	switch g.effect.Kind {
	case fault.Stall:
		g.effect.WaitCleared(ctx)
		return errAnswerCut
	case fault.Truncate:
		return errAnswerCut
	case fault.EndEarly:
		return errEndEarly
	default:
		return nil
	}
}

// finishUsage returns the usage with the token counts that are known only at the
// end.
func (g *generation) finishUsage() *chatUsage {
	g.usage.CompletionTokens = g.generated
	g.usage.TotalTokens = g.usage.PromptTokens + g.generated
	return &g.usage
}

// writeAnswer sends the response as one JSON body with a Content-Length.
func (g *generation) writeAnswer(ctx context.Context, text string) error {
	reason := "stop"
	answer := g.envelope
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
	if err := g.applyContentFault(ctx); err != nil {
		_ = http.NewResponseController(g.writer).Flush()
		return err
	}
	_, err = g.writer.Write(encoded[half:])
	return err
}

// streamAnswer sends the response as server-sent events while it is generated.
func (g *generation) streamAnswer(ctx context.Context) error {
	g.writer.Header().Set("Content-Type", "text/event-stream")
	g.writer.Header().Set("Cache-Control", "no-cache")
	first := true
	err := g.generate(ctx, func(part string) error {
		delta := &chatMessage{Content: part}
		if first {
			delta.Role, first = "assistant", false
		}
		return g.writeEvent([]chatChoice{{Delta: delta}}, nil)
	})
	if err != nil {
		return err
	}
	reason := "stop"
	if err := g.writeEvent([]chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}}, nil); err != nil {
		return err
	}
	usage := g.finishUsage()
	if g.request.StreamOptions.IncludeUsage {
		if err := g.writeEvent([]chatChoice{}, usage); err != nil {
			return err
		}
	}
	// The end marker is flushed only when the handler returns, after the
	// execution was recorded as ended. A client that received the complete
	// response thus finds the record.
	_, err = g.writer.Write([]byte("data: [DONE]\n\n"))
	return err
}

func (g *generation) writeEvent(choices []chatChoice, usage *chatUsage) error {
	answer := g.envelope
	answer.Object, answer.Choices, answer.Usage = "chat.completion.chunk", choices, usage
	encoded, err := json.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return g.writeAndFlush(bytes.Join([][]byte{[]byte("data: "), encoded, []byte("\n\n")}, nil))
}

func (g *generation) writeAndFlush(data []byte) error {
	if _, err := g.writer.Write(data); err != nil {
		return err
	}
	// The writer of a discarded response doesn't support Flush.
	_ = http.NewResponseController(g.writer).Flush()
	return nil
}
