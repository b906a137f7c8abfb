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

// The nodes tell each other what they observed of requests under which upstreams
// ended; what is refused is also kept in the store (suspectstore.go).
//
// A node tells each neighbour itself, until that has taken it: at once, all in
// parallel (suspecttelling.go). One end then costs a message for each neighbour of each node that had a
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

// newSuspects returns a node's suspects before anything is known of any request.
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

// askOne asks one neighbour. Its error is that of the call.
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
