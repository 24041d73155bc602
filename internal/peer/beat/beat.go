// Package beat exchanges small datagrams between entries and agents.
//
//	entry  --> entries: requests in flight, how new its beliefs are, other entries
//	entry  --> agents:  its address, named versions
//	agent  --> entries: what its backend server serves
//
// A lost datagram is made good by the next one. Nothing is decided by a
// single beat alone.
package beat

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

const (
	// maxDatagram bounds one beat; it holds the loads of a few hundred servers.
	maxDatagram = 32 << 10
	// DefaultForget is how long a process that sends nothing is remembered.
	DefaultForget = 5 * time.Second
)

type (
	// Message is one beat. It is encoded as a list, because most of the bytes
	// between entries are beats.
	Message struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Role mulberryspool.Role
		// Node names the sender.
		Node string
		// Boot and Number order the beats of a sender; Boot rises with each start.
		Boot   int64
		Number uint64
		// Marks is set by entries and agents, but not in each beat.
		Marks *fleet.Marks
		// Loads is what an entry has in flight, Partial whether only the servers
		// that changed are in it.
		Loads   map[mulberryspool.InstanceID]placement.Load
		Partial bool
		// Peers are addresses of other entries.
		Peers []string
		// Served is set by agents.
		Served *Served
		// Domain is the sender's failure domain.
		Domain string
		// Waiting holds the pools for which requests of an entry wait, with Loads.
		Waiting map[string]int
	}

	// Served is what an agent says of its backend server.
	Served struct {
		Instance mulberryspool.InstanceID
		Born     int64
		// Version is the version that requests may be sent for; 0 for none.
		Version int64
		// LeftMillis is the time until the server takes nothing new; 0 for not known.
		LeftMillis int64
	}

	// Link sends and receives beats. Set the exported fields before Run.
	Link struct {
		// Conn is closed by Run.
		Conn   *net.UDPConn
		Clock  mulberryspool.Clock
		Logger zerolog.Logger
		// Self is filled into each message.
		Self Message
		// Received is called from Run's goroutine, for the newest beats only.
		Received func(m Message, from netip.AddrPort)

		mu     sync.Mutex
		number uint64
		heard  map[string]sender
	}

	sender struct {
		address netip.AddrPort
		role    mulberryspool.Role
		domain  string
		at      time.Time
		boot    int64
		number  uint64
	}
)

// Listen opens the socket of a link.
func Listen(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of beats")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	return conn, mulberryspool.AtStep(err, "listen for beats", address)
}

// Run receives beats until the context ends.
func (l *Link) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return mulberryspool.AtStep(err, "receive beat", l.Conn.LocalAddr().String())
		}
		var m Message
		if err := msgpack.Unmarshal(buffer[:n], &m); err != nil {
			l.Logger.Warn().Err(err).Str("peer", from.String()).Msg("beat is not readable")
			continue
		}
		if l.note(m, from) {
			l.Received(m, from)
		}
	}
}

// note says whether the beat is newer than the last one of its sender.
func (l *Link) note(m Message, from netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = make(map[string]sender)
	}
	last, known := l.heard[m.Node]
	if known && (m.Boot < last.boot || m.Boot == last.boot && m.Number <= last.number) {
		return false
	}
	if !known {
		l.Logger.Info().Str("step", "hear peer").Str("peer", m.Node).Str("address", from.String()).Str("role", string(m.Role)).Msg("peer is heard")
	}
	l.heard[m.Node] = sender{address: from, role: m.Role, domain: m.Domain, at: l.Clock.Now(), boot: m.Boot, number: m.Number}
	return true
}

// Heard returns the addresses of the processes of a role that were heard
// lately, and forgets the others.
func (l *Link) Heard(role mulberryspool.Role) []netip.AddrPort {
	near, far := l.HeardByDomain(role)
	return append(near, far...)
}

// HeardByDomain is Heard with those of the own failure domain apart.
func (l *Link) HeardByDomain(role mulberryspool.Role) (near, far []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for node, s := range l.heard {
		if now.Sub(s.at) > DefaultForget {
			delete(l.heard, node)
			l.Logger.Info().Str("step", "forget peer").Str("peer", node).Dur("silent", now.Sub(s.at)).Msg("peer is silent")
			continue
		}
		switch {
		case s.role != role:
		case s.domain == l.Self.Domain:
			near = append(near, s.address)
		default:
			far = append(far, s.address)
		}
	}
	return near, far
}

// Send sends one message to all addresses.
func (l *Link) Send(m Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	l.mu.Lock()
	l.number++
	m.Role, m.Node, m.Domain, m.Boot, m.Number = l.Self.Role, l.Self.Node, l.Self.Domain, l.Self.Boot, l.number
	l.mu.Unlock()
	encoded, err := msgpack.Marshal(&m)
	if err != nil {
		l.Logger.Error().Err(err).Msg("beat can't be encoded")
		return
	}
	if len(encoded) > maxDatagram {
		l.Logger.Error().Int("bytes", len(encoded)).Msg("beat is too long")
		return
	}
	for _, address := range to {
		// Beats may be lost, and the next one is on its way soon.
		if _, err := l.Conn.WriteToUDPAddrPort(encoded, address); err != nil {
			l.Logger.Debug().Err(err).Str("peer", address.String()).Msg("beat not sent")
		}
	}
}
