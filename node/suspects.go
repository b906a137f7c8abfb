// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/suspect"
)

// This file tells the other nodes what this one observed of requests under which
// upstreams ended, and learns what they did.
//
// A node tells each neighbour itself, until that has taken it: at once, all in
// parallel. One end then costs a message for each neighbour of each node that had a
// request there, and nothing is sent while no upstream ends. A neighbour that can't be
// reached is called again after tellRetry; one that started anew is told everything.
//
// A node that starts, and one that stood still for a while, asks some neighbours in
// addition: others may not know of it yet, or have told the process before it. One that
// reaches few neighbours reads the store.

// methodTellSuspects is the method by which a node tells a neighbour what it observed,
// methodAskSuspects the one by which it asks for all that the neighbour knows.
const (
	methodTellSuspects = "suspects.tell"
	methodAskSuspects  = "suspects.ask"
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
	// maxAskedSuspects is how many neighbours a node asks at once. Chosen, not measured:
	// one that was told nothing yet may be among them.
	maxAskedSuspects = 3
	// askPause is the time between two such rounds, and askFor how long a node that
	// starts goes on with them: by then all nodes have read the list that names it.
	// Chosen, not measured.
	askPause = time.Second
	askFor   = 2 * listInterval
	// stoodStill is the time between two rounds from which on the process counts as
	// having stood still. Chosen, not measured: a busy machine delays rounds by less.
	stoodStill = 2 * askPause
)

// suspectNews is what a node tells of suspect requests.
type suspectNews struct {
	Records []suspect.Record `json:"records,omitempty"`
	// Secret keys the digests of the fleet. Only answers to methodAskSuspects have it.
	Secret *suspect.Secret `json:"secret,omitempty"`
}

// suspects keeps a node's table of suspect requests in step with those of the other
// nodes. It is safe for concurrent use.
type suspects struct {
	table *suspect.Table
	peers *peers
	store granitehoist.Store
	clock granitehoist.Clock
	log   *zap.Logger
	// first is Config.First.
	first bool
	// toTell and toKeep wake the goroutines of runTelling and runKeeping. Both hold one.
	toTell, toKeep chan struct{}
	// cutOff says that most neighbours could not be told.
	cutOff atomic.Bool

	// mu guards what follows.
	mu   sync.Mutex
	told map[granitehoist.Incarnation]toldState
	// notedAt is when the table last changed by what this node observed.
	notedAt time.Time
}

// toldState is how far a neighbour has been told.
type toldState struct {
	// version is the table's version that it has.
	version uint64
	// retryAt is when it may be called again, after it did not answer.
	retryAt time.Time
}

func newSuspects(n *Node, p *peers) *suspects {
	s := &suspects{
		peers: p, store: n.adapter.Store, clock: n.clock, log: n.log, first: n.config.First,
		toTell: make(chan struct{}, 1), toKeep: make(chan struct{}, 1),
		told: map[granitehoist.Incarnation]toldState{},
	}
	s.table = suspect.New(suspect.Settings{Noted: s.noted})
	return s
}

// noted wakes what passes on a change of the table.
func (s *suspects) noted() {
	s.mu.Lock()
	s.notedAt = s.clock()
	s.mu.Unlock()
	wake(s.toTell)
	wake(s.toKeep)
}

// wake puts something into a channel that holds one, unless it is full: whoever
// receives it will see the change too.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runTelling tells neighbours and asks them, until ctx ends.
func (s *suspects) runTelling(ctx context.Context) {
	started := s.clock()
	asked, round := started, started
	for ctx.Err() == nil {
		now := s.clock()
		if shouldAsk(askInputs{first: s.first, now: now, started: started, asked: asked, round: round}) {
			s.ask(ctx, s.peers.nextNeighbours(maxAskedSuspects))
			asked = now
		}
		round = now
		told := s.tellAll(ctx, now)
		s.table.Sweep(now)
		s.waitToTell(ctx, told)
	}
}

// askInputs is what the decision to ask neighbours depends on.
type askInputs struct {
	first bool
	now   time.Time
	// started is when the node started, asked when it last asked, round when it last
	// had the processor for a round.
	started, asked, round time.Time
}

// shouldAsk decides whether a node asks its neighbours what they know: for a while
// after its start, unless the whole fleet starts for the first time, and whenever it
// stood still.
func shouldAsk(in askInputs) bool {
	if in.now.Sub(in.round) >= stoodStill {
		return true
	}
	return !in.first && in.now.Sub(in.started) < askFor && in.now.Sub(in.asked) >= askPause
}

// tellResult is what came of telling the neighbours.
type tellResult struct {
	// called is the number of messages, failed that of those without an answer.
	called, failed int
	// waiting is the number of neighbours that have not been told everything and may
	// not be called yet.
	waiting int
}

// waitToTell waits until there may be something to tell: for the least time between two
// messages after some were sent or while a neighbour may not be called yet, and else
// until something is noted.
func (s *suspects) waitToTell(ctx context.Context, told tellResult) {
	if told.called > 0 || told.waiting > 0 {
		pause.For(ctx, max(minTellPause, time.Duration(s.peers.routers())*tellPause))
		return
	}
	timer := time.NewTimer(askPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.toTell:
	}
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

// ask asks neighbours for all that they know, and reports whether one has told the
// fleet's secret.
func (s *suspects) ask(ctx context.Context, neighbours []peerEntry) bool {
	var calls errgroup.Group
	for _, other := range neighbours {
		calls.Go(func() error { return s.askOne(ctx, other.peer()) })
	}
	// One that does not answer is asked again in the next round, or another is.
	_ = calls.Wait()
	return s.table.Secret() != nil
}

func (s *suspects) askOne(ctx context.Context, to granitehoist.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var reply suspectNews
	if err := s.peers.Call(ctx, to, methodAskSuspects, suspectNews{}, &reply); err != nil {
		return err
	}
	s.merge(reply)
	return nil
}

// merge joins what a neighbour tells with what is known here.
func (s *suspects) merge(news suspectNews) {
	if news.Secret != nil {
		s.table.SetSecret(*news.Secret)
	}
	s.table.Merge(news.Records, s.clock())
}

// serveTell takes what a neighbour tells.
func (s *suspects) serveTell(_ context.Context, news suspectNews) (suspectNews, error) {
	s.merge(news)
	return suspectNews{}, nil
}

// serveAsk answers a neighbour with all that is known here.
func (s *suspects) serveAsk(_ context.Context, _ suspectNews) (suspectNews, error) {
	return suspectNews{Records: s.table.Open(), Secret: s.table.Secret()}, nil
}

// logKeepFailed logs that the store did not take or give what is kept there.
func (s *suspects) logKeepFailed(err error) {
	s.log.Warn(event.SuspectKeepFailed, zap.Error(err))
}
