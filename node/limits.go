// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/throttle"
)

// An upstream in need names how many requests a second it takes from all routers together.
// The node that sees such a limit begin or end tells all others (push.go), so that none
// finds out by a request of its own: with 295 routers that would be 295 requests. From then
// on a node sends there only with a permit, which one node issues for all (permits.go).

// methodPushLimits is the method by which a node tells a neighbour of limits that it saw
// begin or end.
const methodPushLimits = "limits.push"

// limitNews is the message of a push. Its reply is empty.
type limitNews struct {
	Limits []balance.LimitRecord `json:"limits,omitempty"`
}

// limits keeps a node's limits of upstreams in step with those of the other nodes, and
// fetches the permits that its requests need. It is safe for concurrent use.
type limits struct {
	table    *balance.Table
	peers    *peers
	issuer   *throttle.Issuer
	clock    granitehoist.Clock
	log      *zap.Logger
	counters *counters
	// toPush wakes the goroutine of runPush. It holds one.
	toPush chan struct{}
	pusher *pusher[limitNews]
	// logged bounds the lines of upstreams whose limits change often.
	logged logPace
	// avoided holds the issuers that did not answer.
	avoided avoidedPeers
}

// newLimits returns a node's limits before any is known. They are used from connect on.
func newLimits(n *Node) *limits {
	now := n.clock()
	return &limits{
		clock: n.clock, log: n.log, counters: n.counters,
		issuer: throttle.NewIssuer(throttle.Settings{Started: now, Seed: uint64(now.UnixNano())}),
		toPush: make(chan struct{}, 1),
	}
}

// connect sets what the limits work with. The table is made after them, since it tells
// them of changes.
func (l *limits) connect(t *balance.Table, p *peers) {
	l.table, l.peers = t, p
	l.pusher = &pusher[limitNews]{peers: p, clock: l.clock, method: methodPushLimits, after: l.observedAfter}
}

// observedAfter returns the limits that this node saw begin or end after a version of its
// table.
func (l *limits) observedAfter(version uint64) (limitNews, bool, uint64) {
	records, upTo := l.table.LimitsAfter(version, l.clock())
	return limitNews{Limits: records}, len(records) > 0, upTo
}

// changed logs that a limit began, changed or ended, and wakes runPush.
func (l *limits) changed(c balance.LimitChange) {
	if c.Observed {
		wake(l.toPush)
	}
	if !l.logged.allows(c.ID, l.clock()) {
		return
	}
	l.log.Info(event.UpstreamLimit,
		zap.String("upstream", string(c.ID)),
		zap.String("service", string(c.Service)),
		zap.Bool("limited", c.Named),
		zap.Float64("limit", float64(c.Rate)),
		zap.Bool("observed", c.Observed))
}

// runPush tells the neighbours of limits until ctx ends.
func (l *limits) runPush(ctx context.Context) {
	for ctx.Err() == nil {
		waitFor(ctx, l.toPush)
		for ctx.Err() == nil {
			atLeast := l.pusher.pushAll(ctx, l.clock()).pause(l.peers.routers())
			if atLeast == 0 {
				break
			}
			pause.For(ctx, atLeast)
		}
	}
}

// servePush takes a neighbour's push.
func (l *limits) servePush(_ context.Context, news limitNews) (limitNews, error) {
	l.table.MergeLimits(news.Limits, l.clock())
	return limitNews{}, nil
}
