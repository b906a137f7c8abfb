// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/once"
	"granitehoist.example/granitehoist/partner/policy"
	"granitehoist.example/granitehoist/partner/report"
	"granitehoist.example/granitehoist/partner/route"
	"granitehoist.example/granitehoist/partner/upstream"
)

// request is a caller's request on its way.
type request struct {
	id granitehoist.RequestID
	// callersID says that the caller chose the id.
	callersID bool
	identity  config.Identity
	offer     *config.Offer
	wishes    wishes
	model     granitehoist.Model
	budget    granitehoist.BudgetID
	bound     granitehoist.Tokens
	output    granitehoist.Tokens
	size      int
	priority  granitehoist.Priority
	affinity  uint64
	// repeatable says that the request may be sent again after an attempt that
	// may have run.
	repeatable bool
	// body returns the body for the upstream once the priority is known.
	body   func() ([]byte, error)
	call   granitehoist.Call
	sink   *sink
	began  time.Time
	sent   time.Time
	pieces int
	last   time.Time
	// counts is what the burn report takes of the request.
	counts report.Counts
}

// writeGrace is the time after a request's deadline in which its answer may
// still be written.
const writeGrace = 5 * time.Second

func (g *Gate) serveCompletion(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	if err == nil {
		err = g.readCompletion(w, r, req)
	}
	g.run(w, r, req, err)
}

func (g *Gate) servePlain(w http.ResponseWriter, r *http.Request) {
	req, err := g.begin(w, r)
	if err == nil {
		err = g.readPlain(w, r, req)
	}
	g.run(w, r, req, err)
}

// begin reads what all requests have: the id, the key and the headers.
func (g *Gate) begin(w http.ResponseWriter, r *http.Request) (*request, error) {
	req := &request{id: g.requestID(r), callersID: r.Header.Get(HeaderRequest) != "", began: g.settings.Clock()}
	req.sink = &sink{w: w, id: req.id, onPiece: func() { g.piece(req) }}
	if g.draining.Load() {
		return req, granitehoist.Errorf(granitehoist.Draining, "")
	}
	view := g.settings.View()
	if len(view.Serials()) == 0 {
		return req, granitehoist.Errorf(granitehoist.NotReady, "")
	}
	var err error
	if req.identity, err = identify(view, r); err != nil {
		return req, err
	}
	if req.wishes, err = g.readWishes(r); err != nil {
		return req, err
	}
	name := req.wishes.budget
	if name == "" {
		name = req.identity.Budget
	}
	req.budget = granitehoist.NewBudgetID(req.identity.Partner, req.identity.Workspace, name)
	if _, ok := view.Prepaid(req.budget); !ok {
		return req, granitehoist.Errorf(granitehoist.BudgetUnknown, "budget %q", name)
	}
	return req, nil
}

func (g *Gate) readCompletion(w http.ResponseWriter, r *http.Request, req *request) error {
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	c, err := parseCompletion(body)
	if err != nil {
		return err
	}
	offer, ok := g.settings.View().OfferFor(req.identity.Partner, c.model)
	if !ok {
		return granitehoist.Errorf(granitehoist.UnknownModel, "model %q", c.model)
	}
	if (r.URL.Path == pathChat) != (c.messages > 0) {
		return granitehoist.Errorf(granitehoist.BadRequest, "%s takes \"messages\" and %s takes \"prompt\"", pathChat, pathCompletions)
	}
	req.offer, req.model = offer, c.model
	req.bound = c.bound(offer.Service)
	req.output = c.choices * c.maxOutput(offer.Service)
	req.size = c.size
	req.affinity = route.Prefix(c.prompt)
	req.repeatable = !req.wishes.once
	req.sink.stream = c.stream
	req.body = func() ([]byte, error) { return c.forward(offer.Service, req.priority) }
	req.call = granitehoist.Call{
		Method:    http.MethodPost,
		Path:      r.URL.Path,
		Header:    http.Header{"Content-Type": {"application/json"}},
		Stream:    c.stream,
		HideUsage: c.stream && !c.usage,
		Once:      req.wishes.once,
	}
	return nil
}

func (g *Gate) readPlain(w http.ResponseWriter, r *http.Request, req *request) error {
	name := granitehoist.Service(r.PathValue("service"))
	offer, ok := g.settings.View().OfferOf(req.identity.Partner, name)
	if !ok || offer.Kind != config.KindPlain {
		return granitehoist.Errorf(granitehoist.UnknownService, "service %q", name)
	}
	body, err := g.readBody(w, r)
	if err != nil {
		return err
	}
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Method == http.MethodOptions
	req.wishes.once = req.wishes.once || (offer.Once && !safe)
	req.offer = offer
	req.bound = offer.Price
	req.size = len(body)
	req.repeatable = safe && !req.wishes.once
	req.body = func() ([]byte, error) { return body, nil }
	path := "/" + r.PathValue("path")
	if escaped := r.URL.EscapedPath(); len(escaped) > len(pathServices) {
		path = escaped[len(pathServices)+len(name):]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	req.call = granitehoist.Call{
		Method: r.Method,
		Path:   path,
		Header: upstream.CopyHeader(r.Header, "Authorization", "Content-Length", "Host", HeaderRequest, HeaderPriority, HeaderDeadline, HeaderOnce, HeaderBudget),
		Once:   req.wishes.once,
	}
	return nil
}

// run takes a request from policy to charge, and answers it.
func (g *Gate) run(w http.ResponseWriter, r *http.Request, req *request, err error) {
	if err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), req.wishes.deadline)
		defer cancel()
		// A caller that does not read its answer is not waited for longer. A
		// writer that can't set deadlines is one of a test.
		_ = http.NewResponseController(w).SetWriteDeadline(req.began.Add(req.wishes.deadline + writeGrace))
		err = g.admit(ctx, req)
	}
	if r.Context().Err() != nil && err != nil && granitehoist.CodeOf(err).Info().Fate != granitehoist.NotRun {
		err = granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	g.log(req, err)
	g.report(req, err)
	switch {
	case err == nil:
		g.count(granitehoist.Served)
	case req.sink.started:
		g.count(granitehoist.CodeOf(err))
		req.sink.breakOff(asError(err))
	default:
		g.refuse(w, req.id, err)
	}
}

// admit asks the policies and makes room for the charge and the tokens.
func (g *Gate) admit(ctx context.Context, req *request) error {
	if req.wishes.once && !req.callersID {
		return granitehoist.Errorf(granitehoist.BadHeader, "a request not to be repeated needs a %s of the caller's", HeaderRequest)
	}
	priority, err := g.settings.View().Decide(policy.Request{
		Workspace:  req.identity.Workspace,
		Service:    req.offer.Name,
		Model:      req.model,
		Partner:    req.identity.Partner,
		Owner:      req.offer.Owner,
		Zone:       g.settings.Zone,
		Priority:   req.wishes.priority,
		PromptSize: req.size,
		MaxOutput:  req.output,
		Budget:     req.budget.Name(),
		Time:       req.began,
	})
	if err != nil {
		return err
	}
	req.priority = priority
	if req.call.Body, err = req.body(); err != nil {
		return granitehoist.Wrap(granitehoist.BadRequest, err, "")
	}
	if !g.settings.Ledger.Open() {
		e := granitehoist.Errorf(granitehoist.BillsFull, "")
		e.RetryAfter = 10 * time.Second
		return e
	}
	s := &spend{gate: g, request: req}
	if err := s.reserve(ctx); err != nil {
		g.settings.Ledger.Drop()
		return err
	}
	err = g.execute(ctx, req, s)
	s.finish()
	return err
}

// execute sends the request until an attempt ends it.
func (g *Gate) execute(ctx context.Context, req *request, s *spend) error {
	want := route.Want{
		Service:  req.offer.Name,
		Targets:  g.prepared.targets(g.settings.View(), req.offer),
		Affinity: req.affinity,
		Priority: req.priority,
		Tried:    map[granitehoist.Upstream]bool{},
	}
	g.retries.Earn(g.settings.Clock())
	var binding *once.Binding
	var doubt error
	for attempt := 1; ; attempt++ {
		slot, err := g.settings.Table.Acquire(ctx, want, g.settings.Clock())
		if err != nil {
			return g.release(ctx, binding, truthful(doubt, err))
		}
		id := granitehoist.NewAttemptID(g.settings.Incarnation, g.attempts.Add(1), req.budget, req.id)
		if req.wishes.once && binding == nil {
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
		err = truthful(doubt, err)
		if granitehoist.CodeOf(err).Info().Fate != granitehoist.NotRun {
			doubt = err
		}
		if !g.mayRetry(ctx, req, s, err, attempt) {
			return g.release(ctx, binding, err)
		}
		want.Tried[slot.Upstream] = true
	}
}

func (g *Gate) bind(ctx context.Context, req *request, id granitehoist.AttemptID) (*once.Binding, error) {
	subject := once.Subject{Partner: req.identity.Partner, Workspace: req.identity.Workspace, Request: req.id}
	return g.settings.Once.Bind(ctx, subject, id, g.settings.Clock())
}

// truthful returns what the caller is to be told of the last error: after an
// attempt that may have run, a later one that did not run changes nothing.
func truthful(doubt, last error) error {
	if doubt != nil && granitehoist.CodeOf(last).Info().Fate == granitehoist.NotRun {
		return doubt
	}
	return last
}

const bindingTimeout = 2 * time.Second

// finishBinding records that a request not to be repeated has been answered.
func (g *Gate) finishBinding(ctx context.Context, req *request, b *once.Binding) {
	if b == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bindingTimeout)
	defer cancel()
	if err := b.Finish(ctx, req.sink.status, g.settings.Clock()); err != nil {
		g.settings.Log.Warn("once_record", zap.String("request", string(req.id)), zap.Error(err))
	}
}

// release frees a binding whose request did not run, so that the caller may
// try again, and returns err.
func (g *Gate) release(ctx context.Context, b *once.Binding, err error) error {
	if b == nil || granitehoist.CodeOf(err).Info().Fate != granitehoist.NotRun {
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bindingTimeout)
	defer cancel()
	if failed := b.Release(ctx, g.settings.Clock()); failed != nil {
		g.settings.Log.Warn("once_release", zap.Error(failed))
	}
	return err
}

// send makes one attempt and settles what it cost.
func (g *Gate) send(ctx context.Context, req *request, s *spend, slot *route.Slot, id granitehoist.AttemptID) error {
	u := upstreamOf(req.offer, slot.Upstream)
	call := req.call
	call.Attempt = id
	call.Address = u.Address
	protocol := g.settings.Protocols[req.offer.Kind]
	req.sent = g.settings.Clock()
	usage, err := protocol.Do(ctx, call, req.sink)
	slot.Done(resultOf(ctx, err), g.settings.Clock())
	s.attempted(id, u, usage, err)
	if err != nil {
		g.settings.Log.Info("attempt", zap.String("request", string(req.id)), zap.String("attempt", string(id)), zap.String("upstream", string(u.Name)), zap.Int("code", int(granitehoist.CodeOf(err))), zap.Error(err))
	}
	return err
}

func upstreamOf(offer *config.Offer, name granitehoist.Upstream) config.Upstream {
	u, ok := offer.Upstream(name)
	if !ok {
		panic("gate: an upstream was chosen that the service does not have")
	}
	return u
}

// resultOf tells what an attempt says of its upstream.
func resultOf(ctx context.Context, err error) route.Result {
	switch {
	case err == nil, granitehoist.CodeOf(err) == granitehoist.BadRequest:
		return route.Good
	case ctx.Err() != nil, granitehoist.CodeOf(err) == granitehoist.CallerGone:
		return route.Unclear
	}
	return route.Bad
}

const maxAttempts = 3

// mayRetry reports whether the request may be sent to another upstream. An
// attempt that may have run is followed by another only if the request may be
// repeated, nothing of its answer was passed on and the budget pays again.
func (g *Gate) mayRetry(ctx context.Context, req *request, s *spend, err error, attempt int) bool {
	if attempt >= maxAttempts || req.sink.started || ctx.Err() != nil || granitehoist.CodeOf(err) == granitehoist.BadRequest {
		return false
	}
	notRun := granitehoist.CodeOf(err).Info().Fate == granitehoist.NotRun
	if !notRun && !req.repeatable {
		return false
	}
	if !g.retries.Take(g.settings.Clock()) {
		return false
	}
	return s.reserve(ctx) == nil
}

// piece notes the time of a piece of an answer.
func (g *Gate) piece(req *request) {
	now := g.settings.Clock()
	if req.pieces == 0 {
		g.timer("first_token", now.Sub(req.began))
		req.counts.First++
		if now.Sub(req.began) > report.FirstTokenLevel {
			req.counts.SlowFirst++
		}
	} else if req.sink.stream {
		g.timer("between_tokens", now.Sub(req.last))
		req.counts.Between++
		if now.Sub(req.last) > report.BetweenLevel {
			req.counts.SlowBetween++
		}
	}
	req.pieces++
	req.last = now
}

// report enters a request into the burn report. One that did not name a
// service, or that nobody could serve as it was, is not entered.
func (g *Gate) report(req *request, err error) {
	if g.settings.Burn == nil || req.offer == nil {
		return
	}
	counts := report.CountsOf(granitehoist.CodeOf(err))
	counts.First, counts.SlowFirst = req.counts.First, req.counts.SlowFirst
	counts.Between, counts.SlowBetween = req.counts.Between, req.counts.SlowBetween
	key := report.Key{Service: req.offer.Name, Workspace: req.identity.Workspace, Zone: g.settings.Zone}
	g.settings.Burn.Add(key, counts, g.settings.Clock())
}

func (g *Gate) log(req *request, err error) {
	fields := []zap.Field{
		zap.String("request", string(req.id)),
		zap.String("workspace", string(req.identity.Partner)+"/"+string(req.identity.Workspace)),
		zap.Int("code", int(granitehoist.CodeOf(err))),
		zap.String("fate", string(granitehoist.CodeOf(err).Info().Fate)),
		zap.Duration("took", g.settings.Clock().Sub(req.began)),
	}
	if req.offer != nil {
		fields = append(fields, zap.String("service", string(req.offer.Name)))
	}
	var e *granitehoist.Error
	if errors.As(err, &e) {
		fields = append(fields, zap.String("detail", e.Error()))
	}
	g.settings.Log.Info("request", fields...)
}
