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
	// agentConn is an open connection to an agent.
	agentConn struct {
		id       dispatch.ConnID
		instance mulberryspool.InstanceID
		domain   string
		conn     *rpc.Conn
	}

	// agentConns holds the connections to agents, by ID and by rpc.Conn.
	agentConns struct {
		mu     sync.Mutex
		byID   map[dispatch.ConnID]*agentConn
		byConn map[*rpc.Conn]*agentConn
		// cancelDial holds the cancel functions of connections that are being opened.
		cancelDial map[dispatch.ConnID]context.CancelFunc
	}
)

func (c *agentConns) init() {
	c.byID = make(map[dispatch.ConnID]*agentConn)
	c.byConn = make(map[*rpc.Conn]*agentConn)
	c.cancelDial = make(map[dispatch.ConnID]context.CancelFunc)
}

func (c *agentConns) get(id dispatch.ConnID) *agentConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

func (c *agentConns) find(conn *rpc.Conn) *agentConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byConn[conn]
}

func (c *agentConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

func (c *agentConns) add(agent *agentConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[agent.id], c.byConn[agent.conn] = agent, agent
}

// remove removes a connection. Later messages on it and its end are ignored.
func (c *agentConns) remove(conn *rpc.Conn) *agentConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	agent := c.byConn[conn]
	if agent != nil {
		delete(c.byID, agent.id)
		delete(c.byConn, conn)
	}
	return agent
}

func (c *agentConns) close(id dispatch.ConnID) {
	c.mu.Lock()
	if cancel := c.cancelDial[id]; cancel != nil {
		cancel()
	}
	agent := c.byID[id]
	c.mu.Unlock()
	if agent != nil {
		c.remove(agent.conn)
		agent.conn.Close()
	}
}

// openConnection opens a connection to an agent and then monitors it.
func (p *Process) openConnection(e dispatch.OpenConnection) {
	ctx, cancel := p.withTimeout(p.callContext, p.DialTimeout)
	p.conns.mu.Lock()
	p.conns.cancelDial[e.Conn] = cancel
	p.conns.mu.Unlock()
	p.runAsync(func(calls context.Context) {
		hello, opened, err := p.dialAndHello(ctx, e)
		cancel()
		p.conns.mu.Lock()
		delete(p.conns.cancelDial, e.Conn)
		p.conns.mu.Unlock()
		if err != nil {
			p.Logger.Info().Err(err).Str("step", "open connection").Str("peer", string(e.Instance)).Msg("connection to agent failed")
			p.inbox.post(dispatch.ConnFailed{Conn: e.Conn, Reason: err.Error()})
			return
		}
		p.inbox.post(dispatch.ConnOpened{Conn: e.Conn, Hello: hello})
		p.fetchNewerTables(opened, hello.Status.Revision)
		p.keepAlive(calls, opened)
	})
}

// dialAndHello dials an agent and exchanges the hello messages, which also
// gives a round-trip sample.
func (p *Process) dialAndHello(ctx context.Context, e dispatch.OpenConnection) (mulberryspool.HelloResult, *agentConn, error) {
	var hello mulberryspool.HelloResult
	conn, err := p.Endpoint.Dial(ctx, e.Address)
	if err != nil {
		return hello, nil, err
	}
	opened := &agentConn{id: e.Conn, instance: e.Instance, domain: e.FailureDomain, conn: conn}
	p.conns.add(opened)
	sent := p.Clock.Now()
	params := mulberryspool.HelloParams{Identity: p.Identity, Revision: p.tablesRevision()}
	if err := conn.Call(ctx, mulberryspool.MethodHello, params, &hello); err != nil {
		p.conns.remove(conn)
		conn.Close()
		return hello, nil, err
	}
	p.delays.observe(e.FailureDomain, p.Clock.Since(sent))
	return hello, opened, nil
}

// keepAlive sends a heartbeat when nothing was received for idleInterval, or
// when the agent's state is older than HeartbeatMaxAge. It returns when the
// connection ends or is silent.
func (p *Process) keepAlive(ctx context.Context, agent *agentConn) {
	lastHeartbeat := p.Clock.Now()
	for {
		nextHeartbeat := agent.conn.LastReceived().Add(p.idleInterval(p.conns.count()))
		if staleAt := lastHeartbeat.Add(p.HeartbeatMaxAge); staleAt.Before(nextHeartbeat) {
			nextHeartbeat = staleAt
		}
		if wait := nextHeartbeat.Sub(p.Clock.Now()); wait > 0 {
			select {
			case <-p.Clock.After(wait):
				continue
			case <-agent.conn.Done():
				return
			case <-ctx.Done():
				return
			}
		}
		lastHeartbeat = p.Clock.Now()
		if !p.sendHeartbeat(ctx, agent) {
			return
		}
	}
}

// idleInterval returns how long a connection may be idle before a heartbeat is
// sent. It grows with the number of connections to keep their heartbeats within
// ControlBudget.
func (p *Process) idleInterval(connections int) time.Duration {
	affordable := time.Duration(connections*heartbeatBytes) * time.Second / time.Duration(p.ControlBudget)
	return max(p.HeartbeatInterval, min(affordable, p.HeartbeatMaxAge))
}

// sendHeartbeat sends a heartbeat and waits for the reply. It returns false if
// the connection has ended, or is silent: nothing was received within the
// suspicion timeout.
func (p *Process) sendHeartbeat(ctx context.Context, agent *agentConn) bool {
	sent := p.Clock.Now()
	call, cancel := p.withTimeout(ctx, p.delays.timeout(agent.domain))
	defer cancel()
	var status mulberryspool.Heartbeat
	params := mulberryspool.HeartbeatParams{Instance: p.Identity.Instance, Revision: p.tablesRevision()}
	err := agent.conn.Call(call, mulberryspool.MethodHeartbeat, params, &status)
	if err == nil {
		p.delays.observe(agent.domain, p.Clock.Since(sent))
		p.inbox.post(dispatch.HeartbeatArrived{Conn: agent.id, Status: status})
		p.fetchNewerTables(agent, status.Revision)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	select {
	case <-agent.conn.Done():
		return false
	default:
	}
	if agent.conn.LastReceived().After(sent) {
		// Other messages were received, so the connection works and only the
		// reply is late.
		p.delays.observe(agent.domain, p.Clock.Since(sent))
		return true
	}
	p.Metrics.Counter("connections_silent").Inc(1)
	p.inbox.post(dispatch.ConnTimedOut{Conn: agent.id})
	return false
}

// handleMessage posts a message from an agent to the reducer. Tables requests
// are answered on any connection; other messages on connections that were not
// opened by the reducer, or were closed by it, are ignored.
func (p *Process) handleMessage(m rpc.Message) {
	agent := p.conns.find(m.Conn)
	if agent == nil && m.Method != mulberryspool.MethodTablesFetch {
		return
	}
	switch m.Method {
	case mulberryspool.MethodChunk:
		var notice mulberryspool.ChunkNotice
		if p.decode(m, &notice) {
			p.inbox.post(dispatch.ChunkArrived{Conn: agent.id, Notice: notice})
		}
	case mulberryspool.MethodEnd:
		var notice mulberryspool.EndNotice
		if p.decode(m, &notice) {
			p.inbox.post(dispatch.EndArrived{Conn: agent.id, Notice: notice})
		}
	case mulberryspool.MethodLeaving:
		p.inbox.post(dispatch.AgentLeaving{Conn: agent.id})
		_ = m.Reply(struct{}{})
	case mulberryspool.MethodTablesFetch:
		var params mulberryspool.TablesFetchParams
		if p.decode(m, &params) {
			document, _ := p.Tables.Document(params.Above)
			_ = m.Reply(document)
		}
	default:
		_ = m.ReplyError(methodNotFound, "an entry does not take "+m.Method)
	}
}

// methodNotFound is jsonrpc2's code for an unknown method.
const methodNotFound = -32601

// decode decodes the parameters of a message and reports whether it succeeded.
// On an error it closes the connection; its requests are then resolved on a
// new one.
func (p *Process) decode(m rpc.Message, params any) bool {
	err := m.Decode(params)
	if err != nil {
		p.Logger.Warn().Err(err).Str("step", m.Method).Str("peer", m.Conn.Peer()).Msg("closing connection after a malformed message")
		m.Conn.Close()
	}
	return err == nil
}

func (p *Process) connectionClosed(conn *rpc.Conn) {
	if agent := p.conns.remove(conn); agent != nil {
		p.inbox.post(dispatch.ConnClosed{Conn: agent.id})
	}
}

func (p *Process) tablesRevision() mulberryspool.Revision {
	view, _ := p.Tables.Current()
	return view.Revision
}

// fetchNewerTables fetches the tables from an agent that reports a higher revision.
func (p *Process) fetchNewerTables(agent *agentConn, revision mulberryspool.Revision) {
	if revision <= p.tablesRevision() {
		return
	}
	p.Tables.ObservePeerRevision(revision, func(ctx context.Context) (mulberryspool.TablesDocument, error) {
		var document mulberryspool.TablesDocument
		err := agent.conn.Call(ctx, mulberryspool.MethodTablesFetch, mulberryspool.TablesFetchParams{Above: p.tablesRevision()}, &document)
		return document, err
	})
}

// pollInstances polls the instance list until the context ends.
func (p *Process) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := p.withTimeout(ctx, max(p.InstancePollInterval, time.Second))
		list, err := p.Instances.Instances(call)
		cancel()
		if err != nil {
			p.Logger.Warn().Err(err).Str("step", "read instance list").Msg("instance list not read; keeping the last one")
		} else {
			p.inbox.post(dispatch.InstancesListed{Instances: list})
		}
		p.sleep(ctx, p.InstancePollInterval)
	}
}
