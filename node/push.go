// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
)

const (
	// pushTimeout bounds one message, connecting included: neighbours of one site answer
	// in milliseconds.
	pushTimeout = 200 * time.Millisecond
	// maxPushes bounds the messages in progress.
	maxPushes = 32
	// pushPause times the number of nodes is the least time between two messages to one
	// neighbour, so that a node sends at most 500 messages a second however much there is
	// to push: 2.2 s at 1,100 nodes, below the 3 s in which all nodes have to know of a
	// crash.
	pushPause = 2 * time.Millisecond
	// minPushPause is the least such time in small fleets: far below the time in which
	// callers retry.
	minPushPause = 50 * time.Millisecond
	// pushRetry is the time until a failed push is retried: a node that was cut off has to
	// know within 3 s.
	pushRetry = 700 * time.Millisecond
)

// pusher sends every neighbour what this node has observed of one kind, until each has
// acknowledged it. News is the message. It is safe for concurrent use, but pushAll is
// called by one goroutine.
type pusher[News any] struct {
	peers  *peers
	clock  granitehoist.Clock
	method string
	// after returns what was observed after a version, whether there is anything, and the
	// version that it ends with.
	after func(version uint64) (News, bool, uint64)

	// mu guards pushed.
	mu     sync.Mutex
	pushed map[granitehoist.Incarnation]pushState
}

// pushState is how far a neighbour has acknowledged what was pushed.
type pushState struct {
	// version is the version that it acknowledged.
	version uint64
	// retryAt is when the next push may be tried after one that failed.
	retryAt time.Time
}

// pushResult is what came of one round.
type pushResult struct {
	// called is the number of messages, failed that of those without an answer.
	called, failed int
	// waiting is the number of neighbours whose retry is not due yet.
	waiting int
}

// pause returns the least time until the next round, zero if nothing was sent and nothing
// is to be retried. routers is the size of the fleet.
func (r pushResult) pause(routers int) time.Duration {
	if r.called == 0 && r.waiting == 0 {
		return 0
	}
	return max(minPushPause, time.Duration(routers)*pushPause)
}

// pushAll pushes to all neighbours what they have not acknowledged, unless their retry is
// not due yet.
func (p *pusher[News]) pushAll(ctx context.Context, now time.Time) pushResult {
	var calls errgroup.Group
	calls.SetLimit(maxPushes)
	var result pushResult
	var failed atomic.Int64
	news := newsCache[News]{after: p.after}
	neighbours := p.peers.view().others
	p.dropFormerPeers(neighbours)
	for _, other := range neighbours {
		state := p.stateOf(other.Incarnation)
		pending := news.get(state.version)
		switch {
		case !pending.any:
			continue
		case now.Before(state.retryAt):
			result.waiting++
			continue
		}
		result.called++
		calls.Go(func() error {
			if p.push(ctx, other.peer(), pending) != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	// The functions return no error: a failed push is retried.
	_ = calls.Wait()
	result.failed = int(failed.Load())
	return result
}

// newsCache holds what one round pushes, by the version that a neighbour acknowledged:
// most neighbours share one. It is used by one goroutine.
type newsCache[News any] struct {
	after func(version uint64) (News, bool, uint64)
	news  map[uint64]observed[News]
}

// observed is what this node saw, up to a version.
type observed[News any] struct {
	news    News
	any     bool
	version uint64
}

// get returns what the node saw after a version.
func (c *newsCache[News]) get(version uint64) observed[News] {
	if cached, found := c.news[version]; found {
		return cached
	}
	if c.news == nil {
		c.news = map[uint64]observed[News]{}
	}
	var o observed[News]
	o.news, o.any, o.version = c.after(version)
	c.news[version] = o
	return o
}

// push sends one neighbour what it lacks. Its error is that of the call.
func (p *pusher[News]) push(ctx context.Context, to granitehoist.Peer, news observed[News]) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var reply News
	err := p.peers.Call(ctx, to, p.method, news.news, &reply)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pushed == nil {
		p.pushed = map[granitehoist.Incarnation]pushState{}
	}
	state := p.pushed[to.Incarnation]
	if err != nil && !isUnknownMethod(err) {
		// It may have taken the message; a second one changes nothing.
		state.retryAt = p.clock().Add(pushRetry)
	} else {
		state = pushState{version: news.version}
	}
	p.pushed[to.Incarnation] = state
	return err
}

// isUnknownMethod reports whether a neighbour of an older version does not serve a method.
// It will not do so before it restarts as another incarnation.
func isUnknownMethod(err error) bool {
	var answer *jsonrpc2.Error
	return errors.As(err, &answer) && answer.Code == jsonrpc2.CodeMethodNotFound
}

// stateOf returns the state of a neighbour, the zero state if nothing was pushed to it.
func (p *pusher[News]) stateOf(i granitehoist.Incarnation) pushState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pushed[i]
}

// dropFormerPeers drops the state of incarnations that are no longer neighbours.
func (p *pusher[News]) dropFormerPeers(neighbours []peerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pushed) <= len(neighbours) {
		return
	}
	kept := map[granitehoist.Incarnation]pushState{}
	for _, other := range neighbours {
		if state, found := p.pushed[other.Incarnation]; found {
			kept[other.Incarnation] = state
		}
	}
	p.pushed = kept
}
