package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/platform/membership"
	"github.com/mulberryspool/mulberryspool/internal/platform/namedversion"
)

// Parts of a State.
const (
	PartConfig  Part = "config"
	PartServers Part = "servers"
)

type (
	// Servers maps instances to backend servers.
	Servers = membership.Servers

	// State is what a process knows of the configuration and the backend servers.
	State struct {
		// Ingress is the configuration; nil while none is known.
		Ingress *mulberryspool.Ingress `json:"ingress,omitempty"`
		Servers Servers                `json:"servers,omitempty"`
		// ServersAt is the store's revision at which Servers was last known to be
		// exact; 0 while no list is known.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		// Unchanged holds the servers that are left out of Servers because the reader
		// has them already.
		Unchanged []mulberryspool.InstanceID `json:"unchanged,omitempty"`
	}

	// Part is a part of a State.
	Part string

	// Summary says how recent a process's state is, so that a peer knows
	// whether it is newer than the peer's own.
	Summary struct {
		Config int64 `json:"config,omitempty"`
		// ServersAt is State.ServersAt; Servers is a hash of State.Servers.
		ServersAt mulberryspool.Revision `json:"serversAt,omitempty"`
		Servers   uint64                 `json:"servers,omitempty"`
		// Named holds the newest named versions of each model, oldest first.
		Named map[string][]NamedVersionAge `json:"named,omitempty"`
		// ConfigAnsweredMillis is the time since the store last answered the process's
		// call for the configuration; 0 if the process does not watch it.
		ConfigAnsweredMillis int64 `json:"configAnsweredMillis,omitempty" msgpack:",omitempty"`
		// SentMillis is the sender's monotonic clock, which the ages refer to; 0 from a
		// build that does not send it.
		SentMillis int64 `json:"sentMillis,omitempty" msgpack:",omitempty"`
	}

	// NamedVersionAge is what a peer reports of a named version.
	NamedVersionAge = namedversion.Report
)

// ForAgents returns the state without the parts that only entries need, which
// are most of the bytes.
func (s State) ForAgents() State {
	if s.Ingress != nil {
		s.Ingress = &mulberryspool.Ingress{Version: s.Ingress.Version, Pools: s.Ingress.Pools}
	}
	return s
}

// Part returns a part of the state, for a reader whose own state has the version of the
// configuration and the exact list of servers. An empty part is the whole state.
func (s State) Part(part Part, config int64, serversAt mulberryspool.Revision) State {
	if part == PartServers || s.Ingress != nil && s.Ingress.Version <= config {
		s.Ingress = nil
	}
	if part == PartConfig {
		s.Servers, s.ServersAt = nil, 0
		return s
	}
	changed := make(Servers)
	for id, b := range s.Servers {
		// Leaving may have been learned without a change of the object.
		if b.Revision == 0 || b.Revision > serversAt || b.Leaving {
			changed[id] = b
		} else {
			s.Unchanged = append(s.Unchanged, id)
		}
	}
	s.Servers = changed
	return s
}

// hashServers returns a hash of the servers' properties that does not depend on
// their order.
func hashServers(servers Servers) uint64 {
	var sum uint64
	for id, b := range servers {
		sum += xxhash.Sum64String(fmt.Sprint(id, b.Born, b.Address, b.Leaving, b.Models))
	}
	return sum
}

// loadedVersions returns the loaded version of each model.
func loadedVersions(b mulberryspool.BackendServer) map[string]int64 {
	loaded := make(map[string]int64, len(b.Models))
	for _, m := range b.Models {
		loaded[m.Model] = m.Version
	}
	return loaded
}
