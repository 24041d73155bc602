package rpc

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
)

// Guards against messages that take more memory together than there is, and against one that stops
// before its end and keeps what others wait for.
func TestMessagesShareMemory(t *testing.T) {
	const length = 20_000
	server, client := newEndpoint(), newEndpoint()
	server.Memory = &bodybudget.Budget{Limit: 2 * decodedCopies * length}
	server.MessageTimeout = 500 * time.Millisecond
	server.Handle = func(m Message) { _ = m.Reply(numbered{Number: 7}) }
	address := serve(t, server)
	c, err := client.Dial(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stopped, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer stopped.Close()
	if _, err := stopped.Write(append(binary.AppendUvarint(nil, length), `{"jsonrpc":"2.0"`...)); err != nil {
		t.Fatal(err)
	}
	for server.Memory.Used() < decodedCopies*length {
		time.Sleep(time.Millisecond)
	}
	var reply numbered
	if err := c.Call(t.Context(), "test.call", "short", &reply); err != nil || reply.Number != 7 {
		t.Errorf("reply to a short message is %v, %v", reply, err)
	}
	if err := c.Call(t.Context(), "test.call", strings.Repeat("m", length/2), &reply); err != nil || reply.Number != 7 {
		t.Errorf("reply to a long message is %v, %v", reply, err)
	}
	if err := stopped.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := stopped.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection of the message that stopped ended with %v", err)
	}
	for deadline := time.Now().Add(10 * time.Second); server.Memory.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved after all messages have ended", server.Memory.Used())
		}
	}
}
