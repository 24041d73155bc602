// Package pieceorigin stands in for the platform's origin of weights, which sends manifests
// and pieces of the two newest versions and may spoil what it sends.
package pieceorigin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// paceParts is the number of parts in which a body is sent that takes some time.
const paceParts = 16

type (
	// Server is the stand-in. Set the exported fields before the first call.
	Server struct {
		// Model is the name of the only model.
		Model string
		// Pieces is the number of pieces of a version, and PieceBytes their size.
		Pieces, PieceBytes int
		// spoil changes the bytes of an answer; nil for never.
		spoil func(call string, body []byte) []byte
		// pace returns how long the body of an answer takes to send; nil for no time.
		pace func(call string) time.Duration

		mu     sync.Mutex
		newest int64
	}

	manifest struct {
		Model   string   `json:"model"`
		Version int64    `json:"version"`
		Bytes   int      `json:"chunk-bytes"`
		Layers  int      `json:"layers"`
		Digests []string `json:"digests"`
	}
)

// SetNewest sets the newest version.
func (s *Server) SetNewest(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = version
}

// SetSpoil sets what changes the bytes of answers; nil for nothing.
func (s *Server) SetSpoil(spoil func(call string, body []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = spoil
}

// SetPace sets how long the bodies of answers take to send; nil for no time.
func (s *Server) SetPace(pace func(call string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

// Piece returns a piece. No two are the same.
func (s *Server) Piece(version int64, index int) []byte {
	data := make([]byte, s.PieceBytes)
	for at := 0; at+16 <= len(data); at += 16 {
		binary.BigEndian.PutUint64(data[at:], uint64(version))
		binary.BigEndian.PutUint64(data[at+8:], uint64(index)<<32|uint64(at))
	}
	return data
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	version, newest, spoil, pace := s.newest, s.newest, s.spoil, s.pace
	s.mu.Unlock()
	query := r.URL.Query()
	if v, err := strconv.ParseInt(query.Get("version"), 10, 64); err == nil {
		version = v
	}
	index, _ := strconv.Atoi(query.Get("sample-count"))
	if version <= newest-2 {
		w.WriteHeader(http.StatusGone)
		return
	}
	var body []byte
	call := "manifest"
	switch {
	case version < 1 || version > newest || index < 0 || index >= s.Pieces:
	case r.URL.Path == "/v1/manifest/"+s.Model:
		body = s.manifest(version)
	case r.URL.Path == "/v1/piece/"+s.Model:
		call = "piece"
		body = s.Piece(version, index)
	}
	if body == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if spoil != nil {
		body = spoil(call, body)
	}
	if pace == nil {
		_, _ = w.Write(body)
		return
	}
	send(w, r, body, pace(call))
}

// send sends a body in equal parts over a time.
func send(w http.ResponseWriter, r *http.Request, body []byte, takes time.Duration) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	part := (len(body) + paceParts - 1) / paceParts
	for chunk := range slices.Chunk(body, part) {
		_, _ = w.Write(chunk)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(takes / paceParts):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) manifest(version int64) []byte {
	m := manifest{Model: s.Model, Version: version, Bytes: s.PieceBytes, Layers: 16}
	for i := range s.Pieces {
		sum := sha256.Sum256(s.Piece(version, i))
		m.Digests = append(m.Digests, hex.EncodeToString(sum[:]))
	}
	body, err := json.Marshal(m)
	if err != nil {
		// The fields are plain strings and numbers, so this is a programming error.
		panic(err)
	}
	return body
}
