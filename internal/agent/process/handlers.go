package process

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

func (p *Process) handle(message rpc.Message) {
	p.post(message)
}

// handleMessage handles one request or notification from another process.
func (p *Process) handleMessage(m rpc.Message) {
	state := p.connFor(m.Conn)
	if state == nil {
		return
	}
	switch m.Method {
	case mulberryspool.MethodHello:
		var params mulberryspool.HelloParams
		if p.decode(m, &params) {
			state.identity = params.Identity
			p.reportRevision(m.Conn, params.Revision)
			p.sendReply(m, mulberryspool.HelloResult{Identity: p.Identity, Status: p.heartbeat()})
		}
	case mulberryspool.MethodHeartbeat:
		var params mulberryspool.HeartbeatParams
		if p.decode(m, &params) {
			p.reportRevision(m.Conn, params.Revision)
			p.sendReply(m, p.heartbeat())
		}
	case mulberryspool.MethodStart:
		var params mulberryspool.StartParams
		if p.decode(m, &params) {
			p.stepRequests(gate.Start{Conn: state.id, Call: p.registerCall(m), Params: params})
		}
	case mulberryspool.MethodResolve:
		var params mulberryspool.ResolveParams
		if p.decode(m, &params) {
			p.stepRequests(gate.Resolve{Conn: state.id, Call: p.registerCall(m), Params: params})
		}
	case mulberryspool.MethodCancel:
		var params mulberryspool.CancelParams
		if p.decode(m, &params) {
			p.stepRequests(gate.Cancel{ID: params.RequestID})
			p.sendReply(m, struct{}{})
		}
	default:
		p.handlePeerMessage(m)
	}
}

func (p *Process) handlePeerMessage(m rpc.Message) {
	switch m.Method {
	case mulberryspool.MethodTablesFetch:
		var params mulberryspool.TablesFetchParams
		if p.decode(m, &params) {
			// The zero document means that there is no newer revision.
			document, _ := p.Tables.Document(params.Above)
			p.sendReply(m, document)
		}
	case mulberryspool.MethodManifestFetch:
		var params mulberryspool.ManifestFetchParams
		if p.decode(m, &params) {
			p.sendReply(m, p.rollout.Manifest(params.Version))
		}
	case mulberryspool.MethodChunksHave:
		var params mulberryspool.ChunksHaveParams
		if !p.decode(m, &params) {
			return
		}
		if p.Stager == nil {
			_ = m.ReplyError(jsonrpc2.CodeMethodNotFound, "this agent holds no chunks")
			return
		}
		p.sendReply(m, p.Stager.ExchangeHave(params))
	default:
		_ = m.ReplyError(jsonrpc2.CodeMethodNotFound, "unknown method "+m.Method)
	}
}

// connFor returns the state of a connection and creates it for a new one. It
// returns nil if the connection is closed.
func (p *Process) connFor(c *rpc.Conn) *connState {
	if state, ok := p.conns[c]; ok {
		return state
	}
	select {
	case <-c.Done():
		// connClosed may have run before, and would not run again to remove
		// the new state.
		return nil
	default:
	}
	p.nextConn++
	state := &connState{id: p.nextConn}
	p.conns[c] = state
	p.connsByID[state.id] = c
	return state
}

func (p *Process) connClosed(c *rpc.Conn) {
	state, ok := p.conns[c]
	if !ok {
		return
	}
	delete(p.conns, c)
	delete(p.connsByID, state.id)
	for id, m := range p.pendingCalls {
		if m.Conn == c {
			delete(p.pendingCalls, id)
		}
	}
	p.stepRequests(gate.ConnClosed{Conn: state.id})
}

// registerCall stores a call until its reply is sent.
func (p *Process) registerCall(m rpc.Message) gate.CallID {
	p.nextCall++
	p.pendingCalls[p.nextCall] = m
	return p.nextCall
}

func (p *Process) decode(m rpc.Message, params any) bool {
	err := m.Decode(params)
	if err == nil {
		return true
	}
	p.Logger.Warn().Err(err).Str("peer", m.Conn.Peer()).Msg("could not decode message")
	_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
	return false
}

func (p *Process) sendReply(m rpc.Message, result any) {
	if err := m.Reply(result); err != nil {
		p.Logger.Debug().Err(err).Str("peer", m.Conn.Peer()).Msg("could not send reply")
	}
}

// reportRevision notifies the tables source if a peer has a newer revision of
// the tables, so that it can be fetched from that peer.
func (p *Process) reportRevision(c *rpc.Conn, revision mulberryspool.Revision) {
	above := mulberryspool.Revision(0)
	if view, ok := p.Tables.Current(); ok {
		above = view.Revision
	}
	if revision <= above {
		return
	}
	p.Tables.ObservePeerRevision(revision, func(ctx context.Context) (mulberryspool.TablesDocument, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var document mulberryspool.TablesDocument
		err := c.Call(ctx, mulberryspool.MethodTablesFetch, mulberryspool.TablesFetchParams{Above: above}, &document)
		return document, err
	})
}
