package process

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
	"github.com/mulberryspool/mulberryspool/internal/testkit/fake"
)

const poolName = "draft-models"

func enginePool(version string) mulberryspool.Pool {
	return mulberryspool.Pool{Name: poolName, Kind: mulberryspool.PoolEngine, Version: version}
}

// runningAgent is a running Process with its fakes.
type runningAgent struct {
	*Process
	engine *fakeEngine
	tables *fake.Tables
	stop   func()
}

type agentOptions struct {
	instance  mulberryspool.InstanceID
	run       string
	engine    *fakeEngine
	store     *fake.Store
	instances *fake.Instances
	clock     mulberryspool.Clock
	configure func(*Process)
}

func startAgent(t *testing.T, o agentOptions) *runningAgent {
	t.Helper()
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := o.clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	tables := &fake.Tables{}
	identity := mulberryspool.Identity{
		Instance: o.instance, Incarnation: mulberryspool.Incarnation(string(o.instance) + "/" + o.run),
		Role: mulberryspool.RoleAgent, FailureDomain: "surat-a", Pool: poolName, Control: control.Addr().String(),
	}
	if o.instances == nil {
		o.instances = &fake.Instances{}
	}
	o.instances.Add(identity)
	p := &Process{
		Identity: identity, Clock: clock, Backend: o.engine, Store: o.store, Instances: o.instances,
		Tables: tables, Stager: newStager(), Logger: zerolog.Nop(),
		Endpoint: &rpc.Endpoint{Clock: clock, HLC: &hlc.Clock{Wall: clock}}, Control: control,
		ReadBackInterval: 20 * time.Millisecond, RetryInterval: 50 * time.Millisecond,
		HeartbeatInterval: 20 * time.Millisecond, InstanceListPollInterval: 50 * time.Millisecond,
		MaxOrderDelay: 20 * time.Millisecond, LeaseDuration: 300 * time.Millisecond,
	}
	if o.configure != nil {
		o.configure(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	var once sync.Once
	a := &runningAgent{Process: p, engine: o.engine, tables: tables}
	a.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(a.stop)
	return a
}

// await polls until the condition holds. It is limited only by the test's timeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	t.Log("waiting until " + what)
	for !condition() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (a *runningAgent) awaitServing(t *testing.T, version string) {
	t.Helper()
	await(t, string(a.Identity.Instance)+" serves "+version, func() bool {
		status := a.Status()
		return status.ServedVersion == version && status.Served == manifestOf(version).Digest
	})
}

// testEntry is an RPC client that acts as an entry and collects answers.
type testEntry struct {
	mu      sync.Mutex
	conn    *rpc.Conn
	status  mulberryspool.Heartbeat
	data    map[mulberryspool.RequestID][]byte
	ends    chan mulberryspool.EndNotice
	chunks  chan mulberryspool.ChunkNotice
	leaving chan struct{}
}

func dialEntry(t *testing.T, address string) *testEntry {
	t.Helper()
	clock := clockwork.NewRealClock()
	e := &testEntry{
		data:    make(map[mulberryspool.RequestID][]byte),
		ends:    make(chan mulberryspool.EndNotice, 100),
		chunks:  make(chan mulberryspool.ChunkNotice, 1000),
		leaving: make(chan struct{}, 10),
	}
	endpoint := &rpc.Endpoint{Clock: clock, HLC: &hlc.Clock{Wall: clock}, Handle: e.handle}
	conn, err := endpoint.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	e.conn = conn
	var hello mulberryspool.HelloResult
	params := mulberryspool.HelloParams{Identity: mulberryspool.Identity{Instance: "entry-1", Role: mulberryspool.RoleEntry}}
	if err := conn.Call(t.Context(), mulberryspool.MethodHello, params, &hello); err != nil {
		t.Fatal(err)
	}
	e.status = hello.Status
	return e
}

func (e *testEntry) handle(m rpc.Message) {
	switch m.Method {
	case mulberryspool.MethodChunk:
		var notice mulberryspool.ChunkNotice
		if m.Decode(&notice) == nil {
			e.mu.Lock()
			e.data[notice.RequestID] = append(e.data[notice.RequestID][:notice.Offset], notice.Data...)
			e.mu.Unlock()
			e.chunks <- notice
		}
	case mulberryspool.MethodEnd:
		var notice mulberryspool.EndNotice
		if m.Decode(&notice) == nil {
			e.ends <- notice
		}
	case mulberryspool.MethodLeaving:
		e.leaving <- struct{}{}
		_ = m.Reply(struct{}{})
	}
}

func (e *testEntry) start(t *testing.T, id mulberryspool.RequestID) mulberryspool.StartResult {
	t.Helper()
	var status mulberryspool.Heartbeat
	if err := e.conn.Call(t.Context(), mulberryspool.MethodHeartbeat, mulberryspool.HeartbeatParams{Instance: "entry-1"}, &status); err != nil {
		t.Fatal(err)
	}
	e.status = status
	var result mulberryspool.StartResult
	params := mulberryspool.StartParams{
		RequestID: id, Incarnation: status.Incarnation, AgentTime: status.AgentTime, Pool: poolName,
		Remaining: time.Minute, Method: "POST", Path: "/v1/chat/completions", Body: []byte("{}"),
	}
	if err := e.conn.Call(t.Context(), mulberryspool.MethodStart, params, &result); err != nil {
		t.Fatal(err)
	}
	return result
}

// checkAnswer waits for the end of an answer and checks its outcome, its
// weights and the received bytes.
func (e *testEntry) checkAnswer(t *testing.T, version string) {
	t.Helper()
	end := <-e.ends
	want := fmt.Sprintf("first part from %s;last part", version)
	e.mu.Lock()
	defer e.mu.Unlock()
	data := e.data[end.RequestID]
	if end.Outcome != mulberryspool.OutcomeDone || end.Weights != manifestOf(version).Digest {
		t.Fatalf("answer ended as %+v", end)
	}
	if !bytes.Equal(data, []byte(want)) || end.Length != int64(len(want)) || end.Checksum != xxhash.Sum64String(want) {
		t.Fatalf("answer is %q, end %+v, want %q", data, end, want)
	}
}

// An agent loads a version and serves a request; it is stopped during the
// answer. It must refuse new requests, complete the answer and leave no
// goroutines behind.
func TestServesAndLeaves(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	engine := newEngine()
	engine.hold = make(chan struct{})
	a := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: engine, store: newStore("v1")})
	setPool(a.tables, 1, enginePool("v1"))
	a.awaitServing(t, "v1")
	entry := dialEntry(t, a.Identity.Control)
	if result := entry.start(t, "r1"); !result.Accepted {
		t.Fatalf("start was refused: %+v", result)
	}
	<-entry.chunks
	left := make(chan struct{})
	go func() {
		defer close(left)
		a.stop()
	}()
	<-entry.leaving
	if result := entry.start(t, "r2"); result.Refusal != mulberryspool.RefusalLeaving {
		t.Fatalf("a leaving agent answered %+v", result)
	}
	close(engine.hold)
	entry.checkAnswer(t, "v1")
	<-left
	<-entry.conn.Done()
	if loads := engine.loadCount(); loads != 1 {
		t.Fatalf("%d loads, want 1", loads)
	}
}

// The entry's connection closes in the middle of an answer. A resolve on a second
// connection must return the rest, and the request must run only once.
func TestResolveOnSecondConnection(t *testing.T) {
	engine := newEngine()
	engine.hold = make(chan struct{})
	a := startAgent(t, agentOptions{instance: "surat-1", run: "1", engine: engine, store: newStore("v1")})
	setPool(a.tables, 1, enginePool("v1"))
	a.awaitServing(t, "v1")
	first := dialEntry(t, a.Identity.Control)
	if result := first.start(t, "r1"); !result.Accepted {
		t.Fatalf("start was refused: %+v", result)
	}
	part := (<-first.chunks).Data
	first.conn.Close()
	second := dialEntry(t, a.Identity.Control)
	second.data["r1"] = part
	params := mulberryspool.ResolveParams{RequestID: "r1", Incarnation: first.status.Incarnation, AgentTime: first.status.AgentTime, Offset: int64(len(part))}
	var result mulberryspool.ResolveResult
	if err := second.conn.Call(t.Context(), mulberryspool.MethodResolve, params, &result); err != nil {
		t.Fatal(err)
	}
	if result.State != mulberryspool.ResolveRunning {
		t.Fatalf("resolve answered %+v", result)
	}
	close(engine.hold)
	second.checkAnswer(t, "v1")
	if runs := engine.submitted["r1"]; runs != 1 {
		t.Fatalf("executed %d times, want once", runs)
	}
}

// A load of v2 fails: the agents must report it and continue to serve v1. While
// v3 is being loaded, the version is changed to v4: the agents must serve v4.
func TestFailedAndSupersededRollout(t *testing.T) {
	store, instances := newStore("v1", "v2", "v3", "v4"), &fake.Instances{}
	var agents []*runningAgent
	all := func(revision mulberryspool.Revision, version string) {
		for _, a := range agents {
			setPool(a.tables, revision, enginePool(version))
		}
	}
	for _, instance := range []mulberryspool.InstanceID{"surat-1", "surat-2", "surat-3"} {
		engine := newEngine()
		engine.failing["v2"] = true
		engine.onLoad = func(order mulberryspool.LoadOrder) {
			if order.Version == "v3" {
				all(4, "v4")
			}
		}
		agents = append(agents, startAgent(t, agentOptions{instance: instance, run: "1", engine: engine, store: store, instances: instances}))
	}
	serving := func(version string) {
		for _, a := range agents {
			a.awaitServing(t, version)
		}
	}
	all(1, "v1")
	serving("v1")
	all(2, "v2")
	await(t, "one agent reports the failed load", func() bool {
		for _, a := range agents {
			if status := a.Status(); status.FailedVersion == "v2" && strings.Contains(status.Cause, "out of memory") {
				return true
			}
		}
		return false
	})
	serving("v1")
	all(3, "v3")
	serving("v4")
}
