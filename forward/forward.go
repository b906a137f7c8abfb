// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/internal/readlimit"
	"granitehoist.example/granitehoist/suspect"
)

// Budgets reserves and settles the prepaid tokens of workspaces. Implementations must be
// safe for concurrent use.
type Budgets interface {
	// Reserve reserves maxCost tokens of a workspace, waiting for them until ctx ends.
	Reserve(ctx context.Context, w granitehoist.Workspace, maxCost granitehoist.Tokens, priority granitehoist.Priority) escrow.Answer
	// Settle ends a granted reservation of maxCost tokens, of which used were spent, from
	// 0 to maxCost. It is called once per granted reservation.
	Settle(w granitehoist.Workspace, maxCost, used granitehoist.Tokens)
}

// Settings configure a Forwarder. Catalog, Budgets, Table, Pool and Codec are required.
type Settings struct {
	// Catalog holds the configuration in force.
	Catalog *catalog.Current
	Budgets Budgets
	// Table selects instances.
	Table *balance.Table
	// Pool sends requests to instances.
	Pool  *exchange.Pool
	Codec Codec
	// Suspects holds the records of requests that crash instances; nil means a table
	// without a secret, which recognizes no request.
	Suspects *suspect.Table
	// SuspectsReady is closed once Suspects has the records of the other routers; nil means
	// that it has them. Until then each request waits for a short time and is refused if
	// the records do not arrive meanwhile.
	SuspectsReady <-chan struct{}
	// Retry bounds the retries of the fleet. The zero value allows each router one retry
	// per service every 10 seconds.
	Retry RetrySettings
	// Routers returns the number of routers that share the retries; nil means one router.
	Routers func() int
	// Rollouts decides which releases attempts may use; nil admits all.
	Rollouts Rollouts
	// Origins knows which release began a stream; nil means that it knows the streams of
	// this Forwarder only.
	Origins Origins
	// Clock returns the current time; nil means time.Now.
	Clock granitehoist.Clock
	// Deadlines cancels requests whose deadline on Clock has passed; nil relies on timers
	// alone.
	Deadlines *boottime.Deadlines
	// Log receives one entry per attempt and per request; nil discards them.
	Log *zap.Logger
	// OnEnd, if set, receives a report of each request when it ends. It is called by the
	// goroutine that called Serve.
	OnEnd func(Report)
	// OnNotRun, if set, is called with the reason of each attempt that did not run, by the
	// goroutine that called Serve.
	OnNotRun func(NotRunReason)
	// OnCrossing, if set, receives the traffic of each attempt that left the router's zone
	// when the attempt ends, from the same goroutine.
	OnCrossing func(CrossedTraffic)
	// ReadMemory is the memory that the bodies of responses share; nil has no limit.
	ReadMemory *readlimit.Memory
	// OnExceeded, if set, is called with each response that exceeded a bound and its
	// instance, by the goroutine that called Serve.
	OnExceeded func(granitehoist.Upstream, *readlimit.Error)
}

// Report is the result of a request, for metrics.
type Report struct {
	// Service and Workspace are empty if the request was refused before they were
	// determined, Workspace also on routes that need no key.
	Service   granitehoist.Service
	Workspace granitehoist.Workspace
	// Code is Served if the response was relayed completely.
	Code granitehoist.Code
	// Attempts is the number of attempts, including those that did not run.
	Attempts int
	// Rejections is the number of attempts that the instance rejected.
	Rejections int
	// Budget is the outcome of the reservation; Granted if none was needed.
	Budget escrow.Outcome
	// Duration is the time from the arrival of the request to its end.
	Duration time.Duration
	// TimeToFirstByte is the time from the arrival to the response head; zero if none was
	// relayed.
	TimeToFirstByte time.Duration
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	settings     Settings
	retryBudgets *retryBudgets
	active       atomic.Int64
	stopped      atomic.Bool
}

// New returns a Forwarder. It panics if a required setting is missing.
func New(s Settings) *Forwarder {
	if s.Catalog == nil || s.Budgets == nil || s.Table == nil || s.Pool == nil || s.Codec == nil {
		panic("forward: Catalog, Budgets, Table, Pool and Codec are required")
	}
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Suspects == nil {
		s.Suspects = suspect.New(suspect.Settings{})
	}
	if s.Rollouts == nil {
		s.Rollouts = noRollouts{}
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Origins == nil {
		s.Origins = &localOrigins{clock: s.Clock}
	}
	if s.Deadlines == nil {
		s.Deadlines = &boottime.Deadlines{}
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.OnEnd == nil {
		s.OnEnd = func(Report) {}
	}
	if s.OnNotRun == nil {
		s.OnNotRun = func(NotRunReason) {}
	}
	if s.OnExceeded == nil {
		s.OnExceeded = func(granitehoist.Upstream, *readlimit.Error) {}
	}
	return &Forwarder{settings: s, retryBudgets: newRetryBudgets(s.Retry, s.Routers)}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// Stop makes the Forwarder refuse new requests permanently. Requests in progress
// continue.
func (f *Forwarder) Stop() { f.stopped.Store(true) }

// Abandon ends the requests in progress as if their deadlines had passed: callers that have no
// part of a response yet get an error, which says that the request may have run if it was sent.
// New requests are not affected, so that Stop should be called before.
func (f *Forwarder) Abandon() { f.settings.Deadlines.CancelAll() }

// Serve serves a request until it is complete or ctx ends; ctx must end when the caller
// disconnects. A nil error means that the response was written to the sink completely.
// Otherwise the error is a *granitehoist.Error, and started reports whether a part of a
// response was written, which the frontend must not present as complete. Serve does not
// use the sink after it has returned.
func (f *Forwarder) Serve(ctx context.Context, r *Request, sink granitehoist.Sink) (started bool, err error) {
	f.active.Add(1)
	defer f.active.Add(-1)
	a := &activeRequest{forwarder: f, sink: sink, request: r}
	a.progress = progress{tried: map[granitehoist.Upstream]bool{}, lastEventID: r.LastEventID}
	err = a.run(ctx)
	if err != nil && ctx.Err() != nil {
		err = granitehoist.Wrap(granitehoist.CallerGone, err, "")
	}
	a.end(err)
	return a.progress.started, err
}
