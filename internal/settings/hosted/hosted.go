// Package hosted holds the settings of the roles that run on the users'
// platform. The platform renders the settings file of each process from the
// template deploy/settings.yaml.
package hosted

import (
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
)

const (
	// DefaultMetricsPort is the port of the metrics on every machine. It has to
	// match deploy/system.toml.
	DefaultMetricsPort = 9464
	// DefaultLogSample is the fraction of successful requests that are logged.
	DefaultLogSample = 0.05
	// minPorts is the number of internal ports in use, see the offsets below.
	minPorts = 4
)

// Offsets of the internal ports from Ports.First.
const (
	entryHeartbeatOffset = iota
	agentHeartbeatOffset
	agentControlOffset
	agentChunksOffset
)

type (
	// Settings is the content of a hosted role's settings file.
	Settings struct {
		Instance      string `yaml:"instance" validate:"required"`
		FailureDomain string `yaml:"failureDomain" validate:"required"`
		Region        string `yaml:"region" validate:"required"`
		// Address is the IP address of this machine.
		Address string `yaml:"address" validate:"required,ip"`
		// Ports are the ports for traffic between the roles, the same on all machines.
		Ports Ports `yaml:"ports"`
		// Regions maps each failure domain to its region.
		Regions []Region `yaml:"regions" validate:"dive"`
		Listen  Listen   `yaml:"listen"`
		// Backend is the address of the model server on the same machine; only
		// set for agents.
		Backend string `yaml:"backend" validate:"omitempty,address"`
		// Pool is the pool of the model server; only set for agents.
		Pool string `yaml:"pool"`
		// FirstStart is true when the whole system starts for the first time.
		FirstStart bool `yaml:"firstStart"`
		// Store is the address of the platform's metadata store.
		Store  string `yaml:"store" validate:"required,address"`
		Bounds Bounds `yaml:"bounds"`
		Limits Limits `yaml:"limits"`

		LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
		// LogSample is the fraction of successful requests that are logged.
		LogSample   float64 `yaml:"logSample" validate:"gte=0,lte=1"`
		MetricsPort int     `yaml:"metricsPort" validate:"gt=0,lt=65536"`
	}

	// Region assigns a failure domain to a region.
	Region struct {
		FailureDomain string `yaml:"failureDomain" validate:"required"`
		Region        string `yaml:"region" validate:"required"`
	}

	// Ports is an inclusive range of ports.
	Ports struct {
		First int `yaml:"first" validate:"gt=0,lt=65536"`
		Last  int `yaml:"last" validate:"gt=0,lt=65536"`
	}

	// Listen contains the listen addresses of an entry.
	Listen struct {
		Callers   string `yaml:"callers" validate:"omitempty,address"`
		Readiness string `yaml:"readiness" validate:"omitempty,address"`
	}

	// Bounds are the limits that the platform's operators guarantee or require.
	Bounds struct {
		// GracefulStop is the time between SIGTERM and SIGKILL.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
		// NamedVersion is the time within which a newly named version has to
		// replace the previous one.
		NamedVersion time.Duration `yaml:"namedVersion" validate:"gt=0"`
		// Configuration is the time within which a new configuration has to be in force at all
		// entries, LeavingServer that within which a backend server that leaves must get no
		// more requests.
		Configuration time.Duration `yaml:"configuration" validate:"gt=0"`
		LeavingServer time.Duration `yaml:"leavingServer" validate:"gt=0"`
		// RepeatRatio, RepeatWindow and RepeatSlack are the retry budget of a pool.
		RepeatRatio  float64       `yaml:"repeatRatio" validate:"gte=0"`
		RepeatWindow time.Duration `yaml:"repeatWindow" validate:"gt=0"`
		RepeatSlack  float64       `yaml:"repeatSlack" validate:"gte=0"`
		// Evacuation is the time within which no request may reach a failure domain that
		// is evacuated; 0 if failure domains are never evacuated.
		Evacuation time.Duration `yaml:"evacuation" validate:"gte=0"`
		// ColdOvershoot and ColdSlack bound the requests that a cold backend server gets in
		// a second from all entries together: its rate times ColdOvershoot, plus ColdSlack.
		// Both are 0 if backend servers are never cold.
		ColdOvershoot float64 `yaml:"coldOvershoot" validate:"gte=0"`
		ColdSlack     float64 `yaml:"coldSlack" validate:"gte=0"`
	}

	// Limits are the resources of the machine.
	Limits struct {
		Memory decode.Size `yaml:"memory" validate:"gt=0"`
		Link   decode.Rate `yaml:"link" validate:"gt=0"`
		// Descriptors is the number of open files and sockets of a process; 0 if not known.
		Descriptors int `yaml:"descriptors" validate:"gte=0"`
	}
)

// Load reads a settings file over the defaults and checks it.
func Load(file string) (Settings, error) {
	return decode.Load(file, defaults(), check, nil)
}

// Parse is like Load for content that is already in memory.
func Parse(file string, data []byte) (Settings, error) {
	return decode.Parse(file, data, defaults(), check, nil)
}

func defaults() Settings {
	return Settings{
		LogLevel: shared.DefaultLogLevel, LogSample: DefaultLogSample, MetricsPort: DefaultMetricsPort,
		Bounds: Bounds{
			GracefulStop: 8 * time.Second, NamedVersion: 8 * time.Second,
			Configuration: 2 * time.Second, LeavingServer: 2 * time.Second,
			RepeatRatio: shared.DefaultRetryBudget, RepeatWindow: 10 * time.Second,
		},
		Limits: Limits{Memory: 128 << 20, Link: 1 << 20},
	}
}

func check(s *Settings, report *decode.Report) {
	if s.Ports.Last-s.Ports.First+1 < minPorts {
		report.Add("ports", "the range is too short", strconv.Itoa(minPorts)+" ports or more")
	}
	if s.RegionOf(s.FailureDomain) == "" {
		report.Add("regions", "failure domain "+s.FailureDomain+" has no region", "a region for each failure domain")
	}
}

// RegionOf returns the region of a failure domain, or an empty string if the
// failure domain is unknown.
func (s Settings) RegionOf(failureDomain string) string {
	for _, r := range s.Regions {
		if r.FailureDomain == failureDomain {
			return r.Region
		}
	}
	return ""
}

// Identity returns the identity of the process in the given role.
func (s Settings) Identity(role mulberryspool.Role) mulberryspool.Identity {
	return mulberryspool.Identity{
		Instance: mulberryspool.InstanceID(s.Instance), Role: role, FailureDomain: s.FailureDomain, Region: s.Region, Pool: s.Pool,
	}
}

// EntryHeartbeatAddress returns the address of the entry on the machine with the
// IP: over UDP for heartbeats, over TCP for reading its cluster state.
func (s Settings) EntryHeartbeatAddress(ip string) string {
	return s.internalAddress(ip, entryHeartbeatOffset)
}

// AgentHeartbeatAddress returns the UDP address for heartbeats of the agent on
// the machine with the IP.
func (s Settings) AgentHeartbeatAddress(ip string) string {
	return s.internalAddress(ip, agentHeartbeatOffset)
}

// AgentControlAddress returns the jsonrpc2 address of the agent on the machine with
// the IP.
func (s Settings) AgentControlAddress(ip string) string {
	return s.internalAddress(ip, agentControlOffset)
}

// AgentChunksAddress returns the address at which the agent on the machine with
// the IP serves chunks.
func (s Settings) AgentChunksAddress(ip string) string {
	return s.internalAddress(ip, agentChunksOffset)
}

// MetricsAddress returns the address of this process's metrics.
func (s Settings) MetricsAddress() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.MetricsPort))
}

// internalAddress returns the machine's address with an internal port.
func (s Settings) internalAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports.First+offset))
}

// AgentHeartbeatAddressOf returns the heartbeat address of the agent on the
// machine of the backend server with the address.
func (s Settings) AgentHeartbeatAddressOf(backend string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(backend)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(address.Addr(), uint16(s.Ports.First+agentHeartbeatOffset)), nil
}
