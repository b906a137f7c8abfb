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

// writeGrace is the time after a request's deadline in which its answer may still be
// written.
const writeGrace = 5 * time.Second

// answer takes a request from policy to charge and answers it. If err is not nil,
// reading the request failed, and answer only refuses it.
func (g *Gate) answer(w http.ResponseWriter, r *http.Request, req *request, err error) {
	if err == nil {
		timeout := req.asked.options.timeout
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		setWriteDeadline(w, req.asked.began.Add(timeout+writeGrace))
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
		g.refuse(w, req.asked.id, err)
	}
}

// process asks the policies, makes room for the charge, reserves the tokens, sends
// the request and settles what it cost. It is called once a request was read.
func (g *Gate) process(ctx context.Context, req *request) error {
	if req.decided.once && !req.asked.hasID {
		return granitehoist.Errorf(granitehoist.BadHeader, "a request not to be repeated needs a %s of the caller's", HeaderRequest)
	}
	priority, err := g.settings.View().Decide(g.policyRequest(req))
	if err != nil {
		return err
	}
	req.decided.priority = priority
	if req.decided.call.Body, err = req.asked.writeBody(priority); err != nil {
		return granitehoist.Wrap(granitehoist.BadRequest, err, "")
	}
	if err := g.checkSuspicion(req); err != nil {
		return err
	}
	if !g.settings.Ledger.ReserveRoom() {
		return granitehoist.Errorf(granitehoist.BillsFull, "")
	}
	s := &spend{gate: g, request: req}
	if err := s.reserve(ctx); err != nil {
		g.settings.Ledger.ReleaseRoom()
		return err
	}
	err = g.execute(ctx, req, s)
	s.finish()
	return err
}

// policyRequest returns what the policies decide upon.
func (g *Gate) policyRequest(req *request) policy.Request {
	return policy.Request{
		Workspace:  req.asked.identity.Workspace,
		Service:    req.asked.offer.Name,
		Model:      req.asked.model,
		Partner:    req.asked.identity.Partner,
		Owner:      req.asked.offer.Owner,
		Zone:       g.settings.Zone,
		Priority:   req.asked.options.priority,
		PromptSize: req.asked.bodyBytes,
		MaxOutput:  req.asked.maxOutput,
		Budget:     req.decided.budget.Name(),
		Time:       req.asked.began,
	}
}

// execute sends the request, one attempt after the other, until one serves it
// or no other may follow.
func (g *Gate) execute(ctx context.Context, req *request, s *spend) error {
	want := route.Want{
		Service:  req.asked.offer.Name,
		Targets:  g.targets.ofOffer(g.settings.View(), req.asked.offer),
		Affinity: req.decided.affinity,
		Priority: req.decided.priority,
		Tried:    map[granitehoist.Upstream]bool{},
	}
	g.retries.Earn(g.settings.Clock())
	var binding *once.Binding
	var uncertain error
	for attempt := 1; ; attempt++ {
		if err := g.checkSuspicion(req); err != nil {
			return g.release(ctx, binding, overallError(uncertain, err))
		}
		slot, err := g.settings.Table.Acquire(ctx, want, g.settings.Clock())
		if err != nil {
			return g.release(ctx, binding, overallError(uncertain, err))
		}
		id := granitehoist.NewAttemptID(g.settings.Incarnation, g.attempts.Add(1), req.decided.budget, req.asked.id)
		if req.decided.once && binding == nil {
			binding, err = g.bind(ctx, req, id)
			if err != nil {
				slot.Done(route.Unclear, g.settings.Clock())
				return err
			}
		}
		err = g.send(ctx, req, s, slot, id)
		if err == nil {
			g.finishBinding(ctx, req, binding)
			return nil
		}
		err = overallError(uncertain, err)
		if granitehoist.CodeOf(err).Info().Fate != granitehoist.NotRun {
			uncertain = err
		}
		if !g.mayRetry(ctx, req, s, err, attempt) {
			return g.release(ctx, binding, err)
		}
		want.Tried[slot.Upstream] = true
	}
}

// send makes one attempt and settles what it cost.
func (g *Gate) send(ctx context.Context, req *request, s *spend, slot *route.Slot, id granitehoist.AttemptID) error {
	u, err := g.upstreamOf(req, slot.Upstream)
	if err != nil {
		slot.Done(route.Unclear, g.settings.Clock())
		return err
	}
	call := req.decided.call
	call.Attempt = id
	call.Address = u.Address
	protocol := g.settings.Protocols[req.asked.offer.Kind]
	usage, err := protocol.Do(ctx, call, req.sink)
	g.noteEvidence(ctx, req, u, err)
	now := g.settings.Clock()
	if asked := restAsked(err); asked > 0 {
		slot.Rest(asked, now)
	}
	slot.Done(upstreamResult(err, ctx.Err() != nil), now)
	s.attemptEnded(id, u, usage, err)
	if err != nil {
		g.logAttempt(req, id, u.Name, err)
	}
	return err
}

// upstreamOf returns an upstream that was chosen for a request. If the documents
// changed while the request waited for room, it may be one that the request's own
// offer lacks and that was added to the service since. Its error is NoUpstream, if
// it was removed again.
func (g *Gate) upstreamOf(req *request, name granitehoist.Upstream) (config.Upstream, error) {
	if u, ok := req.asked.offer.Upstream(name); ok {
		return u, nil
	}
	service := req.asked.offer.Name
	if offer, ok := g.settings.View().OfferOfService(req.asked.identity.Partner, service); ok {
		if u, ok := offer.Upstream(name); ok {
			return u, nil
		}
	}
	return config.Upstream{}, granitehoist.Errorf(granitehoist.NoUpstream, "service %s", service)
}

// mayRetry reports whether the request may be sent to another upstream, and
// takes what a further attempt costs: one retry of the router's budget of
// retries and a reservation. If the reservation fails the caller gets the
// result of the attempt, since that is why its request did not succeed.
func (g *Gate) mayRetry(ctx context.Context, req *request, s *spend, err error, attempt int) bool {
	verdict := decideRetry(attemptState{
		made:          attempt,
		code:          granitehoist.CodeOf(err),
		repeatable:    req.decided.repeatable,
		answerStarted: req.sink.started,
		ended:         ctx.Err() != nil,
	})
	if verdict != retryAllowed || !g.retries.Take(g.settings.Clock()) {
		return false
	}
	return s.reserve(ctx) == nil
}
