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

// A node observes crashes of upstreams under a request, and successes that clear a
// request. It sends each of these observations to all neighbours in parallel, until each
// has acknowledged it (push.go). Evidence against refused requests is also stored
// (suspectstore.go).
//
// In three cases a node also fetches evidence:
//   - After its start it pulls from some neighbours, since a neighbour pushes to it only
//     once it is in that neighbour's node list.
//   - After its process was stalled it pulls too, since neighbours retry the pushes that
//     failed meanwhile only after pushRetryDelay.
//   - If most of its pushes fail after an observation, it reads the store once.

// methodPushSuspects is the method by which a node sends its observations to a neighbour.
// methodPullSuspects is the method by which it fetches the records of a neighbour that are
// not cleared, at most suspect.MaxRecords.
const (
	methodPushSuspects = "suspects.push"
	methodPullSuspects = "suspects.pull"
)

const (
	// maxPullPeers is the number of neighbours pulled from at a time: some may have no
	// evidence yet.
	maxPullPeers = 3
	// pullInterval is the time between two rounds of pulls. pullPeriod is how long a
	// starting node repeats them: by then all nodes have read a list that contains the
	// starting node.
	pullInterval = time.Second
	pullPeriod   = 2 * listInterval
	// startingWait is how long a starting node looks for a neighbour that does not start
	// too. After a restart of all nodes there is none.
	startingWait = 150 * time.Millisecond
	// startPollInterval is the interval at which a starting node checks whether it knows
	// its neighbours.
	startPollInterval = 10 * time.Millisecond
	// stallThreshold is the time between two rounds above which the process counts as
	// having been stalled or suspended.
	stallThreshold = 2 * pullInterval
)

// suspectUpdate is the request of a push and the response to a pull.
type suspectUpdate struct {
	Records []suspect.Record `json:"records,omitempty"`
	// Crashed holds upstreams that crashed recently, under any request. A node charges no
	// request with a crash that it knew of before it sent the request there.
	Crashed []suspect.Incarnation `json:"crashed,omitempty"`
	// Secret is the key with which all nodes compute the digests of requests. It is set
	// only in responses to methodPullSuspects, and nil if the sender does not have it.
	Secret *suspect.Secret `json:"secret,omitempty"`
	// Starting is set in responses to methodPullSuspects by a node that waits for evidence
	// itself.
	Starting bool `json:"starting,omitempty"`
}

// suspects exchanges evidence against requests that crash upstreams with the other nodes
// and the store. It is safe for concurrent use.
type suspects struct {
	table *suspect.Table
	peers *peers
	store granitehoist.Store
	clock granitehoist.Clock
	log   *zap.Logger
	// bootstrap is Config.Bootstrap.
	bootstrap bool
	// pushWake and storeWake wake the goroutines of runPush and runStore. Both have a
	// capacity of one.
	pushWake, storeWake chan struct{}
	// gate opens when the evidence of the store and of the neighbours has been read, or
	// maxEvidenceWait after the start.
	gate *startGate
	// storeReadRequested asks runStore to read the store once. runPush sets it when
	// shouldReadStore says so.
	storeReadRequested atomic.Bool
	// restored asks runStore to write again what the store may have lost.
	restored atomic.Bool
	// pusher sends this node's observations to the neighbours.
	pusher *pusher[suspectUpdate]

	// mu guards observedAt.
	mu sync.Mutex
	// observedAt is when this node last observed a crash or a success that changed the
	// table.
	observedAt time.Time
}

// newSuspects returns suspects without any evidence.
func newSuspects(n *Node, p *peers) *suspects {
	s := &suspects{
		peers: p, store: n.adapter.Store, clock: n.clock, log: n.log, bootstrap: n.config.Bootstrap,
		pushWake: make(chan struct{}, 1), storeWake: make(chan struct{}, 1),
		gate: newStartGate(evidenceSources(n.config.Bootstrap)),
	}
	s.table = suspect.New(suspect.Settings{OnObserved: s.onObserved})
	s.pusher = &pusher[suspectUpdate]{peers: p, clock: n.clock, method: methodPushSuspects, changesAfter: s.observedAfter}
	return s
}

// evidenceSources returns the number of sources that a starting node reads before it
// serves. Two are of evidence: the store or the relays, and the neighbours, which also have
// the evidence that does not suffice for a refusal yet. One is the registrations of
// releases. There is none at the first start of the fleet.
func evidenceSources(bootstrap bool) int32 {
	if bootstrap {
		return 0
	}
	return 3
}

// runStartGate reads the evidence of neighbours as soon as they are known, and opens the
// gate after maxEvidenceWait at the latest.
func (s *suspects) runStartGate(ctx context.Context) {
	timer := time.AfterFunc(maxEvidenceWait, s.gate.open)
	defer timer.Stop()
	started := s.clock()
	for !s.gate.isOpen() && ctx.Err() == nil {
		if s.peers.view().complete && s.pullAtStart(ctx, s.clock().Sub(started)) {
			s.gate.sourceRead()
			break
		}
		pause.For(ctx, startPollInterval)
	}
	select {
	case <-s.gate.opened:
	case <-ctx.Done():
	}
}

// pullAtStart pulls from some neighbours, and reports whether that suffices or there are
// none. age is the time since this node's start. It pulls from several, since some may be
// down.
func (s *suspects) pullAtStart(ctx context.Context, age time.Duration) bool {
	neighbours := s.peers.nextNeighbours(maxPullPeers)
	if len(neighbours) == 0 {
		return true
	}
	responded, starting := s.pull(ctx, neighbours)
	return hasEvidence(responded, starting, age)
}

// hasEvidence decides whether the responses of neighbours suffice for a node that started a
// time ago: one from a node that does not start itself, or any after startingWait.
func hasEvidence(responded, starting int, age time.Duration) bool {
	return responded > starting || (responded > 0 && age >= startingWait)
}

// observedAfter returns this node's observations after a version of its table.
func (s *suspects) observedAfter(version uint64) (suspectUpdate, bool, uint64) {
	records, reached := s.table.ObservedAfter(version)
	// Read last, so that it has all crashes up to the version reached.
	crashed := s.table.CrashesObservedAfter(version)
	return suspectUpdate{Records: records, Crashed: crashed}, len(records)+len(crashed) > 0, reached
}

// onObserved wakes both goroutines after this node observed a change itself.
func (s *suspects) onObserved() {
	s.mu.Lock()
	s.observedAt = s.clock()
	s.mu.Unlock()
	wake(s.pushWake)
	wake(s.storeWake)
}

// wake makes a channel of capacity one ready to receive, without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runPush pushes to neighbours, and pulls from them when shouldPull says so, until ctx
// ends.
func (s *suspects) runPush(ctx context.Context) {
	started := s.clock()
	pulledAt, roundAt := started, started
	for ctx.Err() == nil {
		now := s.clock()
		if shouldPull(pullInputs{bootstrap: s.bootstrap, now: now, startedAt: started, pulledAt: pulledAt, roundAt: roundAt}) {
			s.pull(ctx, s.peers.nextNeighbours(maxPullPeers))
			pulledAt = now
		}
		roundAt = now
		result := s.pusher.pushAll(ctx, now)
		if s.shouldReadStore(result, now) {
			s.storeReadRequested.Store(true)
			wake(s.storeWake)
		}
		s.table.Sweep(now)
		s.waitToPush(ctx, result)
	}
}

// pullInputs holds what shouldPull depends on.
type pullInputs struct {
	bootstrap bool
	now       time.Time
	// startedAt is when the node started, pulledAt when it last pulled, roundAt when its
	// last round began.
	startedAt, pulledAt, roundAt time.Time
}

// shouldPull decides whether a node pulls from neighbours:
//   - after a stall, that is, if the last round began stallThreshold ago or earlier;
//   - every pullInterval until pullPeriod after its start, unless the whole fleet starts
//     for the first time.
func shouldPull(in pullInputs) bool {
	if in.now.Sub(in.roundAt) >= stallThreshold {
		return true
	}
	return !in.bootstrap && in.now.Sub(in.startedAt) < pullPeriod && in.now.Sub(in.pulledAt) >= pullInterval
}

// shouldReadStore decides whether this node reads the evidence from the store: if more
// than half of the pushes of a round failed, less than pullPeriod after its last
// observation. The pushes of its neighbours to this node may then fail as well.
func (s *suspects) shouldReadStore(r pushResult, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 2*r.failed > r.sent && now.Sub(s.observedAt) < pullPeriod
}

// waitToPush waits until there may be something to push: for the minimum delay after a
// round that sent something or has a pending retry, otherwise until the next observation,
// at most for pullInterval.
func (s *suspects) waitToPush(ctx context.Context, last pushResult) {
	if delay := last.delay(s.peers.routers()); delay > 0 {
		pause.For(ctx, delay)
		return
	}
	timer := time.NewTimer(pullInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-s.pushWake:
	}
}

// pull fetches the evidence of neighbours, and returns how many of them responded and how
// many of these are starting.
func (s *suspects) pull(ctx context.Context, neighbours []peerEntry) (responded, starting int) {
	var calls sync.WaitGroup
	var respondedCount, startingCount atomic.Int32
	for _, other := range neighbours {
		calls.Go(func() {
			isStarting, err := s.pullFrom(ctx, other.peer())
			if err != nil {
				return
			}
			respondedCount.Add(1)
			if isStarting {
				startingCount.Add(1)
			}
		})
	}
	calls.Wait()
	return int(respondedCount.Load()), int(startingCount.Load())
}

// pullFrom fetches the evidence of one neighbour, and reports whether the neighbour is
// starting. Its error is that of the call, which a later round retries.
func (s *suspects) pullFrom(ctx context.Context, to granitehoist.Peer) (starting bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var reply suspectUpdate
	if err := s.peers.Call(ctx, to, methodPullSuspects, suspectUpdate{}, &reply); err != nil {
		return false, err
	}
	s.merge(reply)
	return reply.Starting, nil
}

// merge adds the evidence that a neighbour sent.
func (s *suspects) merge(update suspectUpdate) {
	if update.Secret != nil {
		s.table.SetSecret(*update.Secret)
	}
	now := s.clock()
	s.table.Merge(update.Records, now)
	for _, incarnation := range update.Crashed {
		s.table.RecordDown(incarnation, now)
	}
}

// servePush serves a neighbour's push.
func (s *suspects) servePush(_ context.Context, update suspectUpdate) (suspectUpdate, error) {
	s.merge(update)
	return suspectUpdate{}, nil
}

// servePull serves a neighbour's pull.
func (s *suspects) servePull(_ context.Context, _ suspectUpdate) (suspectUpdate, error) {
	return suspectUpdate{Records: s.table.Uncleared(), Secret: s.table.Secret(), Starting: !s.gate.isOpen()}, nil
}

// logStoreFailed logs that the evidence could not be read from the store or written to
// it.
func (s *suspects) logStoreFailed(err error) {
	s.log.Warn(event.SuspectKeepFailed, zap.Error(err))
}
