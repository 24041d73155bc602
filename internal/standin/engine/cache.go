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
	// BlockTokens is the unit of the prefix cache.
	BlockTokens = 16
	blockBytes  = BlockTokens * bytesPerToken
	// maxEvents bounds the events that are kept for readers.
	maxEvents = 4096
)

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

type (
	// CacheEvent says that a block of a prefix was stored or evicted.
	CacheEvent struct {
		// Sequence rises by 1 with each event; a gap shows that events were lost.
		Sequence uint64 `json:"sequence"`
		Kind     string `json:"kind"`
		// Block is the hash of the prompt's text up to the end of the block.
		Block uint64 `json:"block,string"`
	}

	// CacheEvents is the body of GET /engine/cache-events.
	CacheEvents struct {
		Events []CacheEvent `json:"events"`
	}

	// cache holds the hashes of prefixes, the least recently used one last.
	cache struct {
		clock  mulberryspool.Clock
		random *rand.Rand
		delay  time.Duration
		loss   float64
		limit  int

		mu       sync.Mutex
		blocks   map[uint64]*list.Element
		order    list.List
		sequence uint64
		events   []datedEvent
	}

	datedEvent struct {
		CacheEvent
		visible time.Time
	}
)

func (c *cache) init(s *Server) {
	c.clock, c.random, c.delay, c.loss = s.Clock, s.Random, s.CacheEventDelay, s.CacheEventLoss
	c.limit = orDefault(s.CacheBlocks, DefaultCacheBlocks)
	c.blocks = make(map[uint64]*list.Element)
}

// use returns how many tokens of the prompt were cached, and caches the rest.
func (c *cache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	hash := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = hash.WriteString(prompt[end-blockBytes : end])
		block := hash.Sum64()
		if element, found := c.blocks[block]; found {
			c.order.MoveToFront(element)
			hits++
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		c.emit(CacheStored, block)
		c.shrink(c.limit)
	}
	return hits * BlockTokens
}

// clear empties the cache, because its content belongs to other weights.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shrink(0)
}

// shrink needs the lock.
func (c *cache) shrink(limit int) {
	for c.order.Len() > limit {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, block)
		c.emit(CacheEvicted, block)
	}
}

// emit needs the lock.
func (c *cache) emit(kind string, block uint64) {
	c.sequence++
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	event := CacheEvent{Sequence: c.sequence, Kind: kind, Block: block}
	c.events = append(c.events, datedEvent{CacheEvent: event, visible: c.clock.Now().Add(c.delay)})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

func (c *cache) read(after uint64) CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	found := CacheEvents{Events: []CacheEvent{}}
	for _, e := range c.events {
		if e.Sequence > after && !e.visible.After(now) {
			found.Events = append(found.Events, e.CacheEvent)
		}
	}
	return found
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
