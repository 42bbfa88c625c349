package host

import (
	"context"

	"github.com/pollenwheel/pollenwheel/core/residency"
	"github.com/pollenwheel/pollenwheel/node/decision"
)

// sendOrder sends one order and records its result. The lease is checked again when
// the connection to the server is open, immediately before the order is sent.
func (p *placer) sendOrder(ctx context.Context, t *leaderTerm, o residency.Order) {
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	result := residency.NotSent
	if p.host.group.CheckLease() {
		result = p.serverClient.Order(ctx, o, p.host.group.CheckLease)
	}
	p.host.decisions.RecordStateChange(decision.EventOrder, orderFields(o, result))
	p.mu.Lock()
	t.planner.RecordResult(p.host.now(), o, result)
	p.mu.Unlock()
	p.triggerPlan()
}

// orderFields returns the fields of the decision log for an order.
func orderFields(o residency.Order, result residency.Result) decision.Fields {
	f := decision.Fields{
		decision.FieldServer: o.Server, decision.FieldModel: o.Model, decision.FieldAdapter: o.Adapter, decision.FieldFence: o.Fence,
		decision.FieldAction: orderAction(o), decision.FieldOrder: o.ExpectedOrders, decision.FieldOutcome: result.String(),
	}
	if w := o.Reason; w.LoadModel != "" {
		f[decision.FieldForModel], f[decision.FieldSource] = w.LoadModel, w.Source
		f[decision.FieldGain], f[decision.FieldLoss] = w.Gain, w.Loss
		f[decision.FieldOtherReplicas], f[decision.FieldWaiting] = w.OtherReplicas, w.Waiting
	}
	return f
}

// orderAction returns the action of an order in the decision log.
func orderAction(o residency.Order) string {
	if o.Load {
		return "load"
	}
	return "unload"
}

// requestServerReport requests one report of a server and records the report or the
// failure.
func (p *placer) requestServerReport(ctx context.Context, t *leaderTerm, q residency.Inquiry) {
	ctx, cancel := context.WithTimeout(ctx, serverCallTimeout)
	defer cancel()
	report, err := p.serverClient.Report(ctx, q)
	f := decision.Fields{decision.FieldServer: q.Server, decision.FieldOrder: report.AcceptedOrders, decision.FieldOutcome: "received"}
	if err != nil {
		f[decision.FieldOutcome] = err.Error()
	}
	p.host.decisions.RecordStateChange(decision.EventReport, f)
	p.mu.Lock()
	t.planner.RecordReport(p.host.now(), q, report, err == nil)
	p.mu.Unlock()
	p.triggerPlan()
}
