// Package heartbeat exchanges heartbeats between entries and agents as UDP datagrams.
//
//	entry  --> entries: requests in flight, summary of its state, addresses of other entries,
//	                    parts of prompts that crash backend servers, rate limits and silence of these,
//	                    evacuated failure domains
//	entry  --> agents:  its address, named versions, parts of prompts
//	agent  --> entries: the version that its backend server serves, the delay of its link, parts of prompts
//
// The named version of a model is the one that the platform's operators want
// served.
//
// Datagrams may be lost: the next heartbeat repeats what matters, and no
// decision depends on a single heartbeat.
package heartbeat

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
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
	"github.com/mulberryspool/mulberryspool/internal/platform/evacuation"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

const (
	// maxDatagram is the maximum size of a heartbeat in bytes, enough for the
	// loads of a few hundred servers.
	maxDatagram = 32 << 10
	// PeerTimeout is the time without heartbeats after which a peer is removed.
	PeerTimeout = 5 * time.Second
)

type (
	// Message is a heartbeat. It is encoded as an array without field names,
	// because heartbeats make up most of the traffic between entries. The order
	// and the types of the fields are part of the protocol.
	Message struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Role mulberryspool.Role
		// Sender is the instance name of the sending process.
		Sender string
		// Boot and Sequence order the heartbeats of a sender. Boot increases with
		// each start of the process.
		Boot     int64
		Sequence uint64
		// Summary is not in every heartbeat.
		Summary *Summary
		// Loads holds an entry's requests in flight by backend server. With
		// Partial set, it holds only the servers whose load has changed.
		Loads   map[mulberryspool.InstanceID]placement.Load
		Partial bool
		// EntryAddresses holds heartbeat addresses of other entries.
		EntryAddresses []string
		// Report is nil in heartbeats of entries.
		Report *AgentReport
		// FailureDomain is that of the sender.
		FailureDomain string
		// Waiting is the number of an entry's queued requests by pool, as scheduler.Waiting
		// returns it. It is sent together with Loads.
		Waiting map[string]int
	}

	// Summary is encoded as a map, unlike a Message: peers ignore the fields that
	// they don't know, so new ones are added here. The field names, including those of
	// fleet.Summary, are part of the protocol.
	Summary struct {
		// Summary says how recent the sender's state is.
		fleet.Summary
		// Findings holds what the sender knows of parts of prompts that crash
		// backend servers.
		Findings []quarantine.Finding `msgpack:",omitempty"`
		// Limits holds the rate limits of backend servers. With Partial set, it holds
		// only those that have changed.
		Limits []serverlimit.Report `msgpack:",omitempty"`
		// Silences holds the backend servers that have fallen silent.
		Silences []silence.Report `msgpack:",omitempty"`
		// Evacuations holds the evacuated failure domains, nil if they are not known.
		Evacuations *evacuation.Report `msgpack:",omitempty"`
		// Demand holds what the requests of an entry ask of the overloaded pools.
		Demand map[string]shedding.Report `msgpack:",omitempty"`
	}

	// AgentReport is an agent's report on its backend server. It is encoded as
	// a map, so the field names are part of the protocol.
	AgentReport struct {
		Instance mulberryspool.InstanceID
		// Born is the start of the backend server's incarnation in Unix milliseconds.
		Born int64
		// Version is the model version that the server accepts requests for; 0 for none.
		Version int64
		// LeftMillis is the time until the server stops accepting requests; 0 if
		// not known.
		LeftMillis int64
		// LinkDelayMillis is how long data takes to reach the server's machine; 0 if that
		// is not unusually long.
		LinkDelayMillis int64 `msgpack:",omitempty"`
	}

	// Transport sends and receives heartbeats. Set the exported fields before Run.
	Transport struct {
		// Conn is closed by Run.
		Conn   *net.UDPConn
		Clock  mulberryspool.Clock
		Logger zerolog.Logger
		// Self holds the fields that identify this process. They are copied into
		// each message.
		Self Message
		// Handle is called from Run's goroutine. A heartbeat that arrives after a
		// newer one from the same sender is dropped.
		Handle func(m Message, from netip.AddrPort)

		mu       sync.Mutex
		sequence uint64
		senders  map[string]sender
	}

	sender struct {
		address       netip.AddrPort
		role          mulberryspool.Role
		failureDomain string
		lastSeen      time.Time
		boot          int64
		sequence      uint64
	}
)

// Listen opens the UDP socket of a Transport.
func Listen(address string) (*net.UDPConn, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse heartbeat address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(parsed))
	return conn, mulberryspool.AtStep(err, "listen for heartbeats", address)
}

// Run receives heartbeats until the context ends.
func (t *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.Conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := t.Conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return mulberryspool.AtStep(err, "receive heartbeat", t.Conn.LocalAddr().String())
		}
		var m Message
		if err := decode(buffer[:n], &m); err != nil {
			t.Logger.Warn().Err(err).Str("peer", from.String()).Msg("heartbeat cannot be decoded")
			continue
		}
		if t.accept(m, from) {
			t.Handle(m, from)
		}
	}
}

func decode(datagram []byte, m *Message) error {
	if err := validate(datagram); err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(datagram, m), "decode message")
}

// accept records the sender of a heartbeat. It returns false for a heartbeat
// that is not newer than the previous one from the same sender.
func (t *Transport) accept(m Message, from netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.senders == nil {
		t.senders = make(map[string]sender)
	}
	last, known := t.senders[m.Sender]
	if known && (m.Boot < last.boot || m.Boot == last.boot && m.Sequence <= last.sequence) {
		return false
	}
	if !known {
		t.Logger.Info().Str("step", "add peer").Str("peer", m.Sender).Str("address", from.String()).Str("role", string(m.Role)).Msg("first heartbeat of a peer received")
	}
	t.senders[m.Sender] = sender{address: from, role: m.Role, failureDomain: m.FailureDomain, lastSeen: t.Clock.Now(), boot: m.Boot, sequence: m.Sequence}
	return true
}

// ActivePeers returns the addresses of the processes of a role that sent a
// heartbeat within PeerTimeout. It removes the peers that did not.
func (t *Transport) ActivePeers(role mulberryspool.Role) []netip.AddrPort {
	sameDomain, otherDomains := t.ActivePeersByDomain(role)
	return append(sameDomain, otherDomains...)
}

// ActivePeersByDomain is like ActivePeers but separates the peers in this
// process's failure domain from those in other failure domains.
func (t *Transport) ActivePeersByDomain(role mulberryspool.Role) (sameDomain, otherDomains []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	for name, s := range t.senders {
		if now.Sub(s.lastSeen) > PeerTimeout {
			delete(t.senders, name)
			t.Logger.Info().Str("step", "remove peer").Str("peer", name).Dur("silent", now.Sub(s.lastSeen)).Msg("no heartbeat from peer within the timeout, peer removed")
			continue
		}
		switch {
		case s.role != role:
		case s.failureDomain == t.Self.FailureDomain:
			sameDomain = append(sameDomain, s.address)
		default:
			otherDomains = append(otherDomains, s.address)
		}
	}
	return sameDomain, otherDomains
}

// Send sends the message to all addresses.
func (t *Transport) Send(m Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	t.mu.Lock()
	t.sequence++
	m.Role, m.Sender, m.FailureDomain, m.Boot, m.Sequence = t.Self.Role, t.Self.Sender, t.Self.FailureDomain, t.Self.Boot, t.sequence
	t.mu.Unlock()
	encoded, err := msgpack.Marshal(&m)
	if err != nil {
		t.Logger.Error().Err(err).Msg("heartbeat cannot be encoded")
		return
	}
	if len(encoded) > maxDatagram {
		t.Logger.Error().Int("bytes", len(encoded)).Msg("heartbeat exceeds the maximum datagram size")
		return
	}
	for _, address := range to {
		// A failed send is treated like a lost datagram: the next heartbeat follows soon.
		if _, err := t.Conn.WriteToUDPAddrPort(encoded, address); err != nil {
			t.Logger.Debug().Err(err).Str("peer", address.String()).Msg("heartbeat not sent")
		}
	}
}
