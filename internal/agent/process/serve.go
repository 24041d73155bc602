package process

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// handle passes a message to the loop.
func (p *Process) handle(message rpc.Message) {
	p.post(message)
}

// message answers one request or notification.
func (p *Process) message(m rpc.Message) {
	state := p.conn(m.Conn)
	if state == nil {
		return
	}
	switch m.Method {
	case mulberryspool.MethodHello:
		var params mulberryspool.HelloParams
		if p.decode(m, &params) {
			state.identity = params.Identity
			p.heard(m.Conn, params.Revision)
			p.send(m, mulberryspool.HelloResult{Identity: p.Identity, Status: p.heartbeat()})
		}
	case mulberryspool.MethodHeartbeat:
		var params mulberryspool.HeartbeatParams
		if p.decode(m, &params) {
			p.heard(m.Conn, params.Revision)
			p.send(m, p.heartbeat())
		}
	case mulberryspool.MethodStart:
		var params mulberryspool.StartParams
		if p.decode(m, &params) {
			p.stepGate(gate.Start{Conn: state.id, Call: p.call(m), Params: params})
		}
	case mulberryspool.MethodResolve:
		var params mulberryspool.ResolveParams
		if p.decode(m, &params) {
			p.stepGate(gate.Resolve{Conn: state.id, Call: p.call(m), Params: params})
		}
	case mulberryspool.MethodCancel:
		var params mulberryspool.CancelParams
		if p.decode(m, &params) {
			p.stepGate(gate.Cancel{ID: params.RequestID})
			p.send(m, struct{}{})
		}
	default:
		p.otherMessage(m)
	}
}

func (p *Process) otherMessage(m rpc.Message) {
	switch m.Method {
	case mulberryspool.MethodTablesFetch:
		var params mulberryspool.TablesFetchParams
		if p.decode(m, &params) {
			// The zero document says that there is nothing above the revision.
			document, _ := p.Tables.Document(params.Above)
			p.send(m, document)
		}
	case mulberryspool.MethodManifestFetch:
		var params mulberryspool.ManifestFetchParams
		if p.decode(m, &params) {
			p.send(m, p.rollout.Manifest(params.Version))
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
		p.send(m, p.Stager.Have(params))
	default:
		_ = m.ReplyError(jsonrpc2.CodeMethodNotFound, "unknown method "+m.Method)
	}
}

// conn returns the state of a connection, or nil if it has ended.
func (p *Process) conn(c *rpc.Conn) *connState {
	if state, ok := p.conns[c]; ok {
		return state
	}
	select {
	case <-c.Done():
		// Its end may have been seen before; nothing would remove it again.
		return nil
	default:
	}
	p.nextConn++
	state := &connState{id: p.nextConn}
	p.conns[c] = state
	p.byID[state.id] = c
	return state
}

func (p *Process) connClosed(c *rpc.Conn) {
	state, ok := p.conns[c]
	if !ok {
		return
	}
	delete(p.conns, c)
	delete(p.byID, state.id)
	for id, m := range p.calls {
		if m.Conn == c {
			delete(p.calls, id)
		}
	}
	p.stepGate(gate.ConnClosed{Conn: state.id})
}

// call keeps a message until its reply.
func (p *Process) call(m rpc.Message) gate.CallID {
	p.nextCall++
	p.calls[p.nextCall] = m
	return p.nextCall
}

func (p *Process) decode(m rpc.Message, params any) bool {
	err := m.Decode(params)
	if err == nil {
		return true
	}
	p.Logger.Warn().Err(err).Str("peer", m.Conn.Peer()).Msg("message not understood")
	_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
	return false
}

func (p *Process) send(m rpc.Message, result any) {
	if err := m.Reply(result); err != nil {
		p.Logger.Debug().Err(err).Str("peer", m.Conn.Peer()).Msg("reply not sent")
	}
}

// heard tells the tables source of a peer's revision.
func (p *Process) heard(c *rpc.Conn, revision mulberryspool.Revision) {
	above := mulberryspool.Revision(0)
	if view, ok := p.Tables.Current(); ok {
		above = view.Revision
	}
	if revision <= above {
		return
	}
	p.Tables.Heard(revision, func(ctx context.Context) (mulberryspool.TablesDocument, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var document mulberryspool.TablesDocument
		err := c.Call(ctx, mulberryspool.MethodTablesFetch, mulberryspool.TablesFetchParams{Above: above}, &document)
		return document, err
	})
}
