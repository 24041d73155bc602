package origin

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/pace"
)

// reader paces and counts what is read for one request.
type reader struct {
	io.ReadSeeker
	server  *Server
	request *http.Request
	path    string
	file    file
	effect  fault.Effect
	offset  int64
	// faultAt is the offset at which a fault of the content begins.
	faultAt int64
	counted bool
	// lastChunk is one above the index of the latest chunk that was counted.
	lastChunk int
}

// Seek implements io.Seeker.
func (r *reader) Seek(offset int64, whence int) (int64, error) {
	position, err := r.ReadSeeker.Seek(offset, whence)
	if err == nil {
		r.offset = position
	}
	return position, err
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	buffer = buffer[:min(len(buffer), pace.MaxBlock)]
	breaks := r.effect.Kind == fault.Stall || r.effect.Kind == fault.Truncate
	if breaks {
		if r.offset >= r.faultAt {
			if r.effect.Kind == fault.Stall {
				r.effect.WaitCleared(r.request.Context())
			}
			return 0, errors.New("content ends early because of a fault")
		}
		buffer = buffer[:min(int64(len(buffer)), r.faultAt-r.offset)]
	}
	n, err := r.ReadSeeker.Read(buffer)
	if n == 0 {
		return n, err
	}
	if err := r.server.limit.Wait(r.request.Context(), n); err != nil {
		return 0, err
	}
	if at := r.faultAt - r.offset; r.effect.Kind == fault.Corrupt && at >= 0 && at < int64(n) {
		buffer[at] ^= 0xff
	}
	r.count(int64(n))
	r.offset += int64(n)
	return n, err
}

func (r *reader) count(n int64) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := 0
	if !r.counted {
		r.counted, requests = true, 1
	}
	s.counts.Total = s.counts.Total.Plus(requests, n)
	s.counts.Paths[r.path] = s.counts.Paths[r.path].Plus(requests, n)
	start, end := r.offset, r.offset+n
	for i := r.file.chunkAt(start); i < len(r.file.chunks) && r.file.starts[i] < end; i++ {
		chunk := r.file.chunks[i]
		overlap := min(end, r.file.starts[i]+chunk.Size) - max(start, r.file.starts[i])
		requests := 0
		if i >= r.lastChunk {
			r.lastChunk, requests = i+1, 1
		}
		s.counts.Chunks[chunk.Digest] = s.counts.Chunks[chunk.Digest].Plus(requests, overlap)
	}
}

// chunkAt returns the index of the chunk that holds the offset.
func (f file) chunkAt(offset int64) int {
	return max(0, sort.Search(len(f.starts), func(i int) bool { return f.starts[i] > offset })-1)
}

// Plus returns the sum.
func (c Count) Plus(requests int, size int64) Count {
	return Count{Requests: c.Requests + requests, Bytes: c.Bytes + size}
}

// middle returns the offset in the middle of the first range, or of the
// content if there is no valid one.
func middle(header string, size int64) int64 {
	spec, found := strings.CutPrefix(header, "bytes=")
	first, last, dashed := strings.Cut(spec, "-")
	start, err := strconv.ParseInt(first, 10, 64)
	if !found || !dashed || err != nil {
		return size / 2
	}
	end, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		end = size - 1
	}
	return start + (min(end, size-1)+1-start)/2
}
