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
	"granitehoist.example/granitehoist/suspect"
)

// Funds pays for requests from the prepaid tokens of their workspaces. It is
// safe for concurrent use.
type Funds interface {
	// Reserve reserves bound tokens of a workspace. It waits for them until ctx ends.
	Reserve(ctx context.Context, w granitehoist.Workspace, bound granitehoist.Tokens, priority granitehoist.Priority) escrow.Answer
	// Settle ends a granted reservation of bound tokens, of which used were used.
	// It is called once for each, with used from 0 up to bound.
	Settle(w granitehoist.Workspace, bound, used granitehoist.Tokens)
}

// Settings configure a Forwarder. Catalog, Funds, Table, Pool and Codec are
// required.
type Settings struct {
	// Catalog holds the configuration in force.
	Catalog *catalog.Current
	Funds   Funds
	// Table chooses instances.
	Table *balance.Table
	// Pool sends requests to them.
	Pool  *exchange.Pool
	Codec Codec
	// Suspects holds the evidence against requests that crash instances; nil means a table
	// without a secret, which recognises no request.
	Suspects *suspect.Table
	// Evidence is closed once Suspects has what the other routers know; nil means that it
	// has. Until then a request waits, for a short time.
	Evidence <-chan struct{}
	// Retry bounds the retries of the fleet. Its zero value allows each router
	// one retry every 10 seconds for each service.
	Retry RetrySettings
	// Routers returns the number of routers that share the retries; nil stands
	// for a single router.
	Routers func() int
	// Clock returns the present time; nil means time.Now.
	Clock granitehoist.Clock
	// Deadlines ends requests whose time is over by Clock; nil means one that nobody
	// checks, so that only their timers end them.
	Deadlines *boottime.Deadlines
	// Log receives a line for each attempt and each request; nil drops them.
	Log *zap.Logger
	// Ended, if set, receives a report of each request when it ends. It is called
	// on the goroutine of the request.
	Ended func(Report)
}

// Report is the result of a request, for metrics.
type Report struct {
	// Service and Workspace are empty if the request was refused before they
	// were known, Workspace also on routes that need no key.
	Service   granitehoist.Service
	Workspace granitehoist.Workspace
	// Code is Served if the answer was passed on completely.
	Code granitehoist.Code
	// Attempts counts the attempts at upstreams, also those that did not run.
	Attempts int
	// Budget is the outcome of the reservation; Granted where there was none.
	Budget escrow.Outcome
	// Took is the time from the arrival of the request to its end.
	Took time.Duration
	// First is the time from the arrival to the head of the answer, zero if none
	// was passed on.
	First time.Duration
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	settings     Settings
	retryBudgets *retryBudgets
	active       atomic.Int64
	stopped      atomic.Bool
}

// New returns a Forwarder. It panics if a needed setting is missing.
func New(s Settings) *Forwarder {
	if s.Catalog == nil || s.Funds == nil || s.Table == nil || s.Pool == nil || s.Codec == nil {
		panic("forward: a setting is missing")
	}
	if s.Routers == nil {
		s.Routers = func() int { return 1 }
	}
	if s.Suspects == nil {
		s.Suspects = suspect.New(suspect.Settings{})
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Deadlines == nil {
		s.Deadlines = &boottime.Deadlines{}
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	if s.Ended == nil {
		s.Ended = func(Report) {}
	}
	return &Forwarder{settings: s, retryBudgets: newRetryBudgets(s.Retry, s.Routers)}
}

// Active returns the number of requests in progress.
func (f *Forwarder) Active() int { return int(f.active.Load()) }

// Stop makes the Forwarder refuse new requests for good. Those in progress go on.
func (f *Forwarder) Stop() { f.stopped.Store(true) }

// Serve serves a request until ctx ends, which is when the caller's connection
// closes. A nil error means that the answer was passed to the sink completely.
// Otherwise the error is a *granitehoist.Error, and started tells whether a part
// of an answer was passed on. The frontend must not let that part look complete.
// Serve uses the sink only until it returns.
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
