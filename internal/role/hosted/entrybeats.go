package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"net/netip"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/desk"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/platform"
)

// agents returns where the agents of the model servers are expected.
func (e *entryRole) agents() []netip.AddrPort {
	table := e.desk.Table()
	if table == nil {
		return nil
	}
	var agents []netip.AddrPort
	for _, b := range e.fleet.State().Servers {
		if table.Ingress.Pools[b.Pool].Model == "" {
			continue
		}
		address, err := e.settings.AgentBeatOf(b.Address)
		if err != nil {
			e.logger.Warn().Err(err).Str(logging.FieldPeer, string(b.Instance)).Msg("address of a backend server is not readable")
			continue
		}
		agents = append(agents, address)
	}
	return agents
}

// heard takes in a beat.
func (e *entryRole) heard(m beat.Message, from netip.AddrPort) {
	if m.Served != nil {
		served := desk.Served{Born: m.Served.Born, Version: m.Served.Version}
		if m.Served.LeftMillis > 0 {
			served.Until = e.clock.Now().Add(time.Duration(m.Served.LeftMillis) * time.Millisecond)
		}
		e.desk.SetServed(m.Served.Instance, served)
	}
	e.beliefs.heard(m, from)
	if m.Role == mulberryspool.RoleEntry {
		// A beat without loads, such as a greeting, says nothing of them.
		if m.Loads != nil {
			e.desk.SetPeer(m.Node, placement.Peer{Domain: m.Domain, Loads: m.Loads, Partial: m.Partial}, m.Waiting)
		}
		e.noteEntries(m.Peers)
	}
}

func (e *entryRole) noteEntries(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range addresses {
		if parsed, err := netip.ParseAddrPort(a); err == nil && a != e.settings.EntryBeat(e.settings.Address) {
			e.listed[parsed] = struct{}{}
		}
	}
}

// beats tells entries and agents what they need.
func (e *entryRole) beats(ctx context.Context) {
	ticker := e.clock.NewTicker(beatInterval)
	defer ticker.Stop()
	near, far := &audience{}, &audience{}
	var farDue, newsDue <-chan time.Time
	var newsAt time.Time
	for round := 1; ; {
		select {
		case <-ticker.Chan():
		case <-e.loadChanged:
			e.clock.Sleep(nearDelay)
			toNear, toFar := e.link.HeardByDomain(mulberryspool.RoleEntry)
			e.tellChanges(near, toNear)
			if pause := farInterval - e.clock.Since(far.at); pause <= 0 {
				e.tellChanges(far, toFar)
			} else if farDue == nil {
				farDue = e.clock.After(pause)
			}
			continue
		case <-farDue:
			farDue = nil
			_, toFar := e.link.HeardByDomain(mulberryspool.RoleEntry)
			e.tellChanges(far, toFar)
			continue
		case <-e.news:
			if newsDue == nil {
				newsDue = e.clock.After(newsInterval - e.clock.Since(newsAt))
			}
			continue
		case <-newsDue:
			newsDue, newsAt = nil, e.clock.Now()
			e.greet()
			continue
		case <-ctx.Done():
			return
		}
		e.desk.Expire()
		if round++; round%fullBeats == 0 {
			marks := e.fleet.Marks()
			loads, waiting := e.desk.Loads(), e.desk.Waiting()
			e.link.Send(beat.Message{Marks: &marks, Loads: loads, Waiting: waiting}, e.link.Heard(mulberryspool.RoleEntry))
			now := e.clock.Now()
			*near, *far = audience{loads, waiting, now}, audience{loads, waiting, now}
		} else {
			toNear, toFar := e.link.HeardByDomain(mulberryspool.RoleEntry)
			e.tellChanges(near, toNear)
			e.tellChanges(far, toFar)
		}
		if round%agentBeats == 0 {
			e.greet()
			e.report()
		}
	}
}

// audience is what a group of entries was told last, and when.
type audience struct {
	loads   map[mulberryspool.InstanceID]placement.Load
	waiting map[string]int
	at      time.Time
}

// tellChanges tells a group of entries at which servers the requests in
// flight have changed since it was told last.
func (e *entryRole) tellChanges(told *audience, to []netip.AddrPort) {
	loads, waiting := e.desk.Loads(), e.desk.Waiting()
	changed := make(map[mulberryspool.InstanceID]placement.Load)
	for id, l := range loads {
		if told.loads[id] != l {
			changed[id] = l
		}
	}
	for id := range told.loads {
		if _, ok := loads[id]; !ok {
			changed[id] = placement.Load{}
		}
	}
	if len(changed) > 0 || !maps.Equal(waiting, told.waiting) {
		e.link.Send(beat.Message{Loads: changed, Partial: true, Waiting: waiting}, to)
	}
	*told = audience{loads, waiting, e.clock.Now()}
}

// greet reaches entries that were not heard yet, and agents.
func (e *entryRole) greet() {
	marks := e.fleet.Marks()
	heard := e.link.Heard(mulberryspool.RoleEntry)
	known := make(map[netip.AddrPort]bool, len(heard))
	var peers []string
	for _, a := range heard {
		known[a] = true
		peers = append(peers, a.String())
	}
	e.mu.Lock()
	var unheard []netip.AddrPort
	for a := range e.listed {
		if !known[a] {
			unheard = append(unheard, a)
		}
	}
	e.mu.Unlock()
	e.link.Send(beat.Message{Marks: &marks, Peers: peers}, unheard)
	e.link.Send(beat.Message{Marks: &marks}, append(e.agents(), heard...))
}

func (e *entryRole) report() {
	e.desk.Summary(func(pool string, usable, places, inFlight, waiting int) {
		scope := e.metrics.Tagged(map[string]string{"pool": pool})
		scope.Gauge("servers").Update(float64(usable))
		scope.Gauge("places").Update(float64(places))
		scope.Gauge("in_flight").Update(float64(inFlight))
		scope.Gauge("waiting").Update(float64(waiting))
	})
	e.metrics.Gauge("log_lines_dropped").Update(float64(e.ring.Dropped()))
}

// register writes the entry's address to the store and reads the others'.
func (e *entryRole) register(ctx context.Context) {
	for {
		err := e.store.Put(ctx, platform.KindEntries, e.settings.Instance, registration{Address: e.settings.EntryBeat(e.settings.Address)})
		if err == nil {
			err = e.readEntries(ctx)
		}
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		e.logger.Info().EmbedObject(logging.Fields{}.Err(err)).Err(err).Msg("entry is not registered yet")
		select {
		case <-e.clock.After(registerRetry):
		case <-ctx.Done():
			return
		}
	}
}

func (e *entryRole) readEntries(ctx context.Context) error {
	objects, _, err := e.store.List(ctx, platform.KindEntries)
	if err != nil {
		return err
	}
	var addresses []string
	for _, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			e.logger.Warn().Err(err).Str(logging.FieldPeer, o.Name).Msg("registration of an entry is not readable")
			continue
		}
		addresses = append(addresses, r.Address)
	}
	e.noteEntries(addresses)
	e.greet()
	return nil
}
