package process

import (
	"context"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

type (
	// peer is an open connection to an agent.
	peer struct {
		id       dispatch.ConnID
		instance mulberryspool.InstanceID
		domain   string
		conn     *rpc.Conn
	}

	// peers finds connections both ways.
	peers struct {
		mu     sync.Mutex
		byID   map[dispatch.ConnID]*peer
		byConn map[*rpc.Conn]*peer
		// dialling holds the cancel functions of connections being opened.
		dialling map[dispatch.ConnID]context.CancelFunc
	}
)

func (s *peers) init() {
	s.byID = make(map[dispatch.ConnID]*peer)
	s.byConn = make(map[*rpc.Conn]*peer)
	s.dialling = make(map[dispatch.ConnID]context.CancelFunc)
}

func (s *peers) get(id dispatch.ConnID) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *peers) of(conn *rpc.Conn) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byConn[conn]
}

func (s *peers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byID)
}

func (s *peers) add(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[p.id], s.byConn[p.conn] = p, p
}

// remove forgets a connection; its later messages and its end count no more.
func (s *peers) remove(conn *rpc.Conn) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byConn[conn]
	if p != nil {
		delete(s.byID, p.id)
		delete(s.byConn, conn)
	}
	return p
}

func (s *peers) close(id dispatch.ConnID) {
	s.mu.Lock()
	if cancel := s.dialling[id]; cancel != nil {
		cancel()
	}
	p := s.byID[id]
	s.mu.Unlock()
	if p != nil {
		s.remove(p.conn)
		p.conn.Close()
	}
}

// open dials an agent, says hello and then watches over the connection.
func (p *Process) open(e dispatch.OpenConnection) {
	ctx, cancel := p.withTimeout(p.calls, p.DialTimeout)
	p.peers.mu.Lock()
	p.peers.dialling[e.Conn] = cancel
	p.peers.mu.Unlock()
	p.goCall(func(calls context.Context) {
		hello, found, err := p.hello(ctx, e)
		cancel()
		p.peers.mu.Lock()
		delete(p.peers.dialling, e.Conn)
		p.peers.mu.Unlock()
		if err != nil {
			p.Logger.Info().Err(err).Str("step", "open connection").Str("peer", string(e.Instance)).Msg("connection failed")
			p.inbox.post(dispatch.ConnFailed{Conn: e.Conn, Reason: err.Error()})
			return
		}
		p.inbox.post(dispatch.ConnOpened{Conn: e.Conn, Hello: hello})
		p.heard(found, hello.Status.Revision)
		p.watch(calls, found)
	})
}

func (p *Process) hello(ctx context.Context, e dispatch.OpenConnection) (mulberryspool.HelloResult, *peer, error) {
	var hello mulberryspool.HelloResult
	conn, err := p.Endpoint.Dial(ctx, e.Address)
	if err != nil {
		return hello, nil, err
	}
	found := &peer{id: e.Conn, instance: e.Instance, domain: e.FailureDomain, conn: conn}
	p.peers.add(found)
	sent := p.Clock.Now()
	params := mulberryspool.HelloParams{Identity: p.Identity, Revision: p.revision()}
	if err := conn.Call(ctx, mulberryspool.MethodHello, params, &hello); err != nil {
		p.peers.remove(conn)
		conn.Close()
		return hello, nil, err
	}
	p.delays.observe(e.FailureDomain, p.Clock.Since(sent))
	return hello, found, nil
}

// watch sends heartbeats on a connection that is quiet, or whose agent's
// state is old, and reports silence. It returns when the connection ends.
func (p *Process) watch(ctx context.Context, peer *peer) {
	beat := p.Clock.Now()
	for {
		quietAt := peer.conn.LastReceived().Add(p.quietBound(p.peers.count()))
		if oldAt := beat.Add(p.HeartbeatMaxAge); oldAt.Before(quietAt) {
			quietAt = oldAt
		}
		if wait := quietAt.Sub(p.Clock.Now()); wait > 0 {
			select {
			case <-p.Clock.After(wait):
				continue
			case <-peer.conn.Done():
				return
			case <-ctx.Done():
				return
			}
		}
		beat = p.Clock.Now()
		if !p.heartbeat(ctx, peer) {
			return
		}
	}
}

// quietBound is how long each of the connections may be quiet.
func (p *Process) quietBound(connections int) time.Duration {
	affordable := time.Duration(connections*heartbeatBytes) * time.Second / time.Duration(p.ControlBudget)
	return max(p.HeartbeatInterval, min(affordable, p.HeartbeatMaxAge))
}

// heartbeat returns false when the connection has ended or is silent.
func (p *Process) heartbeat(ctx context.Context, peer *peer) bool {
	sent := p.Clock.Now()
	call, cancel := p.withTimeout(ctx, p.delays.timeout(peer.domain))
	defer cancel()
	var status mulberryspool.Heartbeat
	params := mulberryspool.HeartbeatParams{Instance: p.Identity.Instance, Revision: p.revision()}
	err := peer.conn.Call(call, mulberryspool.MethodHeartbeat, params, &status)
	if err == nil {
		p.delays.observe(peer.domain, p.Clock.Since(sent))
		p.inbox.post(dispatch.HeartbeatArrived{Conn: peer.id, Status: status})
		p.heard(peer, status.Revision)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-peer.conn.Done():
		return false
	default:
	}
	if peer.conn.LastReceived().After(sent) {
		// Other traffic came, so the connection works and only the reply is late.
		p.delays.observe(peer.domain, p.Clock.Since(sent))
		return true
	}
	p.Metrics.Counter("connections_silent").Inc(1)
	p.inbox.post(dispatch.ConnSilent{Conn: peer.id})
	return false
}

// handle takes in a message from an agent.
func (p *Process) handle(m rpc.Message) {
	peer := p.peers.of(m.Conn)
	if peer == nil && m.Method != mulberryspool.MethodTablesFetch {
		return
	}
	switch m.Method {
	case mulberryspool.MethodChunk:
		var notice mulberryspool.ChunkNotice
		if p.decoded(m, &notice) {
			p.inbox.post(dispatch.ChunkArrived{Conn: peer.id, Notice: notice})
		}
	case mulberryspool.MethodEnd:
		var notice mulberryspool.EndNotice
		if p.decoded(m, &notice) {
			p.inbox.post(dispatch.EndArrived{Conn: peer.id, Notice: notice})
		}
	case mulberryspool.MethodLeaving:
		p.inbox.post(dispatch.AgentLeaving{Conn: peer.id})
		_ = m.Reply(struct{}{})
	case mulberryspool.MethodTablesFetch:
		var params mulberryspool.TablesFetchParams
		if p.decoded(m, &params) {
			document, _ := p.Tables.Document(params.Above)
			_ = m.Reply(document)
		}
	default:
		_ = m.ReplyError(methodNotFound, "an entry does not take "+m.Method)
	}
}

// methodNotFound is jsonrpc2's code for an unknown method.
const methodNotFound = -32601

// decoded reports whether the parameters could be read. A connection that
// carries broken messages is closed, and its requests are resolved on a new one.
func (p *Process) decoded(m rpc.Message, params any) bool {
	err := m.Decode(params)
	if err != nil {
		p.Logger.Warn().Err(err).Str("step", m.Method).Str("peer", m.Conn.Peer()).Msg("message can't be decoded")
		m.Conn.Close()
	}
	return err == nil
}

func (p *Process) closed(conn *rpc.Conn) {
	if peer := p.peers.remove(conn); peer != nil {
		p.inbox.post(dispatch.ConnClosed{Conn: peer.id})
	}
}

func (p *Process) revision() mulberryspool.Revision {
	view, _ := p.Tables.Current()
	return view.Revision
}

// heard fetches the tables from a peer that has a higher revision.
func (p *Process) heard(peer *peer, revision mulberryspool.Revision) {
	if revision <= p.revision() {
		return
	}
	p.Tables.Heard(revision, func(ctx context.Context) (mulberryspool.TablesDocument, error) {
		var document mulberryspool.TablesDocument
		err := peer.conn.Call(ctx, mulberryspool.MethodTablesFetch, mulberryspool.TablesFetchParams{Above: p.revision()}, &document)
		return document, err
	})
}

// pollInstances reads the instance list until the context ends.
func (p *Process) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := p.withTimeout(ctx, max(p.InstancePoll, time.Second))
		list, err := p.Instances.Instances(call)
		cancel()
		if err != nil {
			p.Logger.Warn().Err(err).Str("step", "read instance list").Msg("the last list stays in use")
		} else {
			p.inbox.post(dispatch.InstancesListed{Instances: list})
		}
		p.sleep(ctx, p.InstancePoll)
	}
}
