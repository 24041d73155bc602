package origin

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/ratelimit"
)

// reader reads the content for one request. It applies the rate limit and the
// fault of the request, and counts what is read.
type reader struct {
	io.ReadSeeker
	server  *Server
	request *http.Request
	path    string
	file    file
	effect  fault.Effect
	offset  int64
	// faultOffset is the offset at which a fault interrupts or corrupts the content.
	faultOffset int64
	// requestCounted is set when the request was added to Count.Requests.
	requestCounted bool
	// nextChunk is one above the highest index of a chunk to whose
	// Count.Requests this request was added.
	nextChunk int
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
	buffer = buffer[:min(len(buffer), ratelimit.MaxBlock)]
	interrupts := r.effect.Kind == fault.Stall || r.effect.Kind == fault.Truncate
	if interrupts {
		if r.offset >= r.faultOffset {
			if r.effect.Kind == fault.Stall {
				r.effect.WaitCleared(r.request.Context())
			}
			return 0, errors.New("content interrupted by an injected fault")
		}
		buffer = buffer[:min(int64(len(buffer)), r.faultOffset-r.offset)]
	}
	n, err := r.ReadSeeker.Read(buffer)
	if n == 0 {
		return n, err
	}
	if err := r.server.limiter.Wait(r.request.Context(), n); err != nil {
		return 0, err
	}
	if index := r.faultOffset - r.offset; r.effect.Kind == fault.Corrupt && index >= 0 && index < int64(n) {
		buffer[index] ^= 0xff
	}
	r.count(int64(n))
	r.offset += int64(n)
	return n, err
}

// count adds n bytes from the current offset to the counts. The request itself
// is added once to the path and once to each chunk.
func (r *reader) count(n int64) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := 0
	if !r.requestCounted {
		r.requestCounted, requests = true, 1
	}
	s.counts.Total = s.counts.Total.Plus(requests, n)
	s.counts.Paths[r.path] = s.counts.Paths[r.path].Plus(requests, n)
	start, end := r.offset, r.offset+n
	for i := r.file.chunkAt(start); i < len(r.file.chunks) && r.file.chunkOffsets[i] < end; i++ {
		chunk := r.file.chunks[i]
		overlap := min(end, r.file.chunkOffsets[i]+chunk.Size) - max(start, r.file.chunkOffsets[i])
		requests := 0
		if i >= r.nextChunk {
			r.nextChunk, requests = i+1, 1
		}
		s.counts.Chunks[chunk.Digest] = s.counts.Chunks[chunk.Digest].Plus(requests, overlap)
	}
}

// chunkAt returns the index of the chunk that contains the offset.
func (f file) chunkAt(offset int64) int {
	return max(0, sort.Search(len(f.chunkOffsets), func(i int) bool { return f.chunkOffsets[i] > offset })-1)
}

// Plus returns the count with more requests and bytes added.
func (c Count) Plus(requests int, size int64) Count {
	return Count{Requests: c.Requests + requests, Bytes: c.Bytes + size}
}

// rangeMiddle returns the offset in the middle of the first range of a Range header,
// or of the whole content if the header is missing, invalid or names a suffix.
func rangeMiddle(header string, size int64) int64 {
	spec, found := strings.CutPrefix(header, "bytes=")
	first, last, hasDash := strings.Cut(spec, "-")
	start, err := strconv.ParseInt(first, 10, 64)
	if !found || !hasDash || err != nil {
		return size / 2
	}
	end, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		end = size - 1
	}
	return start + (min(end, size-1)+1-start)/2
}
