// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/suspect"
)

// The nodes send each other the crashes that they saw under requests. The evidence
// against requests that are refused is also kept in the store (suspectstore.go).
//
// A node pushes what it saw to every neighbour, in parallel, until each has acknowledged
// it (push.go). A crash costs one message to each neighbour from each node that had
// a request there; while no upstream crashes nothing is sent. A push that failed is
// retried after pushRetry, and a neighbour that restarted gets everything again.
//
// A node that starts, or that was stalled, also pulls from some neighbours: others may not
// have it in their list yet. One that can't reach most neighbours reads the store.

// methodPushSuspects is the method by which a node sends a neighbour what it saw,
// methodPullSuspects the one by which it fetches all that the neighbour knows.
const (
	methodPushSuspects = "suspects.push"
	methodPullSuspects = "suspects.pull"
)

const (
	// maxPullPeers is how many neighbours a node pulls from at once: one that has no
	// evidence yet may be among them.
	maxPullPeers = 3
	// pullInterval is the time between two such rounds, and pullFor how long a node that
	// starts repeats them: by then all nodes have read the list that names it.
	pullInterval = time.Second
	pullFor      = 2 * listInterval
	// startPoll is the time between two looks at whether a node that starts knows its
	// neighbours.
	startPoll = 10 * time.Millisecond
	// stallTime is the time between two rounds from which the process counts as having
	// been stalled or suspended: a busy machine delays rounds by less.
	stallTime = 2 * pullInterval
)

// suspectNews is the message of a push and the reply to a pull.
type suspectNews struct {
	Records []suspect.Record `json:"records,omitempty"`
	// Secret keys the digests of the fleet. Only replies to methodPullSuspects have it.
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
	// toPush and toKeep wake the goroutines of runPush and runKeeping. Both hold one.
	toPush, toKeep chan struct{}
	// gate opens when the evidence of the store and of the neighbours has been read.
	gate *startGate
	// cutOff says that most neighbours could not be reached.
	cutOff atomic.Bool
	// pusher sends the neighbours what this node saw.
	pusher *pusher[suspectNews]

	// mu guards what follows.
	mu sync.Mutex
	// notedAt is when the table last changed by what this node observed.
	notedAt time.Time
}

// newSuspects returns a node's suspects without any evidence.
func newSuspects(n *Node, p *peers) *suspects {
	s := &suspects{
		peers: p, store: n.adapter.Store, clock: n.clock, log: n.log, first: n.config.First,
		toPush: make(chan struct{}, 1), toKeep: make(chan struct{}, 1),
		gate: newStartGate(evidenceSources(n.config.First)),
	}
	s.table = suspect.New(suspect.Settings{Noted: s.noted})
	s.pusher = &pusher[suspectNews]{peers: p, clock: n.clock, method: methodPushSuspects, after: s.observedAfter}
	return s
}

// evidenceSources returns from how many sources a node reads evidence when it starts: from the
// store or relays, and from neighbours, which also have what does not suffice for a refusal
// yet. At the first start of the fleet there is none.
func evidenceSources(first bool) int32 {
	if first {
		return 0
	}
	return 2
}

// runStart reads the evidence of neighbours as soon as they are known, and opens the gate
// after evidenceWait at the latest.
func (s *suspects) runStart(ctx context.Context) {
	bound := time.AfterFunc(evidenceWait, s.gate.open)
	defer bound.Stop()
	for !s.gate.isOpen() && ctx.Err() == nil {
		if s.peers.view().complete && s.pullOne(ctx) {
			s.gate.read()
			break
		}
		pause.For(ctx, startPoll)
	}
	select {
	case <-s.gate.opened:
	case <-ctx.Done():
	}
}

// pullOne pulls from some neighbours, and reports whether one of them answered or there is
// none. Those that have just started themselves know nothing, so that several are asked.
func (s *suspects) pullOne(ctx context.Context) bool {
	neighbours := s.peers.nextNeighbours(maxPullPeers)
	return len(neighbours) == 0 || s.pull(ctx, neighbours) > 0
}

// observedAfter returns what this node saw after a version of its table.
func (s *suspects) observedAfter(version uint64) (suspectNews, bool, uint64) {
	records, upTo := s.table.ObservedAfter(version)
	return suspectNews{Records: records}, len(records) > 0, upTo
}

// noted wakes both goroutines after the node saw something itself.
func (s *suspects) noted() {
	s.mu.Lock()
	s.notedAt = s.clock()
	s.mu.Unlock()
	wake(s.toPush)
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

// runPush pushes to neighbours, and pulls from them where shouldPull says so, until ctx
// ends.
func (s *suspects) runPush(ctx context.Context) {
	started := s.clock()
	pulled, round := started, started
	for ctx.Err() == nil {
		now := s.clock()
		if shouldPull(pullInputs{first: s.first, now: now, started: started, pulled: pulled, round: round}) {
			s.pull(ctx, s.peers.nextNeighbours(maxPullPeers))
			pulled = now
		}
		round = now
		result := s.pusher.pushAll(ctx, now)
		if s.isCutOff(result, now) {
			s.cutOff.Store(true)
			wake(s.toKeep)
		}
		s.table.Sweep(now)
		s.waitToPush(ctx, result)
	}
}

// pullInputs is what the decision to pull depends on.
type pullInputs struct {
	first bool
	now   time.Time
	// started is when the node started, pulled when it last pulled, round when its last
	// round began.
	started, pulled, round time.Time
}

// shouldPull decides whether a node pulls from neighbours: for a while after its start,
// unless the whole fleet starts for the first time, and whenever it was stalled.
func shouldPull(in pullInputs) bool {
	if in.now.Sub(in.round) >= stallTime {
		return true
	}
	return !in.first && in.now.Sub(in.started) < pullFor && in.now.Sub(in.pulled) >= pullInterval
}

// isCutOff decides whether this node counts itself as cut off from the others: most of
// its pushes failed, shortly after it saw a crash. It then reads the store, since the
// pushes of the others don't reach it either.
func (s *suspects) isCutOff(r pushResult, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*r.failed > r.called && now.Sub(s.notedAt) < pullFor
}

// waitToPush waits until there may be something to push: the least time between two
// messages after some were sent or while a retry is pending, otherwise until the node sees
// something or pullInterval has passed.
func (s *suspects) waitToPush(ctx context.Context, last pushResult) {
	if atLeast := last.pause(s.peers.routers()); atLeast > 0 {
		pause.For(ctx, atLeast)
		return
	}
	timer := time.NewTimer(pullInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.toPush:
	}
}

// pull fetches what neighbours know, and returns how many of them answered.
func (s *suspects) pull(ctx context.Context, neighbours []peerEntry) int {
	var calls sync.WaitGroup
	var answered atomic.Int32
	for _, other := range neighbours {
		calls.Go(func() {
			// The next round tries again, perhaps with others.
			if s.pullFrom(ctx, other.peer()) == nil {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	return int(answered.Load())
}

// pullFrom fetches what one neighbour knows. Its error is that of the call.
func (s *suspects) pullFrom(ctx context.Context, to granitehoist.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var reply suspectNews
	if err := s.peers.Call(ctx, to, methodPullSuspects, suspectNews{}, &reply); err != nil {
		return err
	}
	s.merge(reply)
	return nil
}

// merge adds what a neighbour sent.
func (s *suspects) merge(news suspectNews) {
	if news.Secret != nil {
		s.table.SetSecret(*news.Secret)
	}
	s.table.Merge(news.Records, s.clock())
}

// servePush takes a neighbour's push.
func (s *suspects) servePush(_ context.Context, news suspectNews) (suspectNews, error) {
	s.merge(news)
	return suspectNews{}, nil
}

// servePull answers a neighbour's pull.
func (s *suspects) servePull(_ context.Context, _ suspectNews) (suspectNews, error) {
	return suspectNews{Records: s.table.Open(), Secret: s.table.Secret()}, nil
}

// logKeepFailed logs that the store did not take or give what is kept there.
func (s *suspects) logKeepFailed(err error) {
	s.log.Warn(event.SuspectKeepFailed, zap.Error(err))
}
