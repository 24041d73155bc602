// Package hosted holds the settings of the roles on the users' platform,
// which fills them in from deploy/settings.yaml.
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
	// DefaultMetricsPort serves metrics on every machine; deploy/system.toml names it.
	DefaultMetricsPort = 9464
	// DefaultLogSample is the share of requests that went well whose lines are kept.
	DefaultLogSample = 0.05
	// minPorts is the number of internal ports that a role uses.
	minPorts = 4
)

// Offsets of the internal ports from the first one.
const (
	entryBeatPort = iota
	agentBeatPort
	agentControlPort
	agentChunksPort
)

type (
	// Settings is the content of a settings file.
	Settings struct {
		Instance      string `yaml:"instance" validate:"required"`
		FailureDomain string `yaml:"failureDomain" validate:"required"`
		Region        string `yaml:"region" validate:"required"`
		// Address is the machine's own IP address.
		Address string `yaml:"address" validate:"required,ip"`
		// Ports are the internal ports, the same on all machines.
		Ports Ports `yaml:"ports"`
		// Regions holds the region of each failure domain.
		Regions []Region `yaml:"regions" validate:"dive"`
		Listen  Listen   `yaml:"listen"`
		// Backend is the model server on the same machine; agents only.
		Backend string `yaml:"backend" validate:"omitempty,address"`
		// Pool is that of the model server; agents only.
		Pool string `yaml:"pool"`
		// FirstStart is set when the whole system starts for the first time.
		FirstStart bool `yaml:"firstStart"`
		// Store is the platform's metadata store.
		Store  string `yaml:"store" validate:"required,address"`
		Bounds Bounds `yaml:"bounds"`
		Limits Limits `yaml:"limits"`

		LogLevel string `yaml:"logLevel" validate:"oneof=debug info warn error"`
		// LogSample is the share of requests that went well whose lines are kept.
		LogSample   float64 `yaml:"logSample" validate:"gte=0,lte=1"`
		MetricsPort int     `yaml:"metricsPort" validate:"gt=0,lt=65536"`
	}

	// Region says where a failure domain is.
	Region struct {
		FailureDomain string `yaml:"failureDomain" validate:"required"`
		Region        string `yaml:"region" validate:"required"`
	}

	// Ports is a range with both ends.
	Ports struct {
		First int `yaml:"first" validate:"gt=0,lt=65536"`
		Last  int `yaml:"last" validate:"gt=0,lt=65536"`
	}

	// Listen holds the listeners of an entry.
	Listen struct {
		Callers   string `yaml:"callers" validate:"omitempty,address"`
		Readiness string `yaml:"readiness" validate:"omitempty,address"`
	}

	// Bounds are what the platform's operators promise or ask for.
	Bounds struct {
		// GracefulStop is the time from SIGTERM to SIGKILL.
		GracefulStop time.Duration `yaml:"gracefulStop" validate:"gt=0"`
		// NamedVersion is the time in which a named version replaces the last.
		NamedVersion time.Duration `yaml:"namedVersion" validate:"gt=0"`
		// RepeatRatio, RepeatWindow and RepeatSlack bound the repeats of a pool.
		RepeatRatio  float64       `yaml:"repeatRatio" validate:"gte=0"`
		RepeatWindow time.Duration `yaml:"repeatWindow" validate:"gt=0"`
		RepeatSlack  float64       `yaml:"repeatSlack" validate:"gte=0"`
	}

	// Limits are those of the machine.
	Limits struct {
		Memory decode.Size `yaml:"memory" validate:"gt=0"`
		Link   decode.Rate `yaml:"link" validate:"gt=0"`
	}
)

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	return decode.Load(file, defaults(), check, nil)
}

// Parse does what Load does for content that has been read already.
func Parse(file string, data []byte) (Settings, error) {
	return decode.Parse(file, data, defaults(), check, nil)
}

func defaults() Settings {
	return Settings{
		LogLevel: shared.DefaultLogLevel, LogSample: DefaultLogSample, MetricsPort: DefaultMetricsPort,
		Bounds: Bounds{
			GracefulStop: 8 * time.Second, NamedVersion: 8 * time.Second,
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

// RegionOf returns the region of a failure domain, empty when it is not known.
func (s Settings) RegionOf(failureDomain string) string {
	for _, r := range s.Regions {
		if r.FailureDomain == failureDomain {
			return r.Region
		}
	}
	return ""
}

// Identity is that of an entry or an agent.
func (s Settings) Identity(role mulberryspool.Role) mulberryspool.Identity {
	return mulberryspool.Identity{
		Instance: mulberryspool.InstanceID(s.Instance), Role: role, FailureDomain: s.FailureDomain, Region: s.Region, Pool: s.Pool,
	}
}

// EntryBeat is the address of beats and beliefs of the entry on a machine.
func (s Settings) EntryBeat(ip string) string { return s.internal(ip, entryBeatPort) }

// AgentBeat is the address of beats of the agent on a machine.
func (s Settings) AgentBeat(ip string) string { return s.internal(ip, agentBeatPort) }

// AgentControl is the jsonrpc2 address of the agent on a machine.
func (s Settings) AgentControl(ip string) string { return s.internal(ip, agentControlPort) }

// AgentChunks is where the agent on a machine hands out chunks.
func (s Settings) AgentChunks(ip string) string { return s.internal(ip, agentChunksPort) }

// Metrics is where a role serves its metrics.
func (s Settings) Metrics() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.MetricsPort))
}

func (s Settings) internal(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports.First+offset))
}

// AgentBeatOf is AgentBeat for the machine of a backend server.
func (s Settings) AgentBeatOf(backend string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(backend)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(address.Addr(), uint16(s.Ports.First+agentBeatPort)), nil
}
