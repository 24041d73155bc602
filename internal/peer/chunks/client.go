package chunks

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// Errors of a Client. Test for them with errors.Is.
var (
	// ErrBusy means that all upload slots of the peer are in use.
	ErrBusy = errors.New("peer has no free upload slot")
	// ErrNotHeld means that the peer does not hold the chunk.
	ErrNotHeld = errors.New("peer does not hold the chunk")
)

type (
	// Client fetches chunks from other agents. It is safe for concurrent use.
	Client struct {
		// HTTP must not have a Timeout, which would cut off long transfers.
		HTTP *http.Client
		// Downlink limits the rate of received data; nil means no limit.
		Downlink Limiter
	}

	// Request describes the fetch of one chunk from a peer.
	Request struct {
		// Address is the peer's IP address and port for chunks.
		Address string
		Chunk   mulberryspool.Chunk
		// Offset is the number of bytes that the caller has already.
		Offset int64
		// Have is sent to the peer unless its Manifest is empty.
		Have mulberryspool.ChunksHaveParams
		// Urgent requests are served before others. It is meant for a chunk that no agent
		// of the local region holds, and for the few agents that need a copy first.
		Urgent bool
		// Limiter limits this transfer in addition to the downlink; nil means no limit.
		Limiter Limiter
		// OnReceived is called with the number of bytes of each block; it may be nil.
		OnReceived func(n int)
	}

	// Answer is the response of a peer.
	Answer struct {
		// Data holds the chunk from the offset on. It is not verified.
		Data []byte
		// Have says which chunks the peer holds; nil if the response did not say.
		Have *mulberryspool.ChunksHaveResult
	}
)

// Fetch reads a chunk from the offset on. After an error, the answer holds the
// bytes received before it.
func (c *Client) Fetch(ctx context.Context, request Request) (Answer, error) {
	answer, err := c.fetch(ctx, request)
	return answer, mulberryspool.AtStep(err, "fetch chunk", request.Address)
}

func (c *Client) fetch(ctx context.Context, request Request) (Answer, error) {
	url := fmt.Sprintf("http://%s/chunks/%s", request.Address, request.Chunk.Digest)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, err
	}
	want := http.StatusOK
	if request.Offset > 0 {
		r.Header.Set("Range", fmt.Sprintf("bytes=%d-", request.Offset))
		want = http.StatusPartialContent
	}
	if request.Have.Manifest != "" {
		r.Header.Set(headerInstance, string(request.Have.Instance))
		r.Header.Set(headerManifest, string(request.Have.Manifest))
		r.Header.Set(headerHave, base64.StdEncoding.EncodeToString(request.Have.Have))
	}
	if request.Urgent {
		r.Header.Set(headerUrgent, "1")
	}
	response, err := c.HTTP.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	answer := Answer{Have: haveFromHeaders(response)}
	if response.StatusCode != want {
		// The short error text is read so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, response.Body, blockBytes)
	}
	switch response.StatusCode {
	case want:
	case http.StatusServiceUnavailable:
		return answer, ErrBusy
	case http.StatusNotFound:
		return answer, ErrNotHeld
	default:
		return answer, errors.Newf("peer answered %s", response.Status)
	}
	answer.Data, err = c.read(ctx, response.Body, request)
	return answer, err
}

func (c *Client) read(ctx context.Context, body io.Reader, request Request) ([]byte, error) {
	size := request.Chunk.Size - request.Offset
	data := make([]byte, size)
	filled := 0
	for filled < len(data) {
		n, err := io.ReadFull(body, data[filled:min(len(data), filled+blockBytes)])
		filled += n
		if err != nil {
			return data[:filled], err
		}
		if request.OnReceived != nil {
			request.OnReceived(n)
		}
		if err := c.wait(ctx, request.Limiter, n); err != nil {
			return data[:filled], err
		}
	}
	var extra [1]byte
	if n, _ := body.Read(extra[:]); n > 0 {
		return nil, errors.Newf("peer sent more than the %d bytes of the chunk", request.Chunk.Size)
	}
	return data, nil
}

func (c *Client) wait(ctx context.Context, limiter Limiter, n int) error {
	if limiter != nil {
		if err := limiter.Wait(ctx, n); err != nil {
			return err
		}
	}
	if c.Downlink != nil {
		return c.Downlink.Wait(ctx, n)
	}
	return nil
}

func haveFromHeaders(response *http.Response) *mulberryspool.ChunksHaveResult {
	if response.Header.Get(headerManifest) == "" {
		return nil
	}
	have, err := base64.StdEncoding.DecodeString(response.Header.Get(headerHave))
	if err != nil {
		return nil
	}
	return &mulberryspool.ChunksHaveResult{Have: have}
}
