package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
	"godwitmount/internal/control"
	"godwitmount/internal/event"
)

// hopHandler handles the messages of peers that connected to this daemon.
type hopHandler struct{ d *Daemon }

// Execute implements hop.Handler.
func (h hopHandler) Execute(ctx context.Context, request *hopv1.Request) *hopv1.Frame {
	return h.d.proxy.ExecuteFor(ctx, request)
}

// RefuseTransfer implements hop.Handler.
func (h hopHandler) RefuseTransfer(instance string, bytes int, excess time.Duration) *hopv1.Frame {
	return h.d.proxy.RefuseTransfer(instance, bytes, excess)
}

// Config implements hop.Handler. The answer is empty while no configuration is
// in force.
func (h hopHandler) Config() *hopv1.ConfigAnswer {
	t := h.d.proxy.ActiveTable()
	if t == nil {
		return &hopv1.ConfigAnswer{}
	}
	return &hopv1.ConfigAnswer{Version: t.Version, Packed: t.Packed}
}

// State implements hop.Handler.
func (h hopHandler) State() *hopv1.State { return h.d.pingState() }

// HelloState implements hop.Handler.
func (h hopHandler) HelloState() *hopv1.State {
	return h.d.rollouts.addTo(h.d.proxy.State(), true)
}

// RolloutReportReceived implements hop.Handler.
func (h hopHandler) RolloutReportReceived(instance string, report *hopv1.RolloutReport) {
	h.d.rollouts.reportReceived(instance, report)
}

// Quota implements hop.Handler.
func (h hopHandler) Quota(ctx context.Context, instance string, request *hopv1.QuotaRequest) *hopv1.QuotaReply {
	return h.d.proxy.AnswerQuota(ctx, instance, request)
}

// DrainRecord implements hop.Handler.
func (h hopHandler) DrainRecord(instance string) *hopv1.Left { return h.d.peers.DrainRecord(instance) }

// Disconnected implements hop.Handler.
func (h hopHandler) Disconnected(instance string, running int, cause error) {
	h.d.log.Event(event.PeerDisconnected, zap.String("peer", instance), zap.Int("running", running), zap.Error(cause))
}

// Resumed implements hop.Handler. It checks this daemon's own connections, which may have
// been lost with the peer's.
func (h hopHandler) Resumed(instance string, running, cancelled int) {
	h.d.peers.Check("")
	h.d.log.Event(event.SessionMoved, zap.String("peer", instance), zap.Int("running", running), zap.Int("cancelled", cancelled))
}

// Panicked implements hop.Handler.
func (h hopHandler) Panicked(cause any) {
	h.d.log.Warn(event.RequestPanicked, zap.Any("cause", cause), zap.ByteString("stack", debug.Stack()))
}

// HelloReceived implements hop.Handler.
func (h hopHandler) HelloReceived(hello *hopv1.Hello) {
	h.d.upstreamWasDraining(hello.GetLeft())
	h.d.loop.post(control.PeerHandshake{Member: control.Member{
		Instance:   hello.GetInstance(),
		DataCentre: hello.GetDataCentre(),
		Address:    hello.GetAddress(),
		Service:    hello.GetService(),
	}})
	h.StateReceived(hello.GetInstance(), hello.GetState())
}

// StateReceived implements hop.Handler.
func (h hopHandler) StateReceived(instance string, state *hopv1.State) {
	// A daemon that this one does not connect to may know of a rollout first.
	h.d.rollouts.peerState(instance, state)
	if len(state.GetSuspects()) > 0 {
		// Also those of daemons that this one does not connect to.
		h.d.proxy.MergeSuspects(state.GetSuspects())
	}
	h.d.peers.StateReceived(instance, state)
}
