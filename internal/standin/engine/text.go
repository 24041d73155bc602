package engine

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultMaxTokens is the length of the answer in tokens if the request
	// does not set one.
	DefaultMaxTokens = 16
	// MaxTokens bounds the length of an answer in tokens.
	MaxTokens = 1 << 16
	// bytesPerToken estimates the number of tokens in a prompt.
	bytesPerToken = 4
)

type (
	// chatRequest holds the fields of a chat completion request that the
	// stand-in uses. Other fields are ignored.
	chatRequest struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
		Stream        bool `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}

	// chatMessage is a message of the answer, or a part of it in an event.
	chatMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	chatChoice struct {
		Index        int          `json:"index"`
		Message      *chatMessage `json:"message,omitempty"`
		Delta        *chatMessage `json:"delta,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}

	chatUsage struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		TotalTokens         int `json:"total_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}

	// chatAnswer is the body of a response, or the data of one of its events.
	chatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}
)

// ExpectedAnswer returns the text that an engine generates for a request body
// with the weights of a digest. If the weights were swapped while the text was
// generated, it differs from the expected answer for any single digest.
func ExpectedAnswer(body []byte, digest mulberryspool.Digest) (string, error) {
	request, err := parseRequest(body)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	seed := xxhash.Sum64(body)
	for i := range request.answerTokens() {
		text.WriteString(tokenText(seed, digest, i))
	}
	return text.String(), nil
}

// tokenText returns the text of one token, derived from a hash of its arguments.
func tokenText(seed uint64, digest mulberryspool.Digest, index int) string {
	hash := xxhash.NewWithSeed(seed)
	_, _ = hash.WriteString(string(digest))
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(index))
	_, _ = hash.Write(number[:])
	return fmt.Sprintf("%08x ", uint32(hash.Sum64()))
}

func parseRequest(body []byte) (chatRequest, error) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return chatRequest{}, errors.Wrap(err, "decode chat completion request")
	}
	if len(request.Messages) == 0 {
		return chatRequest{}, errors.New("messages must not be empty")
	}
	if n := request.answerTokens(); n < 1 || n > MaxTokens {
		return chatRequest{}, errors.Newf("max_tokens is %d, want 1 to %d", n, MaxTokens)
	}
	return request, nil
}

// answerTokens returns the number of tokens to generate.
func (c chatRequest) answerTokens() int {
	switch {
	case c.MaxCompletionTokens != 0:
		return c.MaxCompletionTokens
	case c.MaxTokens != 0:
		return c.MaxTokens
	default:
		return DefaultMaxTokens
	}
}

// promptText returns the text of the prompt, whose prefixes are looked up in the
// cache.
func (c chatRequest) promptText() string {
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Role)
		text.WriteByte('\n')
		text.Write(m.Content)
		text.WriteByte('\n')
	}
	return text.String()
}
