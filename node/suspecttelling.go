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
	// tellTimeout bounds one message, connecting included. Chosen, not measured:
	// neighbours of one site answer in milliseconds.
	tellTimeout = 200 * time.Millisecond
	// maxTelling bounds the messages in progress. Chosen, not measured.
	maxTelling = 32
	// tellPause is the least time between two messages to a neighbour, for each node of
	// the fleet, so that a node sends 500 messages a second at most however many
	// upstreams end. Chosen, not measured: 2.2 s at 1,100 nodes, below the 3 s in which
	// all nodes have to know.
	tellPause = 2 * time.Millisecond
	// minTellPause is the least such time in small fleets. Chosen, not measured: far
	// below the time in which callers come again.
	minTellPause = 50 * time.Millisecond
	// tellRetry is the time to the next message to a neighbour that did not answer.
	// Chosen, not measured: a node that was cut off has to know within 3 s.
	tellRetry = 700 * time.Millisecond
)

// toldState is how far a neighbour has been told.
type toldState struct {
	// version is the table's version that it has.
	version uint64
	// retryAt is when it may be called again, after it did not answer.
	retryAt time.Time
}

// tellResult is what came of telling the neighbours.
type tellResult struct {
	// called is the number of messages, failed that of those without an answer.
	called, failed int
	// waiting is the number of neighbours that have not been told everything and may
	// not be called yet.
	waiting int
}

// tellAll tells all neighbours that may be called now what they have not been told.
func (s *suspects) tellAll(ctx context.Context, now time.Time) tellResult {
	var calls errgroup.Group
	calls.SetLimit(maxTelling)
	var result tellResult
	var failed atomic.Int64
	news := newsCache{table: s.table}
	neighbours := s.peers.view().others
	s.forgetOthersThan(neighbours)
	for _, other := range neighbours {
		state := s.stateOf(other.Incarnation)
		told := news.after(state.version)
		switch {
		case len(told.records) == 0:
			continue
		case now.Before(state.retryAt):
			result.waiting++
			continue
		}
		result.called++
		calls.Go(func() error {
			if s.tell(ctx, other.peer(), told) != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	// The functions return no error: a neighbour that failed is called again.
	_ = calls.Wait()
	result.failed = int(failed.Load())
	if s.isCutOff(result, now) {
		s.cutOff.Store(true)
		wake(s.toKeep)
	}
	return result
}

// newsCache holds what is to be told in one round, by how far a neighbour has been told:
// most have been told as much. It is used by one goroutine.
type newsCache struct {
	table *suspect.Table
	news  map[uint64]observed
}

// observed is what this node observed, up to a version of the table.
type observed struct {
	records []suspect.Record
	version uint64
}

// after returns what was observed after a version.
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

// isCutOff decides whether this node takes itself for cut off from the others: what it
// observed a short while ago could not be told to most of those that it called. It then
// reads in the store what they observed, as it would not hear of it.
func (s *suspects) isCutOff(r tellResult, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*r.failed > r.called && now.Sub(s.notedAt) < askFor
}

// tell tells one neighbour.
func (s *suspects) tell(ctx context.Context, to granitehoist.Peer, news observed) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	err := s.peers.Call(ctx, to, methodTellSuspects, suspectNews{Records: news.records}, &suspectNews{})
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.told[to.Incarnation]
	if err != nil {
		// It may have taken the message. Told twice, it knows no more than once.
		state.retryAt = s.clock().Add(tellRetry)
	} else {
		state = toldState{version: news.version}
	}
	s.told[to.Incarnation] = state
	return err
}

func (s *suspects) stateOf(i granitehoist.Incarnation) toldState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[i]
}

// forgetOthersThan forgets the state of incarnations that are no neighbours any more.
func (s *suspects) forgetOthersThan(neighbours []peerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.told) <= len(neighbours) {
		return
	}
	kept := map[granitehoist.Incarnation]toldState{}
	for _, other := range neighbours {
		if state, found := s.told[other.Incarnation]; found {
			kept[other.Incarnation] = state
		}
	}
	s.told = kept
}
