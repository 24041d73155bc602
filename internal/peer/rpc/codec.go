package rpc

import (
	"bufio"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
)

const (
	// decodedCopies is how many times its size a message takes while it is read and decoded.
	decodedCopies = 4
	// memoryPollInterval is how often a message looks whether there is memory for it.
	memoryPollInterval = 10 * time.Millisecond
	// maxReserved keeps an announced length from exceeding the range of its copies.
	maxReserved = 1 << 40
)

// limitedCodec bounds the messages that are received, together and each. It refuses one that is too
// long before it reads it.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
	// maxBytes is the limit of a message; 0 for none.
	maxBytes uint64
	// memory is that for messages that are being read; nil for no bound.
	memory *bodybudget.Budget
	conn   *Conn
	stream *countedStream
	// timeout is that for memory, and that for the message itself.
	timeout time.Duration
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := peekLength(stream)
	if err != nil {
		return err
	}
	if c.maxBytes > 0 && length > c.maxBytes {
		return errors.Newf("message has %d bytes, more than %d", length, c.maxBytes)
	}
	if c.memory != nil {
		bytes := int64(min(length, maxReserved)) * decodedCopies
		if !c.reserve(bytes) {
			return errors.Newf("no memory for a message of %d bytes", length)
		}
		defer c.memory.Release(bytes)
	}
	// Real time, because the operating system enforces it.
	if err := c.stream.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return err
	}
	if err := c.VarintObjectCodec.ReadObject(stream, v); err != nil {
		return err
	}
	return c.stream.SetReadDeadline(time.Time{})
}

// reserve waits until there is memory for a message. It returns false if there is none in time.
func (c limitedCodec) reserve(bytes int64) bool {
	clock := c.conn.endpoint.Clock
	for deadline := clock.Now().Add(c.timeout); !c.memory.Reserve(0, bytes); {
		if !clock.Now().Before(deadline) {
			return false
		}
		select {
		case <-clock.After(memoryPollInterval):
		case <-c.conn.ctx.Done():
			return false
		}
	}
	return true
}

// peekLength returns the length that a message begins with.
func peekLength(stream *bufio.Reader) (uint64, error) {
	for n := 1; n <= binary.MaxVarintLen64; n++ {
		start, err := stream.Peek(n)
		if err != nil {
			return 0, err
		}
		if start[n-1] < 0x80 {
			length, _ := binary.Uvarint(start)
			return length, nil
		}
	}
	return 0, errors.New("message has no valid length")
}
