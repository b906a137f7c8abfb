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
	a := &activeRequest{path: p, sink: sink, asked: r}
	a.progress = progress{tried: map[granitehoist.Upstream]bool{}, lastEventID: r.LastEventID}
	err = a.run(ctx)
	if err != nil && ctx.Err() != nil {
		err = granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	a.end(err)
	return a.progress.started, err
}

// activeRequest is one request while a Path serves it. Only the goroutine that
// called Path.Serve uses it.
type activeRequest struct {
	path     *Path
	sink     granitehoist.Sink
	asked    *Request
	decided  decided
	progress progress
}

// decided is what was decided about a request before its first attempt. Fields
// that a refused request did not come to are zero.
type decided struct {
	// version is that of the configuration by which the request is served.
	version granitehoist.Version
	// keyed says that keys identify callers.
	keyed bool
	route *catalog.Route
	// workspace is nil for requests of routes that need no key.
	workspace *catalog.Workspace
	service   *catalog.Service
	priority  granitehoist.Priority
	// deadline is when the request's timeout ends.
	deadline time.Time
	// reserve is the most tokens that the request can cost, zero if it costs no
	// prepaid tokens.
	reserve granitehoist.Tokens
}

// progress is what has happened to a request so far.
type progress struct {
	// budget is the answer to the reservation; its zero value if none was
	// asked for. reserved says that it was granted and is to be settled.
	budget   escrow.Answer
	reserved bool
	// charged is how many tokens the request was charged at its end.
	charged granitehoist.Tokens
	// tried holds the instances that were sent the request.
	tried    map[granitehoist.Upstream]bool
	attempts int
	// runs counts the attempts that ran or may have run.
	runs int
	// started says that the head of an answer was passed on, at firstByteAt.
	started     bool
	firstByteAt time.Time
	// events counts the events passed on, lastEventID is the id of the last one
	// that the caller has.
	events      int64
	lastEventID int64
}

// run takes the request through its steps. The error is a *granitehoist.Error.
func (a *activeRequest) run(ctx context.Context) error {
	settings := &a.path.settings
	var refused refusal
	a.decided, refused = identify(settings.Catalog.Get(), a.asked, a.path.stopped.Load(), rand.Float64())
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	ctx, cancel := context.WithDeadline(ctx, a.decided.deadline)
	defer cancel()
	if err := a.pay(ctx); err != nil {
		return err
	}
	err := a.forward(ctx)
	a.settle(err)
	return err
}

// pay reserves the most that the request can cost.
func (a *activeRequest) pay(ctx context.Context) error {
	plan, refused := planReservation(a.decided.workspace, a.asked.Cost, a.decided.route.Target)
	a.decided.reserve = plan.bound
	if refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	if !plan.needed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, plan.wait)
	defer cancel()
	a.progress.budget = a.path.settings.Funds.Reserve(ctx, a.decided.workspace.Name, plan.bound, a.decided.priority)
	if refused := budgetRefusal(a.progress.budget.Outcome); refused != noRefusal {
		return refused.error(a.timeLeft())
	}
	a.progress.reserved = true
	return nil
}

// timeLeft returns the time until the request's timeout.
func (a *activeRequest) timeLeft() time.Duration {
	return a.decided.deadline.Sub(a.path.settings.Clock())
}

// settle ends the reservation.
func (a *activeRequest) settle(err error) {
	if !a.progress.reserved {
		return
	}
	a.progress.charged = settlement{
		cost:           *a.asked.Cost,
		tokensPerEvent: a.decided.service.TokensPerEvent,
		events:         a.progress.events,
		runs:           a.progress.runs,
		complete:       err == nil,
	}.charge()
	a.path.settings.Funds.Settle(a.decided.workspace.Name, a.decided.reserve, a.progress.charged)
}

// forward makes attempts until one ends the request.
func (a *activeRequest) forward(ctx context.Context) error {
	now := a.path.settings.Clock()
	a.path.retryBudgets.of(a.decided.service.Name).Earn(now)
	var doubt, last error
	for {
		lease, err := a.path.settings.Table.Pick(a.want(), a.path.settings.Clock())
		if err != nil && last != nil {
			return errorForCaller(doubt, last)
		}
		if err != nil {
			return withRetryAfter(err)
		}
		a.progress.tried[lease.ID] = true
		a.progress.attempts++
		sent := a.path.settings.Clock()
		ended := a.attempt(ctx, lease)
		ended.instanceResult = resultOf(ctx, ended)
		lease.Done(ended.instanceResult, a.path.settings.Clock())
		a.logAttempt(lease, ended, a.path.settings.Clock().Sub(sent))
		if ended.err == nil {
			return nil
		}
		if fateOf(ended.err) != granitehoist.NotRun {
			doubt = ended.err
			a.progress.runs++
		}
		last = ended.err
		if !a.mayRetry(ctx, ended) {
			return errorForCaller(doubt, ended.err)
		}
	}
}

func (a *activeRequest) want() balance.Query {
	want := balance.Query{Service: a.decided.service.Name, Tried: a.progress.tried}
	if a.asked.Cost == nil {
		return want
	}
	want.PromptTokens = a.asked.Cost.Prompt
	if a.decided.route.Affinity {
		want.PrefixHash = balance.PrefixHash(a.asked.PrefixParts)
		want.PrefixTokens = min(a.asked.PrefixTokens, want.PromptTokens)
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
func (a *activeRequest) mayRetry(ctx context.Context, e attemptResult) bool {
	if ctx.Err() != nil || e.final || a.progress.attempts >= maxAttempts {
		return false
	}
	now := a.path.settings.Clock()
	if a.decided.deadline.Sub(now) < minRetryTime {
		return false
	}
	if fateOf(e.err) != granitehoist.NotRun {
		if !a.decided.route.Repeatable() || a.progress.runs >= max(1, a.decided.route.MaxAttempts) {
			return false
		}
		if a.progress.started && !a.decided.route.Resume {
			return false
		}
	}
	if e.unsent {
		return true
	}
	return a.path.retryBudgets.of(a.decided.service.Name).Take(now)
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
func (a *activeRequest) end(err error) {
	now := a.path.settings.Clock()
	report := Report{Code: granitehoist.CodeOf(err), Attempts: a.progress.attempts, Budget: a.progress.budget.Outcome, Took: now.Sub(a.asked.Arrived)}
	if a.decided.service != nil {
		report.Service = a.decided.service.Name
	}
	if a.decided.workspace != nil {
		report.Workspace = a.decided.workspace.Name
	}
	if !a.progress.firstByteAt.IsZero() {
		report.First = a.progress.firstByteAt.Sub(a.asked.Arrived)
	}
	a.path.settings.Ended(report)
	a.logEnd(report, err)
}
