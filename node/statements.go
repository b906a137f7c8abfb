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

// Upstreams say something of themselves in their answers: that they take only so many
// requests a second of all routers together, that they are about to end, or that they want
// rest of this router. The node that first hears one of the first two tells all others at
// once (push.go), so that none finds out by a request of its own: with 295 routers that would
// be 295 requests. A rest is this node's alone: told to all, one router's refusal would take
// an upstream from everyone (TestBackoffStrategies of package balance).

// methodPushNews is the method by which a node tells a neighbour what it heard. Versions
// that know of limits only ignore the rest.
const methodPushNews = "limits.push"

// statements tells the other nodes what upstreams said to this one, and logs all that the
// table learns of them. It is safe for concurrent use.
type statements struct {
	table *balance.Table
	peers *peers
	clock granitehoist.Clock
	log   *zap.Logger
	// toPush wakes the goroutine of runPush. It holds one.
	toPush chan struct{}
	pusher *pusher[balance.News]
	// limitPace and restPace bound the lines on upstreams that change often.
	limitPace, restPace logPace
}

// newStatements returns the statements of a node's upstreams before any is heard. They are
// used from connect on.
func newStatements(n *Node) *statements {
	return &statements{clock: n.clock, log: n.log, toPush: make(chan struct{}, 1)}
}

// connect sets what the statements work with. The table is made after them, since it tells
// them what it learns.
func (s *statements) connect(t *balance.Table, p *peers) {
	s.table, s.peers = t, p
	s.pusher = &pusher[balance.News]{peers: p, clock: s.clock, method: methodPushNews, after: s.heardAfter}
}

// heardAfter returns what this node itself heard after a version of its table.
func (s *statements) heardAfter(version uint64) (balance.News, bool, uint64) {
	news, upTo := s.table.NewsAfter(version, s.clock())
	return news, news.Any(), upTo
}

// limitChanged takes that a limit began, changed or ended.
func (s *statements) limitChanged(c balance.LimitChange) {
	if c.Observed {
		wake(s.toPush)
	}
	if !s.limitPace.allows(c.ID, s.clock()) {
		return
	}
	s.log.Info(event.UpstreamLimit,
		zap.String("upstream", string(c.ID)),
		zap.String("service", string(c.Service)),
		zap.Bool("limited", c.Named),
		zap.Float64("limit", float64(c.Rate)),
		zap.Bool("observed", c.Observed))
}

// leavingNoted takes that an upstream was said to leave, once for each of its lives: the
// announcement that says so may come much later, or never.
func (s *statements) leavingNoted(note balance.LeavingNote) {
	if note.Observed {
		wake(s.toPush)
	}
	s.log.Info(event.UpstreamLeaving,
		zap.String("upstream", string(note.ID)),
		zap.String("service", string(note.Service)),
		zap.Bool("observed", note.Observed))
}

// restNoted takes that an upstream asked this node for rest.
func (s *statements) restNoted(note balance.RestNote) {
	if !s.restPace.allows(note.ID, s.clock()) {
		return
	}
	s.log.Info(event.UpstreamRests,
		zap.String("upstream", string(note.ID)),
		zap.String("service", string(note.Service)),
		zap.Duration("asked", note.Asked),
		zap.Duration("left", note.Left))
}

// runPush tells the neighbours what upstreams said until ctx ends.
func (s *statements) runPush(ctx context.Context) {
	for ctx.Err() == nil {
		waitFor(ctx, s.toPush)
		for ctx.Err() == nil {
			atLeast := s.pusher.pushAll(ctx, s.clock()).pause(s.peers.routers())
			if atLeast == 0 {
				break
			}
			pause.For(ctx, atLeast)
		}
	}
}

// servePush takes a neighbour's push.
func (s *statements) servePush(_ context.Context, news balance.News) (balance.News, error) {
	s.table.MergeNews(news, s.clock())
	return balance.News{}, nil
}
