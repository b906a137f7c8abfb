// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"net/http"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/policy"
	"granitehoist.example/granitehoist/partner/route"
)

// writeGracePeriod is the time after the deadline of a request in which its response may
// still be written.
const writeGracePeriod = 5 * time.Second

// respond processes a request and sends the response. If err is not nil, the request could
// not be read and is refused.
func (g *Gate) respond(w http.ResponseWriter, r *http.Request, req *request, err error) {
	if err == nil {
		timeout := req.input.options.timeout
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		setWriteDeadline(w, req.input.startedAt.Add(timeout+writeGracePeriod))
		err = g.process(ctx, req)
	}
	err = finalError(err, r.Context().Err() != nil)
	g.logResult(req, err)
	g.reportBurn(req, err)
	switch {
	case err == nil:
		g.countResult(granitehoist.Served)
	case req.sink.started:
		g.countResult(granitehoist.CodeOf(err))
		req.sink.abort(asError(err))
	default:
		g.refuse(w, req.input.id, err)
	}
}

// process evaluates the policies, reserves a slot in the ledger of charges and the
// request's maximum cost, and sends the request, which must have been read. If an upstream
// has to be queried for the cost of an attempt, the cost is settled in the background
// after process has returned.
func (g *Gate) process(ctx context.Context, req *request) error {
	if req.plan.once && !req.input.hasID {
		return granitehoist.Errorf(granitehoist.BadHeader, "a request that is not to be repeated requires the header %s", HeaderRequest)
	}
	priority, err := g.settings.View().Decide(g.policyRequest(req))
	if err != nil {
		return err
	}
	req.plan.priority = priority
	if req.plan.call.Body, err = req.input.writeBody(priority); err != nil {
		return granitehoist.Wrap(granitehoist.BadRequest, err, "")
	}
	// Refuse the request before anything is reserved. execute repeats the check before each
	// attempt, since upstreams may crash in the meantime.
	if err := g.checkCrashHistory(req); err != nil {
		return err
	}
	if !g.settings.Ledger.ReserveSlot() {
		return granitehoist.Errorf(granitehoist.BillsFull, "")
	}
	cost := &costTracker{gate: g, request: req}
	if err := cost.reserve(ctx); err != nil {
		g.settings.Ledger.ReleaseSlot()
		return err
	}
	err = g.execute(ctx, req, cost)
	cost.finish()
	return err
}

// policyRequest returns the input of the policies.
func (g *Gate) policyRequest(req *request) policy.Request {
	return policy.Request{
		Workspace:  req.input.identity.Workspace,
		Service:    req.input.offer.Name,
		Model:      req.input.model,
		Partner:    req.input.identity.Partner,
		Owner:      req.input.offer.Owner,
		Zone:       g.settings.Zone,
		Priority:   req.input.options.priority,
		PromptSize: req.input.bodyBytes,
		MaxOutput:  req.input.maxOutput,
		Budget:     req.plan.budget.Name(),
		Time:       req.input.startedAt,
	}
}

// execute sends the request in successive attempts until one succeeds or no retry is
// allowed.
func (g *Gate) execute(ctx context.Context, req *request, cost *costTracker) error {
	want := route.Request{
		Service:  req.input.offer.Name,
		Targets:  g.targets.get(g.settings.View(), req.input.offer),
		Affinity: req.plan.affinity,
		Priority: req.plan.priority,
		Tried:    map[granitehoist.Upstream]bool{},
	}
	g.retries.Earn(g.settings.Clock())
	var binding *once.Binding
	var uncertain error
	for attempt := 1; ; attempt++ {
		// Since the last check, upstreams may have crashed under this request or under
		// a repetition of it.
		if err := g.checkCrashHistory(req); err != nil {
			return g.releaseBinding(ctx, binding, overallError(uncertain, err))
		}
		slot, err := g.settings.Table.Acquire(ctx, want, g.settings.Clock())
		if err != nil {
			return g.releaseBinding(ctx, binding, overallError(uncertain, err))
		}
		id := granitehoist.NewAttemptID(g.settings.Incarnation, g.attempts.Add(1), req.plan.budget, req.input.id)
		if req.plan.once && binding == nil {
			binding, err = g.bind(ctx, req, id)
			if err != nil {
				slot.Done(route.Inconclusive, g.settings.Clock())
				return err
			}
		}
		err = g.send(ctx, req, cost, slot, id)
		if err == nil {
			g.finishBinding(ctx, req, binding)
			return nil
		}
		err = overallError(uncertain, err)
		if granitehoist.CodeOf(err).Info().Execution != granitehoist.NotRun {
			uncertain = err
		}
		if !g.acquireRetry(ctx, req, cost, err, attempt) {
			return g.releaseBinding(ctx, binding, err)
		}
		want.Tried[slot.Upstream] = true
	}
}

// send makes one attempt and passes its outcome to cost. The cost of the attempt is settled
// at once, or later in the background if the upstream has to be queried.
func (g *Gate) send(ctx context.Context, req *request, cost *costTracker, slot *route.Slot, id granitehoist.AttemptID) error {
	u, err := g.findUpstream(req, slot.Upstream)
	if err != nil {
		slot.Done(route.Inconclusive, g.settings.Clock())
		return err
	}
	call := req.plan.call
	call.Attempt = id
	call.Address = u.Address
	protocol := g.settings.Protocols[req.input.offer.Kind]
	usage, err := protocol.Do(ctx, call, req.sink)
	g.recordCrashEvidence(ctx, req, u, err)
	now := g.settings.Clock()
	if backoff := requestedBackoff(err); backoff > 0 {
		slot.Backoff(backoff, now)
	}
	slot.Done(upstreamResult(err, ctx.Err() != nil), now)
	cost.attemptEnded(id, u, usage, err)
	if err != nil {
		g.logAttempt(req, id, u.Name, err)
	}
	return err
}

// findUpstream returns the upstream that was chosen for a request. If the documents changed
// while the request was queued, the request's offer may lack this upstream; findUpstream
// then looks it up in the current offer of the service. The error has code NoUpstream if
// both offers lack it.
func (g *Gate) findUpstream(req *request, name granitehoist.Upstream) (config.Upstream, error) {
	if u, ok := req.input.offer.Upstream(name); ok {
		return u, nil
	}
	service := req.input.offer.Name
	if offer, ok := g.settings.View().OfferByService(req.input.identity.Partner, service); ok {
		if u, ok := offer.Upstream(name); ok {
			return u, nil
		}
	}
	return config.Upstream{}, granitehoist.Errorf(granitehoist.NoUpstream, "service %s", service)
}

// acquireRetry reports whether the request may be sent to another upstream. If so, it has
// taken a retry from the retry budget and reserved the maximum cost of an attempt. The error
// of a failed reservation is dropped: the caller gets err, the reason why the last attempt
// failed.
func (g *Gate) acquireRetry(ctx context.Context, req *request, cost *costTracker, err error, attempt int) bool {
	decision := decideRetry(attemptState{
		attempts:        attempt,
		code:            granitehoist.CodeOf(err),
		repeatable:      req.plan.repeatable,
		responseStarted: req.sink.started,
		contextDone:     ctx.Err() != nil,
	})
	if decision != retryAllowed || !g.retries.Take(g.settings.Clock()) {
		return false
	}
	return cost.reserve(ctx) == nil
}
