package process

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// settledHeartbeatIntervals is the number of heartbeat intervals between two
// heartbeats of a settled agent. With a heartbeat each second, an idle agent in
// a pool of 16 sent 2.5 KB/s, above the limit of 2 KB/s of control traffic per
// node (requirement R28).
const settledHeartbeatIntervals = 5

// peerState is the state of an agent that this agent sends heartbeats to.
type peerState struct {
	instance mulberryspool.InstanceID
	address  string
	conn     *rpc.Conn
	// busy is set while a heartbeat or a new connection is in progress.
	busy bool
	// awaitingReply is set while a heartbeat has no reply. since is the time of
	// the first heartbeat without a reply, or else of the last reply.
	awaitingReply bool
	since         time.Duration
	replied       bool
	suspected     bool
	dead          bool
}

// pollInstances reads the instance list. On an error the previous one is kept.
func (p *Process) pollInstances() {
	ctx, cancel := context.WithTimeout(p.runCtx, callTimeout)
	defer cancel()
	rows, err := p.Instances.Instances(ctx)
	if err != nil {
		p.Logger.Warn().Err(err).Msg("could not read instance list; using the previous one")
		return
	}
	p.post(func() {
		clear(p.listedAgents)
		for _, row := range rows {
			if row.Role == mulberryspool.RoleAgent && row.Pool == p.Identity.Pool {
				p.listedAgents[row.Instance] = row
			}
		}
		p.updateMembers()
	})
}

// updateMembers determines the live agents of the pool. The instance list may
// be out of date, so agents that reply to heartbeats are added to it.
func (p *Process) updateMembers() {
	members := []mulberryspool.InstanceID{p.Identity.Instance}
	for instance, row := range p.listedAgents {
		if row.State == mulberryspool.InstanceLive && instance != p.Identity.Instance {
			members = append(members, instance)
		}
	}
	for instance, peer := range p.peers {
		if peer.conn != nil && peer.replied && !peer.suspected && !slices.Contains(members, instance) {
			if row, ok := p.listedAgents[instance]; !ok || row.State != mulberryspool.InstanceLeaving {
				members = append(members, instance)
			}
		}
	}
	slices.Sort(members)
	if slices.Equal(members, p.members) {
		return
	}
	p.members = members
	p.stepRollout(rollout.Members{Instances: members})
}

// sendHeartbeats sends a heartbeat to each agent that the rollout watches, and
// drops the connections to all others.
func (p *Process) sendHeartbeats() {
	watched := p.rollout.Watched()
	for instance, peer := range p.peers {
		if !slices.Contains(watched, instance) {
			if peer.conn != nil {
				peer.conn.Close()
			}
			delete(p.peers, instance)
		}
	}
	for _, instance := range watched {
		peer, ok := p.peers[instance]
		if !ok {
			peer = &peerState{instance: instance, awaitingReply: true, since: p.now()}
			p.peers[instance] = peer
		}
		if row, ok := p.listedAgents[instance]; ok {
			peer.address = row.Control
		}
		p.checkReplyTimeouts(peer)
		p.sendHeartbeat(peer)
	}
	p.updateMembers()
}

// checkReplyTimeouts marks an agent that does not reply as suspected and later as
// dead. A failed heartbeat closes the connection and the next heartbeat opens
// another one, so an agent counts as dead only if new connections failed as well.
func (p *Process) checkReplyTimeouts(peer *peerState) {
	if !peer.awaitingReply {
		return
	}
	elapsed := p.now() - peer.since
	if elapsed >= p.SuspicionTimeout && !peer.suspected {
		peer.suspected = true
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: p.Identity.Pool, Peer: string(peer.instance)})
		p.stepRollout(rollout.PeerSuspected{Instance: peer.instance})
	}
	if elapsed >= p.DeadTimeout && !peer.dead {
		peer.dead = true
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: p.Identity.Pool, Peer: string(peer.instance), Detail: "dead"})
		p.stepRollout(rollout.PeerDead{Instance: peer.instance})
	}
}

func (p *Process) sendHeartbeat(peer *peerState) {
	if peer.busy || peer.address == "" {
		return
	}
	// A settled agent has completed its step of the rolling update, so it
	// needs the state of others less often.
	if p.rollout.View().Settled && peer.replied && !peer.awaitingReply && p.now()-peer.since < settledHeartbeatIntervals*p.HeartbeatInterval {
		return
	}
	peer.busy = true
	if !peer.awaitingReply {
		peer.awaitingReply, peer.since = true, p.now()
	}
	revision := mulberryspool.Revision(0)
	if view, ok := p.Tables.Current(); ok {
		revision = view.Revision
	}
	conn, address := peer.conn, peer.address
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.runCtx, p.SuspicionTimeout)
		defer cancel()
		status, conn, err := p.exchangeHeartbeat(ctx, conn, peer.instance, address, revision)
		p.post(func() { p.heartbeatDone(peer, conn, status, err) })
	})
}

// exchangeHeartbeat sends a heartbeat on the connection. Without one it opens a
// connection and sends a hello, whose result has the same status.
func (p *Process) exchangeHeartbeat(ctx context.Context, conn *rpc.Conn, instance mulberryspool.InstanceID, address string, revision mulberryspool.Revision) (mulberryspool.Heartbeat, *rpc.Conn, error) {
	if conn != nil {
		var status mulberryspool.Heartbeat
		params := mulberryspool.HeartbeatParams{Instance: p.Identity.Instance, Revision: revision}
		err := conn.Call(ctx, mulberryspool.MethodHeartbeat, params, &status)
		return status, conn, err
	}
	conn, err := p.Endpoint.Dial(ctx, address)
	if err != nil {
		return mulberryspool.Heartbeat{}, nil, err
	}
	var result mulberryspool.HelloResult
	params := mulberryspool.HelloParams{Identity: p.Identity, Revision: revision}
	err = conn.Call(ctx, mulberryspool.MethodHello, params, &result)
	if err == nil && result.Identity.Instance != instance {
		// The address has been reassigned to another instance.
		err = mulberryspool.AtStep(errors.Newf("connected to instance %s, want %s", result.Identity.Instance, instance), "connect to agent", address)
	}
	return result.Status, conn, err
}

func (p *Process) heartbeatDone(peer *peerState, conn *rpc.Conn, status mulberryspool.Heartbeat, err error) {
	peer.busy = false
	if p.peers[peer.instance] != peer {
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		peer.conn = nil
		return
	}
	peer.conn = conn
	peer.awaitingReply, peer.since, peer.replied = false, p.now(), true
	if peer.suspected {
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerRestored, Pool: p.Identity.Pool, Peer: string(peer.instance)})
	}
	peer.suspected, peer.dead = false, false
	p.stepRollout(rollout.PeerHeartbeat{Instance: peer.instance, Status: status})
	p.reportRevision(conn, status.Revision)
	p.updateMembers()
}
