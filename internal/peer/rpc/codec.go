package rpc

import (
	"bufio"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// limitedCodec refuses messages that are too long before it reads them.
type limitedCodec struct {
	jsonrpc2.VarintObjectCodec
	// maxBytes is the limit; 0 for none.
	maxBytes uint64
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c limitedCodec) ReadObject(stream *bufio.Reader, v any) error {
	if c.maxBytes > 0 {
		length, err := peekLength(stream)
		if err != nil {
			return err
		}
		if length > c.maxBytes {
			return errors.Newf("message has %d bytes, more than %d", length, c.maxBytes)
		}
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
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
