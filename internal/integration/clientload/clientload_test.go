package clientload

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedagents"
	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
	"github.com/mulberryspool/mulberryspool/platform"
)

// The tests of this file send what clients that nobody controls may send. They check that the
// process lives, that its memory and descriptors stay within its settings, and that it answers
// an ordinary request afterwards. Its limits are low, so that a small crowd shows the fault.
const (
	crowdMemory      = 96
	crowdDescriptors = 500
	// crowdMaxBody is the configuration's limit of a body.
	crowdMaxBody = 256 << 10
	// bigHeads is the size of a crowd that sends much, manyConns that of one which holds more
	// connections than there are descriptors.
	bigHeads, manyConns = 32, 520
	// crowdDuration is how long a crowd keeps its connections.
	crowdDuration = 4 * time.Second
	// manyFieldsBytes is the size of a head with many short fields.
	manyFieldsBytes = 1000 << 10
)

type (
	// clientLoad is what each client of a crowd does on its connection, until the context ends.
	clientLoad struct {
		name    string
		clients int
		run     func(ctx context.Context, conn net.Conn, d endpoint)
	}

	// endpoint is where a crowd sends its requests.
	endpoint struct {
		name, address, path string
	}
)

// clientLoads are the kinds of load of docs/design/hard-load.md, part H.
var clientLoads = []clientLoad{
	{"many fields", bigHeads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Content-Length: 0\r\n")+manyFields(manyFieldsBytes)+"\r\n")
		drain(ctx, conn)
	}},
	{"many fields without end", bigHeads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Content-Length: 0\r\n")+manyFields(manyFieldsBytes))
		drain(ctx, conn)
	}},
	{"body in one piece that stops", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", crowdMaxBody))+"\r\n"+strings.Repeat("b", crowdMaxBody-1))
		drain(ctx, conn)
	}},
	{"body in small pieces that stops", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", crowdMaxBody))+"\r\n")
		for ctx.Err() == nil && sendAll(conn, strings.Repeat("b", 100)) {
			sleep(ctx, 50*time.Millisecond)
		}
		drain(ctx, conn)
	}},
	{"chunks of one byte", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Transfer-Encoding: chunked\r\n")+"\r\n")
		sendAll(conn, strings.Repeat("1\r\nb\r\n", 10_000))
		drain(ctx, conn)
	}},
	{"body far over the limit", bigHeads, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("POST", "Transfer-Encoding: chunked\r\n")+"\r\n")
		chunk := "10000\r\n" + strings.Repeat("b", 0x10000) + "\r\n"
		sendRepeated(ctx, conn, chunk, 64*crowdMaxBody/0x10000)
		drain(ctx, conn)
	}},
	{"pipelined requests, responses unread", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		request := d.head("GET", "") + "\r\n"
		sendRepeated(ctx, conn, strings.Repeat(request, 50), 100)
		<-ctx.Done()
	}},
	{"slow head", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		for _, b := range d.head("GET", "") + manyFields(1000) {
			if ctx.Err() != nil || !sendAll(conn, string(b)) {
				break
			}
			sleep(ctx, 300*time.Millisecond)
		}
	}},
	{"slow reader", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, strings.Repeat(d.head("GET", "")+"\r\n", 50))
		for buffer := make([]byte, 1); ctx.Err() == nil; sleep(ctx, 300*time.Millisecond) {
			if _, err := conn.Read(buffer); err != nil {
				break
			}
		}
	}},
	{"head that stops", manyConns, func(ctx context.Context, conn net.Conn, d endpoint) {
		sendAll(conn, d.head("GET", ""))
		drain(ctx, conn)
	}},
	{"connections without a request", manyConns, func(ctx context.Context, conn net.Conn, _ endpoint) { drain(ctx, conn) }},
}

// callLoads are crowds at the address for calls of other processes.
var callLoads = []clientLoad{
	{"message without end", bigHeads, func(ctx context.Context, conn net.Conn, _ endpoint) {
		// A message begins with its length.
		sendAll(conn, string(binary.AppendUvarint(nil, 1<<30))+`{"jsonrpc":"2.0","id":1,"method":"`)
		sendRepeated(ctx, conn, strings.Repeat("m", 64<<10), 256)
		drain(ctx, conn)
	}},
	{"messages without their last byte", manyConns, func(ctx context.Context, conn net.Conn, _ endpoint) {
		const length = 120_000
		message := `{"jsonrpc":"2.0","id":1,"method":"`
		sendAll(conn, string(binary.AppendUvarint(nil, length))+message+strings.Repeat("m", length-len(message)-1))
		drain(ctx, conn)
	}},
	{"connections without a message", manyConns, func(ctx context.Context, conn net.Conn, _ endpoint) { drain(ctx, conn) }},
}

// Guards against an entry that runs out of memory or descriptors because of what clients send
// on its listener, with a route or without one, and on the one for readiness.
func TestMisbehavingClientsOfEntry(t *testing.T) {
	for _, load := range clientLoads {
		t.Run(load.name, func(t *testing.T) {
			for _, name := range []string{"route", "no route", "readiness"} {
				t.Run(name, func(t *testing.T) {
					s, e := startSmallEntry(t)
					d := endpoint{name, strings.TrimPrefix(e.URL, "http://"), hostedsystem.LookupPrefix + "x?take=10ms"}
					switch name {
					case "no route":
						d.path = "/none/x"
					case "readiness":
						d.address = hostAndPort(t, e.ReadinessURL)
						d.path = platform.ReadinessPath
					}
					checkCrowd(t, e.Process, load, d, crowdMemory, crowdDescriptors)
					checkEntryServes(t, s, e)
				})
			}
		})
	}
}

// Guards against the same through the servers for other processes and for metrics.
func TestMisbehavingClientsOfInternalServers(t *testing.T) {
	for _, load := range clientLoads {
		switch load.name {
		case "many fields", "many fields without end", "pipelined requests, responses unread", "slow head", "slow reader", "head that stops":
		default:
			// No handler of these servers reads a body.
			continue
		}
		t.Run(load.name, func(t *testing.T) {
			for _, name := range []string{"state", "metrics"} {
				t.Run(name, func(t *testing.T) {
					s, e := startSmallEntry(t)
					d := endpoint{name, e.StateAddress, "/state"}
					if name == "metrics" {
						d.address, d.path = e.MetricsAddress, "/metrics"
					}
					checkCrowd(t, e.Process, load, d, crowdMemory, crowdDescriptors)
					checkEntryServes(t, s, e)
				})
			}
			for _, name := range []string{"pieces", "agent's metrics"} {
				t.Run(name, func(t *testing.T) {
					s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second, Descriptors: crowdDescriptors}
					s.Start(t)
					m := s.Machines[0]
					m.Agent.AwaitURL(t, "http://"+m.MetricsAddress+"/metrics")
					d := endpoint{name, m.ContentAddress, "/chunks/" + strings.Repeat("0", 64)}
					if name == "agent's metrics" {
						d.address, d.path = m.MetricsAddress, "/metrics"
					}
					// The memory of an agent in hostedagents.
					checkCrowd(t, m.Agent, load, d, 152, crowdDescriptors)
					checkStatus(t, m.MetricsAddress, "/metrics", http.StatusOK)
				})
			}
		})
	}
}

// Guards against an agent that runs out of memory or descriptors because of what clients send
// to the address for calls of other agents.
func TestMisbehavingClientsOfAgentCalls(t *testing.T) {
	for _, load := range callLoads {
		t.Run(load.name, func(t *testing.T) {
			s := &hostedagents.System{Builder: &builder, Agents: 1, Bound: 8 * time.Second, Descriptors: crowdDescriptors}
			s.Start(t)
			m := s.Machines[0]
			m.Agent.AwaitURL(t, "http://"+m.MetricsAddress+"/metrics")
			checkCrowd(t, m.Agent, load, endpoint{"calls", m.ControlAddress, ""}, 152, crowdDescriptors)
			checkStatus(t, m.MetricsAddress, "/metrics", http.StatusOK)
		})
	}
}

// Guards against a request within the limits that is refused although nothing else is going
// on: with very many short fields, or a body of the largest size.
func TestLargestRequestsAreServed(t *testing.T) {
	s, e := startSmallEntry(t)
	d := endpoint{"route", strings.TrimPrefix(e.URL, "http://"), hostedsystem.LookupPrefix + "x?take=10ms"}
	head := d.head("POST", fmt.Sprintf("Content-Length: %d\r\n", crowdMaxBody))
	head += manyFields(int(s.Limits.MaxHeadBytes)-len(head)-20) + "\r\n"
	conn, answers := connect(t, d)
	for range 3 {
		if !sendAll(conn, head+strings.Repeat("b", crowdMaxBody)) {
			t.Fatal("request could not be sent")
		}
		if status, _, err := hostedsystem.ReadAnswer(answers); status != http.StatusOK || err != nil {
			t.Fatalf("request with a head of %d bytes got status %d, %v", len(head), status, err)
		}
	}
}

// Guards against limits of a configuration that apply to new connections only, or to none.
func TestLimitsOfConfigurationApplyToOpenConnections(t *testing.T) {
	s, e := startSmallEntry(t)
	d := endpoint{"route", strings.TrimPrefix(e.URL, "http://"), hostedsystem.LookupPrefix + "x?take=10ms"}
	open := func() (net.Conn, *bufio.Reader) {
		conn, answers := connect(t, d)
		sendAll(conn, d.head("GET", "")+"\r\n")
		if status, _, err := hostedsystem.ReadAnswer(answers); status != http.StatusOK {
			t.Fatalf("status %d, %v", status, err)
		}
		return conn, answers
	}
	long, longAnswers := open()
	slow, slowAnswers := open()
	_, idleAnswers := open()
	s.Limits = mulberryspool.CallerLimits{MaxHeadBytes: 2 << 10, HeadTimeout: 500 * time.Millisecond, IdleTimeout: 4 * time.Second}
	s.PutConfiguration(2)
	time.Sleep(time.Second)
	sendAll(long, d.head("GET", "")+manyFields(8<<10)+"\r\n")
	if status, _, err := hostedsystem.ReadAnswer(longAnswers); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head beyond the new limit got status %d, %v", status, err)
	}
	sendAll(slow, d.head("GET", ""))
	if status, _, err := hostedsystem.ReadAnswer(slowAnswers); status != http.StatusRequestTimeout {
		t.Errorf("head beyond the new time limit got status %d, %v", status, err)
	}
	if _, err := idleAnswers.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection ended with %v", err)
	}
}

// connect opens a connection that ends with the test, or fails after some time.
func connect(t *testing.T, d endpoint) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func startSmallEntry(t *testing.T) (*hostedsystem.System, *hostedsystem.Entry) {
	t.Helper()
	s := &hostedsystem.System{
		Builder: &builder, RepeatSlack: 200, MegabytesOfMemory: crowdMemory, Descriptors: crowdDescriptors, MaxBody: crowdMaxBody,
		Limits:       mulberryspool.CallerLimits{MaxHeadBytes: 16 << 10, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		GracefulStop: 4 * time.Second, Timeout: 5 * time.Second, Entries: 1, Backends: 2,
	}
	s.Start(t)
	return s, s.Members[0]
}

// checkCrowd runs the clients and checks that the process stays within its memory, in
// megabytes, and its descriptors.
func checkCrowd(t *testing.T, p *process.Process, load clientLoad, d endpoint, memory, descriptors int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), crowdDuration)
	defer cancel()
	var clients sync.WaitGroup
	for range load.clients {
		clients.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.address)
			if err != nil {
				// A process may refuse connections.
				return
			}
			defer conn.Close()
			defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
			load.run(ctx, conn, d)
			<-ctx.Done()
		})
	}
	peakBytes, peakDescriptors := int64(0), 0
	for ctx.Err() == nil {
		select {
		case <-p.Done():
			t.Fatal("the process has ended")
		default:
		}
		u := p.Usage(t)
		peakBytes, peakDescriptors = max(peakBytes, u.ResidentBytes), max(peakDescriptors, u.Descriptors)
		time.Sleep(5 * time.Millisecond)
	}
	clients.Wait()
	t.Logf("at most %d of %d MB and %d of %d descriptors", peakBytes>>20, memory, peakDescriptors, descriptors)
	if peakBytes > int64(memory)<<20 {
		t.Errorf("the process takes %d MB of %d", peakBytes>>20, memory)
	}
	if peakDescriptors > descriptors {
		t.Errorf("the process has %d descriptors of %d", peakDescriptors, descriptors)
	}
}

// checkEntryServes checks that an ordinary request is answered.
func checkEntryServes(t *testing.T, s *hostedsystem.System, e *hostedsystem.Entry) {
	t.Helper()
	caller := hostedsystem.NewCaller(s.Timeout, false)
	caller.Go(hostedsystem.Call{URL: e.URL, Prefix: hostedsystem.LookupPrefix, Take: 10 * time.Millisecond})
	for _, r := range caller.Wait() {
		if !r.Complete || r.Status != http.StatusOK {
			t.Errorf("an ordinary request afterwards got status %d, %v", r.Status, r.Err)
		}
	}
	checkStatus(t, hostAndPort(t, e.ReadinessURL), platform.ReadinessPath, http.StatusOK)
}

func checkStatus(t *testing.T, address, path string, want int) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		t.Error(err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != want {
		t.Errorf("GET %s got status %d, want %d", path, response.StatusCode, want)
	}
}

// head returns the request line and the fields without the empty line.
func (d endpoint) head(method, fields string) string {
	return method + " " + d.path + " HTTP/1.1\r\nHost: " + hostedsystem.Host + "\r\n" + backendserver.HeaderID + ": c\r\n" + fields
}

// manyFields returns different fields of a few bytes.
func manyFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:v\r\n", i)
	}
	return b.String()
}

// sendAll reports whether it could send the text.
func sendAll(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendRepeated sends a text so many times, or until the connection or the context ends.
func sendRepeated(ctx context.Context, conn net.Conn, text string, times int) {
	for range times {
		if ctx.Err() != nil || !sendAll(conn, text) {
			return
		}
	}
}

// drain reads until the connection or the context ends.
func drain(ctx context.Context, conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	<-ctx.Done()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func hostAndPort(t *testing.T, url string) string {
	t.Helper()
	address, _, _ := strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	return address
}
