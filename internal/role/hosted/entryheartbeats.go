package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/platform"
)

// agentAddresses returns the heartbeat addresses of the agents, derived from the
// addresses of the model servers. Unless all is set, they are those of this entry's failure
// domain.
func (e *entryRole) agentAddresses(all bool) []netip.AddrPort {
	table := e.scheduler.Table()
	if table == nil {
		return nil
	}
	var agents []netip.AddrPort
	for _, b := range e.fleet.State().Servers {
		if table.Ingress.Pools[b.Pool].Model == "" || !all && b.FailureDomain != e.identity.FailureDomain {
			continue
		}
		address, err := e.settings.AgentHeartbeatAddressOf(b.Address)
		if err != nil {
			e.logger.Warn().Err(err).Str(logging.FieldPeer, string(b.Instance)).Msg("address of a backend server is invalid")
			continue
		}
		agents = append(agents, address)
	}
	return agents
}

// handleHeartbeat applies the contents of a heartbeat.
func (e *entryRole) handleHeartbeat(m heartbeat.Message, from netip.AddrPort) {
	if m.Report != nil {
		report := scheduler.AgentReport{Born: m.Report.Born, Version: m.Report.Version}
		if m.Report.LeftMillis > 0 {
			report.AcceptsUntil = e.clock.Now().Add(time.Duration(m.Report.LeftMillis) * time.Millisecond)
		}
		e.scheduler.SetAgentReport(m.Report.Instance, report)
		if m.Report.LinkDelayMillis > 0 {
			e.scheduler.RecordLinkDelay(m.Report.Instance, time.Duration(m.Report.LinkDelayMillis)*time.Millisecond)
		}
	}
	delay := e.stateSync.handleHeartbeat(m, from)
	if m.Summary != nil {
		e.promptGuard.Merge(m.Sender, m.Summary.Findings)
		e.scheduler.MergeLimits(m.Sender, m.Summary.Limits)
		e.scheduler.MergeSilences(m.Summary.Silences, delay)
		e.evacuations.handleHeartbeat(m, delay)
		e.scheduler.MergeDemand(m.Sender, m.Summary.Demand)
	}
	if m.Role == mulberryspool.RoleEntry {
		e.scheduler.RecordEntry(from, m.FailureDomain)
		// Heartbeats sent by announce carry no loads; those known are kept.
		if m.Loads != nil {
			e.scheduler.SetPeer(m.Sender, placement.PeerReport{FailureDomain: m.FailureDomain, Loads: m.Loads, Partial: m.Partial}, m.Waiting)
		}
		e.addEntries(m.EntryAddresses, false)
		e.recordConfigWatch(m)
	}
}

// recordConfigWatch records whether another entry watches the configuration, as far as the
// heartbeat says so. If this one has to watch in its place, it begins at once.
func (e *entryRole) recordConfigWatch(m heartbeat.Message) {
	if m.Summary == nil {
		e.evacuations.recordAlive(m.Sender)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.configWatch.RecordAlive(m.Sender, e.clock.Now())
		return
	}
	answered := time.Duration(-1)
	if m.Summary.ConfigAnsweredMillis > 0 {
		answered = time.Duration(m.Summary.ConfigAnsweredMillis) * time.Millisecond
	}
	e.mu.Lock()
	e.configWatch.Record(m.Sender, m.FailureDomain, answered, e.clock.Now())
	e.mu.Unlock()
	if e.watchesConfig() {
		e.fleet.WakeWatches()
	}
}

// addEntries records entries that the store or another entry lists. The argument complete is
// set for the whole list of the store.
func (e *entryRole) addEntries(addresses []string, complete bool) {
	var valid []netip.AddrPort
	for _, a := range addresses {
		if parsed, err := netip.ParseAddrPort(a); err == nil && parsed.Port() != 0 && a != e.ownAddress() {
			valid = append(valid, parsed)
		}
	}
	e.scheduler.AddEntries(valid, complete)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range valid {
		if len(e.registered) < maxRegistered {
			e.registered[a] = struct{}{}
		}
	}
}

// runHeartbeats sends heartbeats until the context ends: changed loads to
// entries soon and at the latest each round, all loads every fullLoadRounds,
// changed findings on prompts to entries soon, and the state to all processes when
// it has changed and every announceRounds.
func (e *entryRole) runHeartbeats(ctx context.Context) {
	ticker := e.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	// Loads are sent separately to the entries of the same (local) and of other
	// (remote) failure domains.
	local, remote := &sentLoads{}, &sentLoads{}
	var remoteDue, stateSendDue, findingsDue <-chan time.Time
	var stateSentAt, findingsSentAt time.Time
	overloads := overloadLog{logger: e.logger}
	for round := 1; ; {
		select {
		case <-ticker.Chan():
		case <-e.loadChanged:
			e.clock.Sleep(localSendDelay)
			toLocal, toRemote := e.heartbeats.ActivePeersByDomain(mulberryspool.RoleEntry)
			e.sendLoadChanges(local, toLocal)
			if pause := remoteInterval(len(toRemote)) - e.clock.Since(remote.sentAt); pause <= 0 {
				e.sendLoadChanges(remote, toRemote)
			} else if remoteDue == nil {
				remoteDue = e.clock.After(pause)
			}
			continue
		case <-remoteDue:
			remoteDue = nil
			_, toRemote := e.heartbeats.ActivePeersByDomain(mulberryspool.RoleEntry)
			e.sendLoadChanges(remote, toRemote)
			continue
		case <-e.stateChanged:
			if stateSendDue == nil {
				stateSendDue = e.clock.After(stateSendInterval - e.clock.Since(stateSentAt))
			}
			continue
		case <-stateSendDue:
			stateSendDue, stateSentAt = nil, e.clock.Now()
			// The other entries have read the change from those that watch the store, which
			// tell all processes.
			e.announce(nil, e.watchesConfig())
			continue
		case <-e.findingsChanged:
			if findingsDue == nil {
				findingsDue = e.clock.After(max(localSendDelay, findingsSendInterval-e.clock.Since(findingsSentAt)))
			}
			continue
		case <-findingsDue:
			summary := &heartbeat.Summary{Summary: e.fleet.Summary(), Findings: e.promptGuard.ChangedFindings(findingsSentAt)}
			findingsDue, findingsSentAt = nil, e.clock.Now()
			e.heartbeats.Send(heartbeat.Message{Summary: summary}, e.heartbeats.ActivePeers(mulberryspool.RoleEntry))
			continue
		case <-ctx.Done():
			return
		}
		e.scheduler.ExpirePeers()
		e.promptGuard.Expire()
		e.observeSilence()
		e.evacuations.tick()
		e.logColdChanges()
		if round++; round%fullLoadRounds == 0 {
			loads, waiting, limits := e.scheduler.Loads(), e.scheduler.Waiting(), e.scheduler.Limits()
			summary := &heartbeat.Summary{Summary: e.fleet.Summary(), Limits: limits, Silences: e.scheduler.Silences(), Evacuations: e.evacuations.report(), Demand: e.scheduler.Demand()}
			e.heartbeats.Send(heartbeat.Message{Summary: summary, Loads: loads, Waiting: waiting}, e.heartbeats.ActivePeers(mulberryspool.RoleEntry))
			now := e.clock.Now()
			*local, *remote = sentLoads{loads, waiting, limits, now}, sentLoads{loads, waiting, limits, now}
		} else {
			toLocal, toRemote := e.heartbeats.ActivePeersByDomain(mulberryspool.RoleEntry)
			e.sendLoadChanges(local, toLocal)
			if e.clock.Since(remote.sentAt) >= remoteInterval(len(toRemote)) {
				e.sendLoadChanges(remote, toRemote)
			}
			if round%demandRounds == 0 {
				e.sendDemand()
			}
		}
		e.scheduler.Shares(overloads.record)
		if round%announceRounds == 0 {
			var findings []quarantine.Finding
			if round%findingsRounds == 0 {
				findings = e.promptGuard.Findings()
			}
			e.announce(findings, round%remoteAnnounceRounds == 0)
			e.reportMetrics()
		}
	}
}

// remoteInterval returns the minimum interval between two heartbeats to a number of
// entries of other failure domains.
func remoteInterval(peers int) time.Duration {
	return remoteSendInterval * time.Duration(max(remotePeersPerInterval, peers)) / remotePeersPerInterval
}

// sentLoads holds the loads and rate limits last sent to a group of entries.
type sentLoads struct {
	loads   map[mulberryspool.InstanceID]placement.Load
	waiting map[string]int
	limits  []serverlimit.Report
	sentAt  time.Time
}

// sendLoadChanges sends a group of entries the loads that have changed since
// the previous call for the group. A removed load is sent as a zero Load.
func (e *entryRole) sendLoadChanges(previous *sentLoads, to []netip.AddrPort) {
	loads, waiting, limits := e.scheduler.Loads(), e.scheduler.Waiting(), e.scheduler.Limits()
	changed := make(map[mulberryspool.InstanceID]placement.Load)
	for id, l := range loads {
		if previous.loads[id] != l {
			changed[id] = l
		}
	}
	for id := range previous.loads {
		if _, ok := loads[id]; !ok {
			changed[id] = placement.Load{}
		}
	}
	m := heartbeat.Message{Loads: changed, Partial: true, Waiting: waiting}
	if newLimits := changedLimits(previous.limits, limits); len(newLimits) > 0 {
		m.Summary = &heartbeat.Summary{Summary: e.fleet.Summary(), Limits: newLimits}
	}
	if len(changed) > 0 || m.Summary != nil || !maps.Equal(waiting, previous.waiting) {
		e.heartbeats.Send(m, to)
	}
	*previous = sentLoads{loads, waiting, limits, e.clock.Now()}
}

// changedLimits returns the reports that say more than that time has passed.
func changedLimits(previous, limits []serverlimit.Report) []serverlimit.Report {
	known := make(map[serverlimit.Report]bool, len(previous))
	for _, r := range previous {
		known[r.Content()] = true
	}
	var changed []serverlimit.Report
	for _, r := range limits {
		if !known[r.Content()] {
			changed = append(changed, r)
		}
	}
	return changed
}

// announce sends the summary of the state and findings on prompts to agents, to the other
// entries and, with the addresses of all active entries and of those that share limits with this
// one, to registered entries that are not active. Unless all is set, agents and entries in other
// failure domains are left out: the links between regions carry few of these messages beside
// live requests.
func (e *entryRole) announce(findings []quarantine.Finding, all bool) {
	summary := &heartbeat.Summary{Summary: e.fleet.Summary(), Findings: findings, Evacuations: e.evacuations.report()}
	local, remote := e.heartbeats.ActivePeersByDomain(mulberryspool.RoleEntry)
	active := slices.Concat(local, remote)
	isActive := make(map[netip.AddrPort]bool, len(active))
	var activeAddresses []string
	for _, a := range active {
		isActive[a] = true
		activeAddresses = append(activeAddresses, a.String())
	}
	// Those that share limits with this entry but are not heard; none in calm operation.
	var unheard []string
	for _, a := range e.scheduler.Entries() {
		if !isActive[a] {
			unheard = append(unheard, a.String())
		}
	}
	e.mu.Lock()
	var inactive []netip.AddrPort
	for a := range e.registered {
		if !isActive[a] {
			inactive = append(inactive, a)
		}
	}
	e.mu.Unlock()
	e.heartbeats.Send(heartbeat.Message{Summary: summary, EntryAddresses: append(activeAddresses, unheard...)}, inactive)
	if len(unheard) > 0 {
		// One of the active ones may have restarted.
		e.heartbeats.Send(heartbeat.Message{EntryAddresses: unheard}, active)
	}
	to := local
	if all {
		to = active
	}
	e.heartbeats.Send(heartbeat.Message{Summary: summary}, append(e.agentAddresses(all), to...))
}

func (e *entryRole) reportMetrics() {
	e.scheduler.Summary(func(pool string, usable, places, inFlight, waiting int) {
		scope := e.metrics.Tagged(map[string]string{"pool": pool})
		scope.Gauge("servers").Update(float64(usable))
		scope.Gauge("places").Update(float64(places))
		scope.Gauge("in_flight").Update(float64(inFlight))
		scope.Gauge("waiting").Update(float64(waiting))
	})
	e.scheduler.Paused(func(pool string, servers int) {
		e.metrics.Tagged(map[string]string{"pool": pool}).Gauge("paused_servers").Update(float64(servers))
	})
	e.reportWatch()
	e.evacuations.reportMetrics()
	e.reportShares()
	e.reportServerMetrics()
	e.metrics.Gauge("log_lines_dropped").Update(float64(e.logWriter.Dropped()))
}

// reportWatch reports whether this entry watches the configuration and the servers.
func (e *entryRole) reportWatch() {
	watches := 0.0
	if e.watchesConfig() {
		watches = 1
	}
	e.metrics.Gauge("watches_configuration").Update(watches)
}

// register keeps the entry's address in the store and reads the other entries' until the context
// ends. A store that was restored from a copy may lack the address.
func (e *entryRole) register(ctx context.Context) {
	for write := true; ; {
		era, err := e.tryRegister(ctx, write)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.logger.Info().EmbedObject(logging.Fields{}.WithStep(err)).Err(err).Msg("entry could not be registered")
			e.pause(ctx, registerRetryInterval)
			continue
		}
		write = false
		e.awaitEra(ctx, era)
		e.pause(ctx, rand.N(registerSpread))
	}
}

// tryRegister reads the registrations and writes that of this entry, if it is missing or write is
// set. It returns the era of the store that has it.
func (e *entryRole) tryRegister(ctx context.Context, write bool) (mulberryspool.Era, error) {
	if !write {
		at, listed, err := e.readEntries(ctx)
		if err != nil || listed {
			return at.Era, err
		}
		e.logger.Info().Str(logging.FieldStep, "register").Uint64("era", uint64(at.Era)).Msg("restored store lacks the registration of this entry, writing it again")
	}
	err := e.store.Put(ctx, platform.KindEntries, e.settings.Instance, registration{Address: e.ownAddress(), FailureDomain: e.identity.FailureDomain})
	if err != nil {
		return 0, err
	}
	at, listed, err := e.readEntries(ctx)
	if err == nil && !listed {
		err = mulberryspool.AtStep(errors.New("store does not list the registration that was written"), "register", e.settings.Store)
	}
	return at.Era, err
}

// awaitEra waits until the store is in a later era.
func (e *entryRole) awaitEra(ctx context.Context, era mulberryspool.Era) {
	// Otherwise a later era may be the first one that the fleet knows.
	e.fleet.ObserveEra(era, "")
	for e.fleet.Era() <= era {
		select {
		case <-e.eraChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (e *entryRole) pause(ctx context.Context, d time.Duration) {
	select {
	case <-e.clock.After(d):
	case <-ctx.Done():
	}
}

// readEntries adds the registered entries. It reports whether this one is among them.
func (e *entryRole) readEntries(ctx context.Context) (mulberryspool.Position, bool, error) {
	objects, at, err := e.store.List(ctx, platform.KindEntries)
	if err != nil {
		return at, false, err
	}
	var addresses []string
	listed := false
	for _, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil {
			e.logger.Warn().Err(err).Str(logging.FieldPeer, o.Name).Msg("registration of an entry cannot be decoded")
			continue
		}
		addresses = append(addresses, r.Address)
		listed = listed || o.Name == e.settings.Instance && r.Address == e.ownAddress()
	}
	e.addEntries(addresses, true)
	e.announce(nil, true)
	return at, listed, nil
}

// ownAddress is where this entry receives heartbeats.
func (e *entryRole) ownAddress() string { return e.settings.EntryHeartbeatAddress(e.settings.Address) }
