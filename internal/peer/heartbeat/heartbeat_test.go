package heartbeat

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
	"github.com/mulberryspool/mulberryspool/internal/platform/evacuation"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// firstMessage is a Message as the first builds encode it.
type firstMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Role           mulberryspool.Role
	Sender         string
	Boot           int64
	Sequence       uint64
	Summary        *fleet.Summary
	Loads          map[mulberryspool.InstanceID]placement.Load
	Partial        bool
	EntryAddresses []string
	Report         *AgentReport
	FailureDomain  string
	Waiting        map[string]int
}

func recode(t *testing.T, from, to any) {
	t.Helper()
	encoded, err := msgpack.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(encoded, to); err != nil {
		t.Fatalf("decode %T as %T: %v", from, to, err)
	}
}

// Guards against heartbeats that a build of before or after drops as undecodable.
func TestFirstBuildsReadHeartbeats(t *testing.T) {
	summary := fleet.Summary{Config: 7, ServersAt: 9, Servers: 11, Named: map[string][]fleet.NamedVersionAge{"m": {{Version: 2, AgeMillis: 30}}}}
	findings := []quarantine.Finding{{Part: "m/p", Proven: true, Crashes: []quarantine.CrashFinding{{Server: 3, AgeMillis: 4, Refuted: true}}, TrialRequest: "r", TrialAgeMillis: 5}}
	limits := []serverlimit.Report{{Instance: "i-1", Born: 6, Rate: 3.8, AgeMillis: 20, Sent: 12}}
	evacuations := &evacuation.Report{Era: 2, Revision: 8, Domains: []string{"a"}, AgeMillis: 9, AnsweredMillis: 10}
	first := firstMessage{
		Role: mulberryspool.RoleEntry, Sender: "e-1", Boot: 3, Sequence: 4, Summary: &summary,
		Loads:   map[mulberryspool.InstanceID]placement.Load{"i-1": {Requests: 2, PendingPromptTokens: 5}},
		Partial: true, EntryAddresses: []string{"10.0.0.1:7700"}, Report: &AgentReport{Instance: "i-1", Born: 6, Version: 2, LeftMillis: 7},
		FailureDomain: "a", Waiting: map[string]int{"p": 1},
	}
	message := Message{
		Role: first.Role, Sender: first.Sender, Boot: first.Boot, Sequence: first.Sequence,
		Summary: &Summary{Summary: summary, Findings: findings, Limits: limits, Evacuations: evacuations}, Loads: first.Loads, Partial: first.Partial,
		EntryAddresses: first.EntryAddresses, Report: first.Report, FailureDomain: first.FailureDomain, Waiting: first.Waiting,
	}
	var asFirst firstMessage
	recode(t, &message, &asFirst)
	if !reflect.DeepEqual(asFirst, first) {
		t.Errorf("first builds read %+v, want %+v", asFirst, first)
	}
	var asMessage Message
	recode(t, &first, &asMessage)
	message.Summary.Findings, message.Summary.Limits, message.Summary.Evacuations = nil, nil, nil
	if !reflect.DeepEqual(asMessage, message) {
		t.Errorf("read %+v of first builds, want %+v", asMessage, message)
	}
	message.Summary.Findings, message.Summary.Limits, message.Summary.Evacuations = findings, limits, evacuations
	asMessage = Message{}
	recode(t, &message, &asMessage)
	if !reflect.DeepEqual(asMessage, message) {
		t.Errorf("read %+v, want %+v", asMessage, message)
	}
}
