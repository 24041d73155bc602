package bodybudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// Guards against bodies that take more memory together than there is, against long ones that
// leave none to short ones, and against memory that is never returned. Replays long bodies
// until no more fit, with known and unknown lengths, beside short ones.
func TestSumOfBodiesIsBounded(t *testing.T) {
	const limit, long = 10 << 20, 1 << 20
	for name, length := range map[string]int64{"known length": long, "unknown length": -1} {
		b := &Budget{Limit: limit}
		var bodies []*Body
		for range 20 {
			body, err := b.Read(bytes.NewReader(make([]byte, long)), length, 4*long)
			if errors.Is(err, ErrFull) {
				body.Release()
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			bodies = append(bodies, body)
			if len(body.Bytes) != long {
				t.Errorf("%s: body has %d bytes, want %d", name, len(body.Bytes), long)
			}
		}
		if used := b.Used(); used > limit*3/4 || used < limit/2 {
			t.Errorf("%s: long bodies take %d bytes of %d", name, used, limit)
		}
		short, err := b.Read(strings.NewReader(strings.Repeat("s", shortBytes)), shortBytes, long)
		if err != nil {
			t.Errorf("%s: short body beside long ones: %v", name, err)
		}
		for _, body := range append(bodies, short) {
			body.Release()
			body.Release()
		}
		if b.Used() != 0 {
			t.Errorf("%s: %d bytes are reserved after all bodies were released", name, b.Used())
		}
	}
}

// Guards against bodies that are not read as they were sent.
func TestBodyIsRead(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct {
		body             string
		length, maxBytes int64
		reader           func(io.Reader) io.Reader
		want             string
		err              error
	}{
		"empty":                  {"", 0, 100, nil, "", nil},
		"known length":           {"body", 4, 100, nil, "body", nil},
		"unknown length":         {strings.Repeat("b", 5000), -1, 1 << 20, iotest.HalfReader, strings.Repeat("b", 5000), nil},
		"longer than allowed":    {"body", -1, 2, nil, "bo", nil},
		"announced too long":     {"body", 4, 2, nil, "bo", nil},
		"shorter than announced": {"bo", 4, 100, iotest.OneByteReader, "bo", nil},
		"broken off":             {"", -1, 100, func(io.Reader) io.Reader { return iotest.ErrReader(broken) }, "", broken},
	} {
		b := &Budget{}
		r := io.Reader(strings.NewReader(c.body))
		if c.reader != nil {
			r = c.reader(r)
		}
		body, err := b.Read(r, c.length, c.maxBytes)
		if string(body.Bytes) != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: read %q, error %v, want %q, error %v", name, body.Bytes, err, c.want, c.err)
		}
	}
}
