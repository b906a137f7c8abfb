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
