// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
)

// Funds pays for requests.
type Funds interface {
	// Reserve sets tokens of a workspace aside, waiting until ctx ends.
	Reserve(ctx context.Context, w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority) escrow.Answer
	// Settle ends a reservation with what was used.
	Settle(w granitehoist.Workspace, bound, used granitehoist.Tokens)
}

// Settings configure a Path.
type Settings struct {
	Catalog *catalog.Current
	Funds   Funds
	Table   *balance.Table
	Pool    *exchange.Pool
	Codec   Codec
	Retry   RetrySettings
	// Routers returns the number of routers that share the retries.
	Routers func() int
	Clock   granitehoist.Clock
	Log     *zap.Logger
	// Ended, if set, is told of each request as it ends.
	Ended func(Report)
}

// Report is what became of a request, for metrics.
type Report struct {
	Service   granitehoist.Service
	Workspace granitehoist.Workspace
	Code      granitehoist.Code
	Attempts  int
	// Budget is what the request for tokens was told; Granted where there was
	// none.
	Budget escrow.Outcome
	Took   time.Duration
	// First is the time to the beginning of the answer, zero if there was none.
	First time.Duration
}

// Path serves requests. It is safe for concurrent use.
type Path struct {
	settings     Settings
	retryBudgets *retryBudgets
	active       atomic.Int64
	stopped      atomic.Bool
}

// New returns a path. It panics if a part is missing.
func New(s Settings) *Path {
	if s.Catalog == nil || s.Funds == nil || s.Table == nil || s.Pool == nil || s.Codec == nil {
		panic("forward: a setting is missing")
	}
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Ended == nil {
		s.Ended = func(Report) {}
	}
	return &Path{settings: s, retryBudgets: newRetryBudgets(s.Retry, s.Routers)}
}

// Active returns the number of requests in progress.
func (p *Path) Active() int { return int(p.active.Load()) }

// Stop makes the path refuse new requests. Those in progress go on.
func (p *Path) Stop() { p.stopped.Store(true) }

// Serve serves a request. A nil error means that the answer was passed on whole
// to the sink. Otherwise the error is a *granitehoist.Error, and started tells
// whether a part of an answer was passed on, which then must not look complete.
func (p *Path) Serve(ctx context.Context, r *Request, sink granitehoist.Sink) (started bool, err error) {
	p.active.Add(1)
	defer p.active.Add(-1)
	w := &activeRequest{path: p, asked: r, sink: sink, tried: map[granitehoist.Upstream]bool{}}
	err = w.run(ctx)
	if err != nil && ctx.Err() != nil {
		err = granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	w.end(err)
	return w.started, err
}

// activeRequest is one request on its way.
type activeRequest struct {
	path  *Path
	asked *Request
	sink  granitehoist.Sink

	route     *catalog.Route
	workspace *catalog.Workspace
	version   granitehoist.Version
	keyed     bool
	service   *catalog.Service
	priority  granitehoist.Priority
	deadline  time.Time

	tried    map[granitehoist.Upstream]bool
	attempts int
	// runs counts the attempts that ran or may have run.
	runs         int
	eventsPassed int64
	// lastEventID is the id of the last event passed on.
	lastEventID int64
	started     bool
	firstByteAt time.Time
	// reserved is what was reserved at the most, charged what the request was charged.
	reserved, charged granitehoist.Tokens
	budgetAnswer      escrow.Answer
	paid              bool
}

func (w *activeRequest) run(ctx context.Context) error {
	if err := w.identify(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	if err := w.pay(ctx); err != nil {
		return err
	}
	err := w.forward(ctx)
	w.settle(err)
	return err
}

// identify finds the route, the workspace and the deadline.
func (w *activeRequest) identify() error {
	snapshot := w.path.settings.Catalog.Get()
	if snapshot == nil {
		return configurationMissing.error(0)
	}
	w.version = snapshot.Version
	w.keyed = snapshot.Keyed
	w.route = snapshot.Match(w.asked.Host, w.asked.Path)
	if w.route == nil {
		return routeUnknown.error(0)
	}
	if snapshot.Keyed && !w.route.Anonymous {
		if w.asked.Key == "" {
			return keyMissing.error(0)
		}
		if w.workspace = snapshot.ByKey(w.asked.Key); w.workspace == nil {
			return keyUnknown.error(0)
		}
	}
	if w.path.stopped.Load() {
		return routerStopping.error(0)
	}
	w.service = snapshot.Service(w.route.Pick(rand.Float64()))
	if w.service == nil {
		return serviceMissing.error(0)
	}
	w.priority = w.route.Priority
	if w.workspace != nil && w.workspace.HasPriority {
		w.priority = w.workspace.Priority
	}
	w.lastEventID = w.asked.LastEventID
	w.deadline = w.asked.Arrived.Add(timeoutOf(w.route.Timeout, w.asked.Timeout))
	return nil
}

// pay reserves the most that the request can cost.
func (w *activeRequest) pay(ctx context.Context) error {
	plan, refused := planReservation(w.workspace, w.asked.Cost, w.route.Target)
	w.reserved = plan.bound
	if refused != noRefusal {
		return refused.error(w.timeLeft())
	}
	if !plan.needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, plan.wait)
	defer cancel()
	w.budgetAnswer = w.path.settings.Funds.Reserve(ctx, w.workspace.Name, plan.bound, w.priority)
	if refused := budgetRefusal(w.budgetAnswer.Outcome); refused != noRefusal {
		return refused.error(w.timeLeft())
	}
	w.paid = true
	return nil
}

// timeLeft returns the time until the request's timeout.
func (w *activeRequest) timeLeft() time.Duration {
	return w.deadline.Sub(w.path.settings.Clock())
}

// settle ends the reservation.
func (w *activeRequest) settle(err error) {
	if !w.paid {
		return
	}
	w.charged = settlement{
		cost:           *w.asked.Cost,
		tokensPerEvent: w.service.TokensPerEvent,
		events:         w.eventsPassed,
		runs:           w.runs,
		complete:       err == nil,
	}.charge()
	w.path.settings.Funds.Settle(w.workspace.Name, w.reserved, w.charged)
}

// forward makes attempts until one ends the request.
func (w *activeRequest) forward(ctx context.Context) error {
	now := w.path.settings.Clock()
	w.path.retryBudgets.of(w.service.Name).Earn(now)
	var doubt, last error
	for {
		lease, err := w.path.settings.Table.Pick(w.want(), w.path.settings.Clock())
		if err != nil && last != nil {
			return errorForCaller(doubt, last)
		}
		if err != nil {
			return withRetryAfter(err)
		}
		w.tried[lease.ID] = true
		w.attempts++
		sent := w.path.settings.Clock()
		ended := w.attempt(ctx, lease)
		ended.instanceResult = resultOf(ctx, ended)
		lease.Done(ended.instanceResult, w.path.settings.Clock())
		w.logAttempt(lease, ended, w.path.settings.Clock().Sub(sent))
		if ended.err == nil {
			return nil
		}
		if fateOf(ended.err) != granitehoist.NotRun {
			doubt = ended.err
			w.runs++
		}
		last = ended.err
		if !w.mayRetry(ctx, ended) {
			return errorForCaller(doubt, ended.err)
		}
	}
}

func (w *activeRequest) want() balance.Query {
	want := balance.Query{Service: w.service.Name, Tried: w.tried}
	if w.asked.Cost == nil {
		return want
	}
	want.PromptTokens = w.asked.Cost.Prompt
	if w.route.Affinity {
		want.PrefixHash = balance.PrefixHash(w.asked.PrefixParts)
		want.PrefixTokens = min(w.asked.PrefixTokens, want.PromptTokens)
	}
	return want
}

// errorForCaller returns what the caller is told of the last error: after an attempt
// that may have run, a later one that did not run changes nothing.
func errorForCaller(doubt, last error) error {
	if doubt != nil && fateOf(last) == granitehoist.NotRun {
		return doubt
	}
	return last
}

func fateOf(err error) granitehoist.Fate { return granitehoist.CodeOf(err).Info().Fate }

// minRetryTime is the time below which another attempt is not worth making.
const minRetryTime = 20 * time.Millisecond

// maxAttempts bounds the sendings of one request, refused ones included.
const maxAttempts = 4

// mayRetry reports whether another attempt may be made. One that may have run is
// followed by another only if the request may run more than once and its route
// allows one more upstream.
func (w *activeRequest) mayRetry(ctx context.Context, e attemptResult) bool {
	if ctx.Err() != nil || e.final || w.attempts >= maxAttempts {
		return false
	}
	now := w.path.settings.Clock()
	if w.deadline.Sub(now) < minRetryTime {
		return false
	}
	if fateOf(e.err) != granitehoist.NotRun {
		if !w.route.Repeatable() || w.runs >= max(1, w.route.MaxAttempts) {
			return false
		}
		if w.started && !w.route.Resume {
			return false
		}
	}
	if e.unsent {
		return true
	}
	return w.path.retryBudgets.of(w.service.Name).Take(now)
}

// resultOf tells what an attempt says of its instance.
func resultOf(ctx context.Context, e attemptResult) balance.Result {
	switch {
	case e.moved:
		return balance.Moved
	case e.failed:
		return balance.Failed
	case e.err == nil:
		return balance.Good
	case ctx.Err() != nil, granitehoist.CodeOf(e.err) == granitehoist.CallerGone:
		return balance.Unclear
	case e.refused:
		return balance.Refused
	}
	return balance.Broken
}

// end logs and reports a request.
func (w *activeRequest) end(err error) {
	now := w.path.settings.Clock()
	report := Report{Code: granitehoist.CodeOf(err), Attempts: w.attempts, Budget: w.budgetAnswer.Outcome, Took: now.Sub(w.asked.Arrived)}
	if w.service != nil {
		report.Service = w.service.Name
	}
	if w.workspace != nil {
		report.Workspace = w.workspace.Name
	}
	if !w.firstByteAt.IsZero() {
		report.First = w.firstByteAt.Sub(w.asked.Arrived)
	}
	w.path.settings.Ended(report)
	w.logEnd(report, err)
}
