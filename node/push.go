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
	// pushTimeout bounds one message, connecting included. Neighbours in the same fleet
	// respond within milliseconds.
	pushTimeout = 200 * time.Millisecond
	// maxPushes bounds the number of messages in progress.
	maxPushes = 32
	// pushDelayPerNode times the number of nodes is the minimum time between two messages
	// to one neighbour, so that a node sends at most 500 messages per second. At 1,100
	// nodes that is 2.2 s, below the 3 s in which all nodes have to learn of a crash.
	pushDelayPerNode = 2 * time.Millisecond
	// minPushDelay is the lower bound of the time between two messages to one neighbour.
	minPushDelay = 50 * time.Millisecond
	// pushRetryDelay is the delay before a failed push is retried. It allows three retries
	// within the 3 s in which all nodes have to learn of a crash.
	pushRetryDelay = 700 * time.Millisecond
)

// pusher sends this node's observations of one kind to every neighbour until each has
// acknowledged them. Message is the type sent. It is safe for concurrent use, except that
// pushAll must be called by one goroutine.
type pusher[Message any] struct {
	peers  *peers
	clock  granitehoist.Clock
	method string
	// changesAfter returns observations that this node made after a version of its table,
	// whether there are any, and the version to pass to the next call.
	changesAfter func(version uint64) (Message, bool, uint64)

	// mu guards acknowledged.
	mu           sync.Mutex
	acknowledged map[granitehoist.Incarnation]pushProgress
}

// pushProgress says how much a neighbour has acknowledged.
type pushProgress struct {
	// version is the version of the table up to which the neighbour has acknowledged this
	// node's observations.
	version uint64
	// retryAt is the earliest time of the next push after a failed one.
	retryAt time.Time
}

// pushResult counts the outcome of one round of pushes.
type pushResult struct {
	// sent is the number of messages sent, failed the number of those that got no
	// response.
	sent, failed int
	// pendingRetries is the number of neighbours whose retry is not due yet.
	pendingRetries int
}

// delay returns the minimum time until the next round, zero if nothing was sent and no
// retry is pending. routers is the size of the fleet.
func (r pushResult) delay(routers int) time.Duration {
	if r.sent == 0 && r.pendingRetries == 0 {
		return 0
	}
	return max(minPushDelay, time.Duration(routers)*pushDelayPerNode)
}

// pushAll sends all neighbours what they have not acknowledged, except those whose retry
// is not due yet.
func (p *pusher[Message]) pushAll(ctx context.Context, now time.Time) pushResult {
	var calls errgroup.Group
	calls.SetLimit(maxPushes)
	var result pushResult
	var failed atomic.Int64
	cache := pendingCache[Message]{changesAfter: p.changesAfter}
	neighbours := p.peers.view().others
	p.removeFormerPeers(neighbours)
	for _, other := range neighbours {
		state := p.progressOf(other.Incarnation)
		pending := cache.get(state.version)
		switch {
		case !pending.nonEmpty:
			continue
		case now.Before(state.retryAt):
			result.pendingRetries++
			continue
		}
		result.sent++
		calls.Go(func() error {
			if p.push(ctx, other.peer(), pending) != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	// A failed push is counted and retried, so the group never has an error.
	_ = calls.Wait()
	result.failed = int(failed.Load())
	return result
}

// pendingCache caches the messages of one round by acknowledged version, since most
// neighbours have acknowledged the same version. It is not safe for concurrent use.
type pendingCache[Message any] struct {
	changesAfter     func(version uint64) (Message, bool, uint64)
	pendingByVersion map[uint64]pendingMessage[Message]
}

// pendingMessage holds the observations that a neighbour has not acknowledged yet. A
// neighbour that acknowledges the message has acknowledged them up to version.
type pendingMessage[Message any] struct {
	message  Message
	nonEmpty bool
	version  uint64
}

// get returns the message for neighbours that acknowledged a version.
func (c *pendingCache[Message]) get(version uint64) pendingMessage[Message] {
	if cached, found := c.pendingByVersion[version]; found {
		return cached
	}
	if c.pendingByVersion == nil {
		c.pendingByVersion = map[uint64]pendingMessage[Message]{}
	}
	var pending pendingMessage[Message]
	pending.message, pending.nonEmpty, pending.version = c.changesAfter(version)
	c.pendingByVersion[version] = pending
	return pending
}

// push sends one neighbour its pending message. Its error is that of the call.
func (p *pusher[Message]) push(ctx context.Context, to granitehoist.Peer, pending pendingMessage[Message]) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var reply Message
	err := p.peers.Call(ctx, to, p.method, pending.message, &reply)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.acknowledged == nil {
		p.acknowledged = map[granitehoist.Incarnation]pushProgress{}
	}
	state := p.acknowledged[to.Incarnation]
	if err != nil && !isUnknownMethod(err) {
		// The neighbour may have received the message; a duplicate has no effect.
		state.retryAt = p.clock().Add(pushRetryDelay)
	} else {
		state = pushProgress{version: pending.version}
	}
	p.acknowledged[to.Incarnation] = state
	return err
}

// isUnknownMethod reports whether a neighbour does not serve a method because it runs an
// older version of the router. Retries are useless until the neighbour restarts, which
// makes it another incarnation.
func isUnknownMethod(err error) bool {
	var callError *jsonrpc2.Error
	return errors.As(err, &callError) && callError.Code == jsonrpc2.CodeMethodNotFound
}

// progressOf returns the progress of a neighbour, zero if nothing was pushed to it.
func (p *pusher[Message]) progressOf(i granitehoist.Incarnation) pushProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acknowledged[i]
}

// removeFormerPeers removes the progress of incarnations that are no longer neighbours.
func (p *pusher[Message]) removeFormerPeers(neighbours []peerEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.acknowledged) <= len(neighbours) {
		return
	}
	remaining := map[granitehoist.Incarnation]pushProgress{}
	for _, other := range neighbours {
		if state, found := p.acknowledged[other.Incarnation]; found {
			remaining[other.Incarnation] = state
		}
	}
	p.acknowledged = remaining
}
