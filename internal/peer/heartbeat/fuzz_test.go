package heartbeat

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
)

// maxDecodeBytes is how much memory the decoding of a datagram may take.
const maxDecodeBytes = 16 << 20

// allocated returns the bytes that are allocated while a datagram is decoded.
func allocated(datagram []byte) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var m Message
	_ = decode(datagram, &m)
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// truncatedMessages returns datagrams that announce far more entries than they hold.
func truncatedMessages() map[string][]byte {
	// The header of an array of 11 fields, the first five of which are nil.
	head := append([]byte{0x9b}, bytes.Repeat([]byte{0xc0}, 5)...)
	huge := []byte{0xff, 0xff, 0xff, 0xff}
	return map[string][]byte{
		"loads":     append(append(bytes.Clone(head), 0xdf), huge...),
		"addresses": append(append(append(bytes.Clone(head), 0xc0, 0xc2), 0xdd), huge...),
		"findings":  append(append(append(bytes.Clone(head[:5]), 0x81, 0xa8), "Findings\xdd"...), huge...),
		"named":     append(append(append(bytes.Clone(head[:5]), 0x81, 0xa5), "Named\xdf"...), huge...),
		"reports":   append(append(append(bytes.Clone(head[:5]), 0x81, 0xa5), "Named\x81\xa1m\xdd"...), huge...),
		"limits":    append(append(append(bytes.Clone(head[:5]), 0x81, 0xa6), "Limits\xdd"...), huge...),
		"name":      append(append(bytes.Clone(head[:2]), 0xdb), huge...),
		"skipped":   append(append(append(bytes.Clone(head[:5]), 0x81, 0xa1), 'x'), bytes.Repeat([]byte{0x91}, maxDatagram-16)...),
	}
}

// Guards against a short datagram that takes an entry's memory.
func TestAnnouncedLengthsTakeNoMemory(t *testing.T) {
	for name, datagram := range truncatedMessages() {
		if got := allocated(datagram); got > maxDecodeBytes {
			t.Errorf("%s: decoding %d bytes allocates %d, want at most %d", name, len(datagram), got, maxDecodeBytes)
		}
	}
}

// FuzzDecode guards against datagrams that end the process or take its memory.
func FuzzDecode(f *testing.F) {
	sound, err := msgpack.Marshal(&Message{
		Role: mulberryspool.RoleEntry, Sender: "e", Summary: &Summary{
			Summary:  fleet.Summary{Config: 1, Named: map[string][]fleet.NamedVersionAge{"m": {{Version: 2, AgeMillis: 3}}}},
			Findings: []quarantine.Finding{{Part: "p", Crashes: []quarantine.CrashFinding{{Server: 3}}}},
		},
		Loads: map[mulberryspool.InstanceID]placement.Load{"i": {Requests: 1}}, Waiting: map[string]int{"p": 1}, EntryAddresses: []string{"10.0.0.1:1"},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	for _, datagram := range truncatedMessages() {
		f.Add(datagram)
	}
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if len(datagram) > maxDatagram {
			return
		}
		if got := allocated(datagram); got > maxDecodeBytes {
			t.Errorf("decoding %d bytes allocates %d", len(datagram), got)
		}
	})
}
