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

// settledBeats is how many heartbeat intervals a settled agent lets pass
// between two heartbeats: at one each second an idle agent in a pool of 16
// spent 2.5 KB/s, above the bound of R28.
const settledBeats = 5

// peerLink is the connection to an agent whose heartbeats are needed.
type peerLink struct {
	instance mulberryspool.InstanceID
	address  string
	conn     *rpc.Conn
	// busy is set while a call or a new connection is under way.
	busy bool
	// waiting is set from a heartbeat that is sent until one is answered. Since
	// is the time of the first unanswered one, or of the last answer.
	waiting   bool
	since     time.Duration
	heard     bool
	suspected bool
	dead      bool
}

// readInstances reads the instance list. An error keeps the last one.
func (p *Process) readInstances() {
	ctx, cancel := context.WithTimeout(p.running, callTimeout)
	defer cancel()
	rows, err := p.Instances.Instances(ctx)
	if err != nil {
		p.Logger.Warn().Err(err).Msg("instance list not read")
		return
	}
	p.post(func() {
		clear(p.listed)
		for _, row := range rows {
			if row.Role == mulberryspool.RoleAgent && row.Pool == p.Identity.Pool {
				p.listed[row.Instance] = row
			}
		}
		p.updateMembers()
	})
}

// updateMembers derives the pool's agents from the instance list, which lags,
// and from heartbeats, which correct it.
func (p *Process) updateMembers() {
	members := []mulberryspool.InstanceID{p.Identity.Instance}
	for instance, row := range p.listed {
		if row.State == mulberryspool.InstanceLive && instance != p.Identity.Instance {
			members = append(members, instance)
		}
	}
	for instance, link := range p.peers {
		if link.conn != nil && link.heard && !link.suspected && !slices.Contains(members, instance) {
			if row, ok := p.listed[instance]; !ok || row.State != mulberryspool.InstanceLeaving {
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

// beatPeers keeps a connection to each agent that the rollout watches, and
// sends a heartbeat on it.
func (p *Process) beatPeers() {
	watched := p.rollout.Watched()
	for instance, link := range p.peers {
		if !slices.Contains(watched, instance) {
			if link.conn != nil {
				link.conn.Close()
			}
			delete(p.peers, instance)
		}
	}
	for _, instance := range watched {
		link, ok := p.peers[instance]
		if !ok {
			link = &peerLink{instance: instance, waiting: true, since: p.now()}
			p.peers[instance] = link
		}
		if row, ok := p.listed[instance]; ok {
			link.address = row.Control
		}
		p.suspect(link)
		p.beat(link)
	}
	p.updateMembers()
}

// suspect judges a silent agent. Each heartbeat that is missed closes its
// connection, so a dead agent was unreachable on new connections throughout.
func (p *Process) suspect(link *peerLink) {
	if !link.waiting {
		return
	}
	silent := p.now() - link.since
	if silent >= p.SuspectAfter && !link.suspected {
		link.suspected = true
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: p.Identity.Pool, Peer: string(link.instance)})
		p.stepRollout(rollout.PeerSuspected{Instance: link.instance})
	}
	if silent >= p.DeadAfter && !link.dead {
		link.dead = true
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerSuspected, Pool: p.Identity.Pool, Peer: string(link.instance), Detail: "dead"})
		p.stepRollout(rollout.PeerDead{Instance: link.instance})
	}
}

func (p *Process) beat(link *peerLink) {
	if link.busy || link.address == "" {
		return
	}
	// An agent whose turn is over needs to know little of the others.
	if p.rollout.View().Settled && link.heard && !link.waiting && p.now()-link.since < settledBeats*p.HeartbeatInterval {
		return
	}
	link.busy = true
	if !link.waiting {
		link.waiting, link.since = true, p.now()
	}
	revision := mulberryspool.Revision(0)
	if view, ok := p.Tables.Current(); ok {
		revision = view.Revision
	}
	conn, address := link.conn, link.address
	p.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(p.running, p.SuspectAfter)
		defer cancel()
		status, conn, err := p.askPeer(ctx, conn, link.instance, address, revision)
		p.post(func() { p.peerAnswered(link, conn, status, err) })
	})
}

// askPeer sends a heartbeat, or opens a connection first.
func (p *Process) askPeer(ctx context.Context, conn *rpc.Conn, instance mulberryspool.InstanceID, address string, revision mulberryspool.Revision) (mulberryspool.Heartbeat, *rpc.Conn, error) {
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
		// The address has been given to another instance since.
		err = mulberryspool.AtStep(errors.Newf("%s answers in place of %s", result.Identity.Instance, instance), "greet agent", address)
	}
	return result.Status, conn, err
}

func (p *Process) peerAnswered(link *peerLink, conn *rpc.Conn, status mulberryspool.Heartbeat, err error) {
	link.busy = false
	if p.peers[link.instance] != link {
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil {
		if conn != nil {
			conn.Close()
		}
		link.conn = nil
		return
	}
	link.conn = conn
	link.waiting, link.since, link.heard = false, p.now(), true
	if link.suspected {
		p.record(mulberryspool.Event{Kind: mulberryspool.EventPeerRestored, Pool: p.Identity.Pool, Peer: string(link.instance)})
	}
	link.suspected, link.dead = false, false
	p.stepRollout(rollout.PeerHeard{Instance: link.instance, Status: status})
	p.heard(conn, status.Revision)
	p.updateMembers()
}
