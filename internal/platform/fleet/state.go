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
		// ConfigEra is the latest era of the store in which Ingress is known to be the
		// configuration of its version.
		ConfigEra mulberryspool.Era `json:"configEra,omitempty"`
		// ServersAt is the store's revision at which Servers was last known to be
		// exact; 0 while no list is known. ServersEra is its era.
		ServersAt  mulberryspool.Revision `json:"serversAt,omitempty"`
		ServersEra mulberryspool.Era      `json:"serversEra,omitempty"`
		// CompleteAt is the store's revision as of which no server is missing in Servers,
		// and CompleteEra its era. It is past ServersAt while some of them are in their
		// grace period. It is 0 from a build that does not send it.
		CompleteAt  mulberryspool.Revision `json:"completeAt,omitempty"`
		CompleteEra mulberryspool.Era      `json:"completeEra,omitempty"`
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
		// Cold is a hash of the servers that are cold and for how long; 0 if none is, and from a
		// build that does not send it.
		Cold uint64 `json:"cold,omitempty" msgpack:",omitempty"`
		// CompleteAt and CompleteEra are those of State if they are past ServersAt.
		CompleteAt  mulberryspool.Revision `json:"completeAt,omitempty" msgpack:",omitempty"`
		CompleteEra mulberryspool.Era      `json:"completeEra,omitempty" msgpack:",omitempty"`
		// ServersEra and ConfigEra are those of State, ConfigHash is a hash of its Ingress.
		// Era is the latest era of the store that the process knows of. All of them are 0
		// from a build that does not send them.
		ServersEra mulberryspool.Era `json:"serversEra,omitempty" msgpack:",omitempty"`
		ConfigEra  mulberryspool.Era `json:"configEra,omitempty" msgpack:",omitempty"`
		ConfigHash uint64            `json:"configHash,omitempty" msgpack:",omitempty"`
		Era        mulberryspool.Era `json:"era,omitempty" msgpack:",omitempty"`
		// Named holds the named versions of each model that still decide something, oldest first.
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

// serversPosition returns the position at which Servers was last known to be exact.
func (s State) serversPosition() mulberryspool.Position {
	return mulberryspool.Position{Era: s.ServersEra, Revision: s.ServersAt}
}

// Complete returns the position as of which no server is missing.
func (s State) Complete() mulberryspool.Position {
	return s.serversPosition().Max(mulberryspool.Position{Era: s.CompleteEra, Revision: s.CompleteAt})
}

// Complete returns the position as of which the process lacks no server.
func (s Summary) Complete() mulberryspool.Position {
	return s.serversPosition().Max(mulberryspool.Position{Era: s.CompleteEra, Revision: s.CompleteAt})
}

// serversPosition returns that of the state.
func (s Summary) serversPosition() mulberryspool.Position {
	return mulberryspool.Position{Era: s.ServersEra, Revision: s.ServersAt}
}

// ForAgents returns the state without the parts that only entries need, which
// are most of the bytes.
func (s State) ForAgents() State {
	if s.Ingress != nil {
		s.Ingress = &mulberryspool.Ingress{Version: s.Ingress.Version, Pools: s.Ingress.Pools}
	}
	return s
}

// Part returns a part of the state, for a reader with a summary of its own state. An empty
// part is the whole state.
func (s State) Part(part Part, reader Summary) State {
	hasConfig := s.Ingress != nil && (s.Ingress.Version < reader.Config || s.Ingress.Version == reader.Config && s.ConfigEra <= reader.ConfigEra)
	if part == PartServers || hasConfig {
		s.Ingress, s.ConfigEra = nil, 0
	}
	if part == PartConfig {
		s.Servers, s.ServersAt, s.ServersEra, s.CompleteAt, s.CompleteEra = nil, 0, 0, 0, 0
		return s
	}
	known := reader.Complete()
	if known.Era == 0 {
		// An earlier build names no era.
		known.Era = s.ServersEra
	}
	changed := make(Servers)
	for id, b := range s.Servers {
		// Leaving may have been learned without a change of the object.
		if b.Revision == 0 || b.Position().After(known) || b.Leaving {
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

// hashCold returns a hash of the servers that are cold and for how long; 0 if none is.
func hashCold(servers Servers) uint64 {
	var sum uint64
	for id, b := range servers {
		if b.ColdFor > 0 {
			sum += xxhash.Sum64String(fmt.Sprint(id, b.Born, b.ColdFor))
		}
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
