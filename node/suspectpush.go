// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/suspect"
)

const (
	// pushTimeout bounds one message, connecting included. Chosen, not measured:
	// neighbours of one site answer in milliseconds.
	pushTimeout = 200 * time.Millisecond
	// maxPushes bounds the messages in progress. Chosen, not measured.
	maxPushes = 32
	// pushPause times the number of nodes is the least time between two messages to one
	// neighbour, so that a node sends at most 500 messages a second however many upstreams
	// crash. Chosen, not measured: 2.2 s at 1,100 nodes, below the 3 s in which
	// all nodes have to know.
	pushPause = 2 * time.Millisecond
	// minPushPause is the least such time in small fleets. Chosen, not measured: far
	// below the time in which callers retry.
	minPushPause = 50 * time.Millisecond
	// pushRetry is the time until a failed push is retried.
	// Chosen, not measured: a node that was cut off has to know within 3 s.
	pushRetry = 700 * time.Millisecond
)

// pushState is how far a neighbour has acknowledged what was pushed.
type pushState struct {
	// version is the table's version that it acknowledged.
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

// pushAll pushes to all neighbours what they have not acknowledged, unless their retry is
// not due yet.
func (s *suspects) pushAll(ctx context.Context, now time.Time) pushResult {
	var calls errgroup.Group
	calls.SetLimit(maxPushes)
	var result pushResult
	var failed atomic.Int64
	news := newsCache{table: s.table}
	neighbours := s.peers.view().others
	s.dropFormerPeers(neighbours)
	for _, other := range neighbours {
		state := s.stateOf(other.Incarnation)
		pending := news.after(state.version)
		switch {
		case len(pending.records) == 0:
			continue
		case now.Before(state.retryAt):
			result.waiting++
			continue
		}
		result.called++
		calls.Go(func() error {
			if s.push(ctx, other.peer(), pending) != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	// The functions return no error: a failed push is retried.
	_ = calls.Wait()
	result.failed = int(failed.Load())
	if s.isCutOff(result, now) {
		s.cutOff.Store(true)
		wake(s.toKeep)
	}
	return result
}

// newsCache holds what one round pushes, by the version that a neighbour acknowledged:
// most neighbours share one. It is used by one goroutine.
type newsCache struct {
	table *suspect.Table
	news  map[uint64]observed
}

// observed is what this node saw, up to a version of the table.
type observed struct {
	records []suspect.Record
	version uint64
}

// after returns what the node saw after a version.
func (c *newsCache) after(version uint64) observed {
	if news, found := c.news[version]; found {
		return news
	}
	if c.news == nil {
		c.news = map[uint64]observed{}
	}
	var news observed
	news.records, news.version = c.table.ObservedAfter(version)
	c.news[version] = news
	return news
}

// isCutOff decides whether this node counts itself as cut off from the others: most of
// its pushes failed, shortly after it saw a crash. It then reads the store, since the
// pushes of the others don't reach it either.
func (s *suspects) isCutOff(r pushResult, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*r.failed > r.called && now.Sub(s.notedAt) < pullFor
}

// push sends one neighbour what it lacks. Its error is that of the call.
func (s *suspects) push(ctx context.Context, to granitehoist.Peer, news observed) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	err := s.peers.Call(ctx, to, methodPushSuspects, suspectNews{Records: news.records}, &suspectNews{})
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.pushed[to.Incarnation]
	if err != nil {
		// It may have taken the message; a second one changes nothing.
		state.retryAt = s.clock().Add(pushRetry)
	} else {
		state = pushState{version: news.version}
	}
	s.pushed[to.Incarnation] = state
	return err
}

// stateOf returns the state of a neighbour, the zero state if nothing was pushed to it.
func (s *suspects) stateOf(i granitehoist.Incarnation) pushState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pushed[i]
}

// dropFormerPeers drops the state of incarnations that are no longer neighbours.
func (s *suspects) dropFormerPeers(neighbours []peerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pushed) <= len(neighbours) {
		return
	}
	kept := map[granitehoist.Incarnation]pushState{}
	for _, other := range neighbours {
		if state, found := s.pushed[other.Incarnation]; found {
			kept[other.Incarnation] = state
		}
	}
	s.pushed = kept
}
