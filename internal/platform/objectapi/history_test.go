package objectapi

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	standin "github.com/mulberryspool/mulberryspool/internal/standin/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/testkit/faultproxy"
)

type (
	// objectState is the state of one object in the model. An object without a
	// value does not exist. The version is 0 while no response has contained it.
	objectState struct {
		value   string
		version mulberryspool.Revision
	}

	objectCall struct {
		operation, name, value string
		version                mulberryspool.Revision
	}

	objectOutcome struct {
		object mulberryspool.Object
		err    error
	}

	history struct {
		mu         sync.Mutex
		operations []porcupine.Operation
	}
)

var objectModel = porcupine.NondeterministicModel{
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byName := make(map[string][]porcupine.Operation)
		for _, o := range operations {
			name := o.Input.(objectCall).name
			byName[name] = append(byName[name], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{objectState{}} },
	Step: func(state, input, output any) []any {
		return step(state.(objectState), input.(objectCall), output.(objectOutcome))
	},
}

func step(before objectState, input objectCall, output objectOutcome) []any {
	matches := before.value != "" && (before.version == 0 || before.version == input.version)
	if input.operation == "create" {
		matches = before.value == ""
	}
	if input.operation == "get" {
		return stepGet(before, output)
	}
	after := objectState{value: input.value, version: output.object.Version}
	if input.operation == "delete" {
		after = objectState{}
	}
	switch {
	case errors.Is(output.err, mulberryspool.ErrUnavailable):
		return []any{before}
	case errors.Is(output.err, mulberryspool.ErrUncertain):
		if matches {
			return []any{before, after}
		}
		return []any{before}
	case errors.Is(output.err, mulberryspool.ErrConflict):
		if matches && before.version != 0 || matches && input.operation == "create" {
			return nil
		}
		return []any{before}
	case output.err == nil && matches:
		return []any{after}
	default:
		return nil
	}
}

func stepGet(before objectState, output objectOutcome) []any {
	switch {
	case errors.Is(output.err, mulberryspool.ErrNotFound):
		if before.value == "" {
			return []any{before}
		}
	case output.err == nil && before.value == string(output.object.Value):
		if before.version == 0 || before.version == output.object.Version {
			return []any{objectState{value: before.value, version: output.object.Version}}
		}
	}
	return nil
}

// call sends one call and records it. It returns the version in the response.
func (h *history) call(c *Client, id int, input objectCall) mulberryspool.Revision {
	ctx := context.Background()
	var output objectOutcome
	began := time.Now().UnixNano()
	switch input.operation {
	case "get":
		output.object, output.err = c.Get(ctx, "kind", input.name)
	case "create":
		output.object, output.err = c.Create(ctx, "kind", input.name, []byte(input.value))
	case "update":
		output.object, output.err = c.Update(ctx, "kind", input.name, []byte(input.value), input.version)
	default:
		output.err = c.Delete(ctx, "kind", input.name, input.version)
	}
	ended := time.Now().UnixNano()
	if errors.Is(output.err, mulberryspool.ErrUncertain) {
		// The write may take effect at any later time.
		ended = math.MaxInt64
	}
	if input.operation == "get" && errors.Is(output.err, mulberryspool.ErrUnavailable) {
		return input.version
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: id, Input: input, Call: began, Output: output, Return: ended})
	return output.object.Version
}

// Guards against stale reads, lost and duplicate writes, and writes that are
// reported as without effect although they had one, with faults of the object
// API and of the network.
func TestHistoryIsLinearizable(t *testing.T) {
	const (
		processes = 3
		callers   = 2
		calls     = 60
		names     = 3
	)
	s := &standin.Server{}
	target, err := url.Parse(startServer(t, s))
	if err != nil {
		t.Fatal(err)
	}
	proxy, err := faultproxy.Start(target.Host)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	var (
		h     history
		group sync.WaitGroup
	)
	for process := range processes {
		c := newClient(t, "http://"+proxy.Address(), fmt.Sprint("process-", process), uint64(process))
		c.AttemptTimeout = 200 * time.Millisecond
		for caller := range callers {
			id := process*callers + caller
			random := rand.New(rand.NewPCG(8, uint64(id)))
			group.Go(func() {
				for n := range calls {
					if n%8 == id {
						injectFault(t, s, proxy, random)
					}
					input := objectCall{
						operation: []string{"create", "update", "update", "delete"}[random.IntN(4)],
						name:      fmt.Sprint("name-", random.IntN(names)),
						value:     fmt.Sprint(id, "/", n),
					}
					input.version = h.call(c, id, objectCall{operation: "get", name: input.name})
					h.call(c, id, input)
				}
			})
		}
	}
	group.Wait()
	outcomes := make(map[string]int)
	for _, o := range h.operations {
		outcomes[outcomeName(o.Output.(objectOutcome).err)]++
	}
	t.Logf("outcomes: %v", outcomes)
	for _, want := range []string{"ok", "conflict", "uncertain"} {
		if outcomes[want] == 0 {
			t.Errorf("no call ended with outcome %s, so the history does not cover it", want)
		}
	}
	if !porcupine.CheckOperations(objectModel.ToModel(), h.operations) {
		for _, o := range h.operations {
			t.Logf("%+v", o)
		}
		t.Fatal("the history is not linearizable")
	}
}

func injectFault(t *testing.T, s *standin.Server, proxy *faultproxy.Proxy, random *rand.Rand) {
	writes := []string{standin.OperationCreate, standin.OperationUpdate, standin.OperationDelete}
	rules := []fault.Rule{
		{Kind: fault.LoseAnswer, Calls: 2, Operations: writes},
		{Kind: fault.HangAnswer, Calls: 1, Operations: writes},
		{Kind: fault.Refuse, Calls: 2, Operations: writes},
		{Kind: fault.Refuse, Calls: 2},
		{Kind: fault.Unavailable, Calls: 3},
		{Kind: fault.Slow, Calls: 5, Delay: 5 * time.Millisecond},
	}
	choice := random.IntN(len(rules) + 2)
	switch {
	case choice < len(rules):
		addFault(t, s, rules[choice])
	case choice == len(rules):
		proxy.Cut()
	default:
		proxy.Stall(faultproxy.ToClient)
	}
}

func outcomeName(err error) string {
	for name, want := range map[string]error{
		"conflict":    mulberryspool.ErrConflict,
		"uncertain":   mulberryspool.ErrUncertain,
		"unavailable": mulberryspool.ErrUnavailable,
		"notFound":    mulberryspool.ErrNotFound,
	} {
		if errors.Is(err, want) {
			return name
		}
	}
	if err != nil {
		return err.Error()
	}
	return "ok"
}
