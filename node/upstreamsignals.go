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
)

// Upstreams signal in their responses that they have a rate limit shared by all routers,
// that they are leaving, or that this router should back off. A node that observes a rate
// limit, a rejection limit or a departure pushes it to all neighbours (push.go), so that they learn of it
// without a request of their own. A request to back off is not pushed: it applies to this
// router only, and the other routers may continue to use the upstream.

// methodPushSignals is the method by which a node sends its observations to a neighbour.
// Older versions of the router read only the rate limits in them.
const methodPushSignals = "limits.push"

// upstreamSignals pushes the signals of upstreams that this node observed to the other
// nodes, and logs the changes of the table. It is safe for concurrent use.
type upstreamSignals struct {
	table *balance.Table
	peers *peers
	clock granitehoist.Clock
	log   *zap.Logger
	// pushWake wakes the goroutine of runPush. It has a capacity of one.
	pushWake chan struct{}
	pusher   *pusher[balance.Updates]
	// limitLog, backoffLog and rejectionLog limit the log lines on upstreams that change
	// often.
	limitLog, backoffLog, rejectionLog logLimiter
}

// newUpstreamSignals returns upstreamSignals without any observation. connect must be
// called before use.
func newUpstreamSignals(n *Node) *upstreamSignals {
	return &upstreamSignals{clock: n.clock, log: n.log, pushWake: make(chan struct{}, 1)}
}

// connect sets the table and the neighbours. The table is created after the signals,
// since it calls them on changes.
func (s *upstreamSignals) connect(t *balance.Table, p *peers) {
	s.table, s.peers = t, p
	s.pusher = &pusher[balance.Updates]{peers: p, clock: s.clock, method: methodPushSignals, changesAfter: s.observedAfter}
}

// observedAfter returns this node's own observations after a version of its table.
func (s *upstreamSignals) observedAfter(version uint64) (balance.Updates, bool, uint64) {
	signals, reached := s.table.UpdatesSince(version, s.clock())
	return signals, signals.HasAny(), reached
}

// onLimitChange handles a rate limit that started, changed or ended.
func (s *upstreamSignals) onLimitChange(c balance.LimitChange) {
	if c.Observed {
		wake(s.pushWake)
	}
	if !s.limitLog.allow(c.ID, s.clock()) {
		return
	}
	s.log.Info(event.UpstreamLimit,
		zap.String("upstream", string(c.ID)),
		zap.String("service", string(c.Service)),
		zap.Bool("limited", c.Limited),
		zap.Float64("limit", float64(c.Rate)),
		zap.Bool("observed", c.Observed))
}

// onLeaving handles an upstream that is leaving. It is called once per incarnation of the
// upstream; the change of its entry in the store may come much later, or never.
func (s *upstreamSignals) onLeaving(e balance.LeavingEvent) {
	if e.Observed {
		wake(s.pushWake)
	}
	s.log.Info(event.UpstreamLeaving,
		zap.String("upstream", string(e.ID)),
		zap.String("service", string(e.Service)),
		zap.Bool("observed", e.Observed))
}

// onRejections handles an upstream that stated another rejection limit or began to reject
// requests.
func (s *upstreamSignals) onRejections(e balance.RejectionEvent) {
	if e.Limit > 0 {
		wake(s.pushWake)
	}
	if !e.Changed || !s.rejectionLog.allow(e.ID, s.clock()) {
		return
	}
	s.log.Info(event.RejectionLimit,
		zap.String("upstream", string(e.ID)),
		zap.String("service", string(e.Service)),
		zap.Int("limit", e.Limit))
}

// onBackoff handles an upstream that asked this node to back off.
func (s *upstreamSignals) onBackoff(e balance.BackoffEvent) {
	if !s.backoffLog.allow(e.ID, s.clock()) {
		return
	}
	s.log.Info(event.UpstreamBackoff,
		zap.String("upstream", string(e.ID)),
		zap.String("service", string(e.Service)),
		zap.Duration("asked", e.Requested),
		zap.Duration("left", e.Remaining))
}

// runPush pushes observations to the neighbours until ctx ends.
func (s *upstreamSignals) runPush(ctx context.Context) {
	for ctx.Err() == nil {
		waitForWake(ctx, s.pushWake)
		for ctx.Err() == nil {
			delay := s.pusher.pushAll(ctx, s.clock()).delay(s.peers.routers())
			if delay == 0 {
				break
			}
			pause.For(ctx, delay)
		}
	}
}

// servePush serves a neighbour's push.
func (s *upstreamSignals) servePush(_ context.Context, signals balance.Updates) (balance.Updates, error) {
	s.table.MergeUpdates(signals, s.clock())
	return balance.Updates{}, nil
}
