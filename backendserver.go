package mulberryspool

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of what a backend server may say of itself. Its object may come from another
// writer, and every process keeps and passes on what it accepts of it.
const (
	// MaxNameBytes is the maximum length of the names in an object.
	MaxNameBytes = 256
	// MaxSlots is the maximum number of requests that a backend server runs concurrently.
	MaxSlots = 1 << 16
	// MaxColdTime is the maximum time for which a backend server is cold.
	MaxColdTime = time.Hour
	// MaxLoadedModels is the maximum number of models of a backend server.
	MaxLoadedModels = 64
)

// Validate returns an error if a value can't be that of a backend server. Values that are
// not given are valid.
func (s BackendServer) Validate() error {
	names := []string{string(s.Instance), s.Pool, s.FailureDomain}
	for _, m := range s.Models {
		names = append(names, m.Model)
		if m.Version < 0 {
			return errors.Newf("version %d of model %.40q is negative", m.Version, m.Model)
		}
	}
	for _, name := range names {
		if len(name) > MaxNameBytes {
			return errors.Newf("name %.40q has %d bytes, more than %d", name, len(name), MaxNameBytes)
		}
	}
	switch {
	case s.Instance == "":
		return errors.New("backend server has no name")
	case s.Slots < 0 || s.Slots > MaxSlots:
		return errors.Newf("%d slots, want 0 to %d", s.Slots, MaxSlots)
	case s.Born < 0:
		return errors.Newf("start at %d ms is negative", s.Born)
	case s.ColdFor < 0 || s.ColdFor > MaxColdTime:
		return errors.Newf("cold for %v, want 0 to %v", s.ColdFor, MaxColdTime)
	case len(s.Models) > MaxLoadedModels:
		return errors.Newf("%d models, more than %d", len(s.Models), MaxLoadedModels)
	case s.Address == "":
		return nil
	}
	return validateAddress(s.Address)
}

// validateAddress returns an error unless connections can be opened to the address.
func validateAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse address")
	}
	if ip := parsed.Addr(); parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return errors.Newf("no connections can be opened to %s", parsed)
	}
	return nil
}
