package engine

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

const (
	// BlockTokens is the number of tokens in a block, the unit of the prefix
	// cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * bytesPerToken
	// maxCacheEvents bounds the events that are kept for readers; the oldest ones
	// are dropped.
	maxCacheEvents = 4096
)

// Kinds of CacheEvent.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

type (
	// CacheEvent reports that a block was stored or evicted.
	CacheEvent struct {
		// Sequence increases by 1 with each event; a gap means that events were
		// lost.
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		// Block is the hash of the prompt's text from its start to the end of
		// the block.
		Block uint64 `json:"block,string"`
	}

	// CacheEvents is the body of GET /engine/cache-events.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
	}

	// cache simulates a prefix cache with eviction of the least recently used
	// blocks. It holds only the hashes of the blocks.
	cache struct {
		clock      mulberryspool.Clock
		random     *rand.Rand
		eventDelay time.Duration
		lossRate   float64
		maxBlocks  int

		mu     sync.Mutex
		blocks map[uint64]*list.Element
		// lru holds the hashes, the least recently used one last.
		lru      list.List
		sequence uint64
		events   []delayedEvent
	}

	// delayedEvent is an event and the time from which it can be read.
	delayedEvent struct {
		CacheEvent
		readableAt time.Time
	}
)

func (c *cache) init(s *Server) {
	c.clock, c.random, c.eventDelay, c.lossRate = s.Clock, s.Random, s.CacheEventDelay, s.CacheEventLoss
	c.maxBlocks = orDefault(s.CacheBlocks, DefaultCacheBlocks)
	c.blocks = make(map[uint64]*list.Element)
}

// lookupAndInsert returns the number of tokens of the prompt that were cached,
// and caches the rest. A last block that is not full is never cached.
func (c *cache) lookupAndInsert(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	hash := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = hash.WriteString(prompt[end-blockBytes : end])
		block := hash.Sum64()
		if element, found := c.blocks[block]; found {
			c.lru.MoveToFront(element)
			hits++
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.emit(CacheStored, block)
		c.evictTo(c.maxBlocks)
	}
	return hits * BlockTokens
}

// clear empties the cache. It is called when other weights are loaded, for which
// the cached blocks are invalid.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictTo(0)
}

// evictTo evicts blocks until at most limit are left. The caller must hold c.mu.
func (c *cache) evictTo(limit int) {
	for c.lru.Len() > limit {
		block := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, block)
		c.emit(CacheEvicted, block)
	}
}

// emit records an event, or loses it at random. The caller must hold c.mu.
func (c *cache) emit(kind string, block uint64) {
	c.sequence++
	if c.lossRate > 0 && c.random.Float64() < c.lossRate {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Kind: kind, Block: block}
	c.events = append(c.events, delayedEvent{CacheEvent: event, readableAt: c.clock.Now().Add(c.eventDelay)})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// read returns the events with a higher sequence number whose delay has passed.
func (c *cache) read(after uint64) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	readable := CacheEvents{Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.Sequence > after && !e.readableAt.After(now) {
			readable.Events = append(readable.Events, e.CacheEvent)
		}
	}
	return readable
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			serve.WriteError(w, http.StatusBadRequest, "invalidAfter", "after must be the sequence number of an event")
			return
		}
		after = parsed
	}
	serve.WriteJSON(w, http.StatusOK, s.cache.read(after))
}
