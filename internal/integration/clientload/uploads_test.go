package clientload

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

const (
	// uploadMaxBody is the largest body that the product's own entry accepts in these tests.
	uploadMaxBody = 1 << 20
	// uploadMemory is the memory of its machine, and of an agent's, in megabytes.
	uploadMemory = 96
	// uploads is the size of a crowd that sends large bodies.
	uploads = 150
	// uploadTables have a route to a pool of plain services.
	uploadTables = `
routes:
  - name: lookup
    kind: plain
    pool: lookup
    timeout: 20s
pools:
  - name: lookup
    kind: plain
`
)

// uploadLimits are those of the machine, in the settings of entries and agents.
var uploadLimits = []string{fmt.Sprintf("memory: %d MiB", uploadMemory), fmt.Sprintf("descriptors: %d", crowdDescriptors)}

// uploadLoads are crowds of clients that send large bodies, most of which stop just before their
// end and leave their connections open.
var uploadLoads = []clientLoad{
	{"one byte missing", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", uploadMaxBody))+"\r\n"+strings.Repeat("b", uploadMaxBody-1))
		drain(ctx, conn)
	}},
	{"in pieces, one byte missing", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		const piece = 16 << 10
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", uploadMaxBody))+"\r\n")
		for sent := 0; sent < uploadMaxBody-piece && ctx.Err() == nil; sent += piece {
			sendAll(conn, strings.Repeat("b", piece))
			sleep(ctx, 10*time.Millisecond)
		}
		sendAll(conn, strings.Repeat("b", piece-1))
		drain(ctx, conn)
	}},
	{"large chunks, last one missing", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Transfer-Encoding: chunked\r\n")+"\r\n")
		sendRepeated(ctx, conn, "10000\r\n"+strings.Repeat("b", 0x10000)+"\r\n", uploadMaxBody/0x10000)
		drain(ctx, conn)
	}},
	{"chunks of one byte without end", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Transfer-Encoding: chunked\r\n")+"\r\n")
		sendRepeated(ctx, conn, strings.Repeat("1\r\nb\r\n", 10_000), uploadMaxBody/10_000)
		drain(ctx, conn)
	}},
	{"far over the limit, announced", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", 64*uploadMaxBody))+"\r\n")
		sendRepeated(ctx, conn, strings.Repeat("b", 64<<10), 32*uploadMaxBody/(64<<10))
		drain(ctx, conn)
	}},
	{"far over the limit, in chunks", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Transfer-Encoding: chunked\r\n")+"\r\n")
		sendRepeated(ctx, conn, "10000\r\n"+strings.Repeat("b", 0x10000)+"\r\n", 32*uploadMaxBody/0x10000)
		drain(ctx, conn)
	}},
	{"complete", uploads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", uploadMaxBody))+"\r\n"+strings.Repeat("b", uploadMaxBody))
		drain(ctx, conn)
	}},
	{"complete, connection closed", uploads, func(_ context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Idempotency-Key: %s\r\nContent-Length: %d\r\n", conn.LocalAddr(), uploadMaxBody))+"\r\n"+strings.Repeat("b", uploadMaxBody))
		conn.Close()
	}},
	{"connections that send a head and no body", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", uploadMaxBody))+"\r\n")
		drain(ctx, conn)
	}},
}

// Guards against the product's own entry, or the agent behind it, that runs out of memory or
// descriptors because of the bodies that clients send to it, with a route or without one, and to its
// admin server.
func TestUploadsToOwnEntry(t *testing.T) {
	for _, load := range uploadLoads {
		t.Run(load.name, func(t *testing.T) {
			for name, path := range map[string]string{
				"plain route": "/lookup/x?take=10ms", "chat": "/v1/chat/completions", "no route": "/none/x", "admin": "/status",
			} {
				t.Run(name, func(t *testing.T) {
					s, e := startOwnEntry(t)
					d := endpoint{name, strings.TrimPrefix(e.CallersURL, "http://"), path}
					if name == "admin" {
						d.address = e.Identity.Admin
					}
					agent := s.Agents[0].Process
					agentPeak := watchMemory(t, agent)
					checkCrowd(t, e.Process, load, d, uploadMemory, crowdDescriptors)
					if peak := agentPeak(); peak > uploadMemory<<20 {
						t.Errorf("the agent takes %d MB of %d", peak>>20, uploadMemory)
					}
					checkOwnEntryServes(t, e)
				})
			}
		})
	}
}

// Guards against an agent of the product's own that runs out of memory or descriptors because of
// what clients send to any of its addresses.
func TestUploadsToOwnAgent(t *testing.T) {
	check := func(load clientLoad, name string, address func(m *system.Member) endpoint) {
		t.Run(load.name+" "+name, func(t *testing.T) {
			s := &system.System{Builder: &builder, AgentLimits: uploadLimits}
			s.Start(t)
			m := s.AddEngineAgent(t, "chat")
			checkCrowd(t, m.Process, load, address(m), uploadMemory, crowdDescriptors)
			checkStatus(t, m.Identity.Admin, "/healthz", http.StatusOK)
		})
	}
	for _, load := range callLoads {
		check(load, "calls", func(m *system.Member) endpoint { return endpoint{address: m.ControlAddress} })
	}
	for _, load := range uploadLoads {
		if load.name != "one byte missing" && load.clients != manyConns {
			// No handler of these servers reads a body.
			continue
		}
		check(load, "chunks", func(m *system.Member) endpoint {
			return endpoint{address: m.Identity.Chunks, path: "/chunks/" + strings.Repeat("0", 64)}
		})
		check(load, "admin", func(m *system.Member) endpoint { return endpoint{address: m.Identity.Admin, path: "/status"} })
	}
}

// Guards against the same at a hosted entry, on a route for requests that may run once, which the
// loads of TestMisbehavingClientsOfEntry don't use.
func TestUploadsToOrderRoute(t *testing.T) {
	for _, load := range uploadLoads {
		t.Run(load.name, func(t *testing.T) {
			s := &hostedsystem.System{
				Builder: &builder, RepeatSlack: 200, MegabytesOfMemory: crowdMemory, Descriptors: crowdDescriptors, MaxBody: uploadMaxBody,
				GracefulStop: 4 * time.Second, Timeout: 5 * time.Second, Entries: 1, Backends: 2,
			}
			s.Start(t)
			e := s.Members[0]
			d := endpoint{"order", strings.TrimPrefix(e.URL, "http://"), hostedsystem.OrderPrefix + "x?take=10ms"}
			checkCrowd(t, e.Process, load, d, crowdMemory, crowdDescriptors)
			checkEntryServes(t, s, e)
		})
	}
}

// Guards against a body of the largest size that the product's own entry refuses in calm.
func TestLargestBodiesAreServedByOwnEntry(t *testing.T) {
	_, e := startOwnEntry(t)
	d := endpoint{"plain route", strings.TrimPrefix(e.CallersURL, "http://"), "/lookup/x"}
	conn, answers := connect(t, d)
	body := strings.Repeat("b", uploadMaxBody)
	for name, request := range map[string]string{
		"with a length": d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", uploadMaxBody)) + "\r\n" + body,
		"in chunks":     d.head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", uploadMaxBody, body),
	} {
		if !sendAll(conn, request) {
			t.Fatalf("request %s could not be sent", name)
		}
		if status, _, err := hostedsystem.ReadAnswer(answers); status != http.StatusOK || err != nil {
			t.Errorf("request %s got status %d, %v", name, status, err)
		}
	}
}

func startOwnEntry(t *testing.T) (*system.System, *system.Member) {
	t.Helper()
	s := &system.System{Builder: &builder, EntryLimits: append([]string{fmt.Sprintf("maxBodySize: %d B", uploadMaxBody)}, uploadLimits...), AgentLimits: uploadLimits}
	s.Start(t)
	s.AddPlainAgent(t, "lookup")
	e := s.AddEntry(t)
	s.Apply(t, uploadTables)
	return s, e
}

// checkOwnEntryServes checks that an ordinary request is answered.
func checkOwnEntryServes(t *testing.T, e *system.Member) {
	t.Helper()
	checkStatus(t, strings.TrimPrefix(e.CallersURL, "http://"), "/lookup/x", http.StatusOK)
	checkStatus(t, e.Identity.Admin, "/readyz", http.StatusOK)
}

// watchMemory reads the memory of a process until the function that it returns is called, which
// returns the peak in bytes.
func watchMemory(t *testing.T, p *process.Process) (peak func() int64) {
	t.Helper()
	stop, result := make(chan struct{}), make(chan int64)
	go func() {
		most := int64(0)
		for {
			select {
			case <-stop:
				result <- most
				return
			case <-p.Done():
				<-stop
				result <- most
				return
			case <-time.After(10 * time.Millisecond):
				most = max(most, p.Usage(t).ResidentBytes)
			}
		}
	}()
	return func() int64 {
		close(stop)
		most := <-result
		select {
		case <-p.Done():
			t.Error("the agent has ended")
		default:
		}
		return most
	}
}
