package heartbeat

import (
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
)

// Guards against reports of the load that other entries can't decode, and against ones that take
// much of the links between regions: each entry sends them to all others during an overload.
func TestDemandIsSmallAndDecoded(t *testing.T) {
	const maxBytes = 64
	demand := map[string]shedding.Report{"scribe": {Other: 12, Counts: []shedding.Count{
		{Priority: 0, Offered: 170, Placed: 165}, {Priority: 1, Offered: 200, Placed: 90}, {Priority: 2, Offered: 130, Placed: 30},
	}}}
	encoded, err := msgpack.Marshal(&Message{Summary: &Summary{Demand: demand}})
	if err != nil {
		t.Fatal(err)
	}
	without, err := msgpack.Marshal(&Message{Summary: &Summary{}})
	if err != nil {
		t.Fatal(err)
	}
	var m Message
	if err := decode(encoded, &m); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(m.Summary.Demand, demand) {
		t.Errorf("decoded %+v, want %+v", m.Summary.Demand, demand)
	}
	if n := len(encoded) - len(without); n > maxBytes {
		t.Errorf("the report of three priorities takes %d bytes, want at most %d", n, maxBytes)
	}
}
