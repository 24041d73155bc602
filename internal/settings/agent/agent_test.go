package agent

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/settings/entry"
)

// valid is a complete settings file; test cases replace parts of it.
const valid = `instance: a-1
failureDomain: surat-a
region: guj-west
pool: draft-models
listen:
  control: 127.0.0.1:7001
  chunks: 127.0.0.1:7003
  admin: 127.0.0.1:7002
objectAPI:
  url: http://127.0.0.1:8001
instanceList:
  url: http://127.0.0.1:8002
backend:
  kind: engine
  url: http://127.0.0.1:9000
weights:
  origin: http://127.0.0.1:8003
`

// Checks that every problem of a settings file is reported with line, key and
// expected value, and that several problems are reported together, so that an
// operator need not run the check once per problem.
func TestProblemsHaveLineKeyAndExpectedValue(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"unknown key", "pool: draft-models", "pools: draft-models", []string{
			`agent.yaml:4: pools: unknown key; expected one of instance, failureDomain, region, pool, listen, objectAPI, instanceList, tables, backend, weights, limits, timeouts, telemetry`}},
		{"unknown nested key", "  origin: http", "  source: http://x\n  origin: http", []string{
			`agent.yaml:17: weights.source: unknown key; expected one of origin, weightStore, originBias, originPatience, stagingLimit, originRate, machineRate, regionRate, liveShare, uploadSlots, downloadSlots, chunkDeadline`}},
		{"no unit", "weights:\n", "timeouts:\n  startFreshness: 5\nweights:\n", []string{
			`agent.yaml:17: timeouts.startFreshness: "5" is not a duration with a unit; expected a duration with a unit such as 300ms or 10s`}},
		{"wrong units", "weights:\n", "weights:\n  stagingLimit: 4s\n  regionRate: 20 MB\n", []string{
			`agent.yaml:17: weights.stagingLimit: "4s" has no unit of bytes; expected a size with a unit such as 512 KiB or 64 MB`,
			`agent.yaml:18: weights.regionRate: "20 MB" has no unit of bits or bytes a second; expected a rate with a unit such as 20 Mbit/s or 2.5 MB/s`}},
		{"duplicate address", "chunks: 127.0.0.1:7003", "chunks: 127.0.0.1:7001", []string{
			`agent.yaml:7: listen.chunks: address 127.0.0.1:7001 is also used by listen.control; expected a different address for each listener`}},
		{"missing failure domain", "failureDomain: surat-a\n", "", []string{
			`agent.yaml:1: failureDomain: is missing; expected a string`}},
		{"empty value", "region: guj-west", "region:", []string{`agent.yaml:3: region: has no value; expected a string`}},
		{"address without port", "control: 127.0.0.1:7001", "control: localhost", []string{
			`agent.yaml:6: listen.control: "localhost" is not allowed; expected an IP address and a port such as 127.0.0.1:7000`}},
		{"duplicate key", "region: guj-west", "region: guj-west\nregion: x", []string{
			`agent.yaml:4: mapping key "region" already defined at [3:1]; expected valid YAML or JSON`}},
		{"not a mapping", "backend:\n  kind: engine\n  url: http://127.0.0.1:9000", "backend: engine", []string{
			`agent.yaml:13: backend: is not a mapping; expected one of kind, url, reportInterval`}},
		{"wrong kind", "kind: engine", "kind: motor", []string{`agent.yaml:14: backend.kind: "motor" is not allowed; expected one of engine, plain`}},
		{"engine without origin", "  origin: http://127.0.0.1:8003", "  originBias: 1", []string{
			`agent.yaml:16: weights.origin: is missing; expected the origin's URL, because backend.kind is engine`}},
		{"bias above range", "weights:\n", "weights:\n  originBias: 1.5\n", []string{`agent.yaml:17: weights.originBias: "1.5" is not allowed; expected at most 1`}},
		{"lease shorter than order", "weights:\n", "timeouts: {leaseDuration: 2s, maxOrderDelay: 3s}\nweights:\n", []string{
			`agent.yaml:16: timeouts.leaseDuration: 2s is not above timeouts.maxOrderDelay, which is 3s; expected a longer time than timeouts.maxOrderDelay`}},
		{"anchor", "region: guj-west", "region: &r guj-west", []string{`agent.yaml:3: region: anchors, aliases and tags are not supported; expected a plain value`}},
		{"two documents", "weights:\n", "---\nweights:\n", []string{`agent.yaml:1: the file contains several YAML documents; expected one document`}},
		{"three problems", "instance: a-1\nfailureDomain: surat-a", "instances: a-1\nfailureDomain: 7\nlimits: {maxInFlight: many}", []string{
			`agent.yaml:1: instances: unknown key; expected one of `,
			`agent.yaml:2: failureDomain: "7" is not a string; expected a string`,
			`agent.yaml:3: limits.maxInFlight: "many" is not valid; expected a whole number`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			content := strings.Replace(valid, tt.old, tt.new, 1)
			if content == valid {
				t.Fatal("the test case does not change the valid settings")
			}
			_, err := Parse("agent.yaml", []byte(content))
			if err == nil {
				t.Fatal("invalid settings were accepted")
			}
			lines := strings.Split(err.Error(), "\n")
			if len(lines) != len(tt.want) {
				t.Fatalf("got %d problems, want %d:\n%v", len(lines), len(tt.want), err)
			}
			for i, want := range tt.want {
				if !strings.HasPrefix(lines[i], want) {
					t.Errorf("got  %s\nwant %s", lines[i], want)
				}
			}
		})
	}
}

// Checks that settings with the default values pass the checks, and that sizes
// and rates are converted to bytes correctly.
func TestValidSettingsHaveDefaultsAndUnits(t *testing.T) {
	s, err := Parse("agent.yaml", []byte(strings.Replace(valid, "weights:\n", "weights:\n  regionRate: 20 Mbit/s\n  stagingLimit: 1.5 GiB\n", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Weights.RegionRate != 2_500_000 || s.Weights.StagingLimit != 3<<29 {
		t.Errorf("rate %d and limit %d are not 2500000 and %d bytes", s.Weights.RegionRate, s.Weights.StagingLimit, 3<<29)
	}
	if s.Timeouts != Defaults().Timeouts || s.Limits != Defaults().Limits {
		t.Error("omitted sections do not have their default values")
	}
}

// Checks that the example settings files load and contain the regions, pools and
// origin biases of the two deployments that they describe.
func TestExampleFilesLoad(t *testing.T) {
	tests := []struct {
		deployment, region string
		originBias         float64
		kindByPool         map[string]mulberryspool.PoolKind
	}{
		{"gantabya", "bagmati", 0.8, map[string]mulberryspool.PoolKind{"tally-scribe": "engine", "tally-ledger": "engine", "gate-roster": "plain"}},
		{"kesarvani", "guj-west", 0.1, map[string]mulberryspool.PoolKind{"draft-models": "engine", "order-desk": "engine", "ledger-misc": "plain"}},
	}
	for _, tt := range tests {
		directory := filepath.Join("..", "..", "..", "examples", tt.deployment)
		entrySettings, err := entry.Load(filepath.Join(directory, "entry.yaml"))
		if err != nil {
			t.Error(err)
		}
		if entrySettings.Region != tt.region {
			t.Errorf("%s: entry is in region %s, want %s", tt.deployment, entrySettings.Region, tt.region)
		}
		for pool, kind := range tt.kindByPool {
			s, err := Load(filepath.Join(directory, "agent-"+pool+".yaml"))
			if err != nil {
				t.Error(err)
			}
			if s.Pool != pool || s.Backend.Kind != kind || kind == "engine" && s.Weights.OriginBias != tt.originBias {
				t.Errorf("%s: %s has pool %s, kind %s, originBias %v", tt.deployment, pool, s.Pool, s.Backend.Kind, s.Weights.OriginBias)
			}
		}
	}
}
