// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/pack"
	"granitehoist.example/granitehoist/internal/pause"
)

// AgentSettings configures an Agent.
type AgentSettings struct {
	Box       granitehoist.Box
	Ledger    *Ledger
	Allocator *Allocator
	// Caller makes the calls to other routers.
	Caller granitehoist.Caller
	// RemoteAllocator returns the router whose Allocator serves a shard for this region. It
	// returns false if this router serves the shard or if no router does.
	RemoteAllocator func(Shard) (granitehoist.Peer, bool)
	// Peers returns the other routers of the region.
	Peers func() []granitehoist.Peer
	Clock granitehoist.Clock
	// Interval is the time between rounds of messages; zero means DefaultInterval. A
	// waiting request starts a round at once.
	Interval time.Duration
	// OnError is called with each error; nil ignores them. The next round repeats the
	// failed calls.
	OnError func(error)
	// Shards is the number of shards; zero means DefaultShards.
	Shards int
}

const (
	// DefaultInterval is the default time between two rounds of messages. A round
	// contains only the accounts whose report is due.
	DefaultInterval = time.Second
	// waitingInterval is the time between rounds while requests wait, short enough for
	// several rounds within DefaultWait.
	waitingInterval = DefaultWait / 20
)

// Agent keeps the accounts of a box supplied with tokens. It sends reports to the
// region's Allocators, falls back to the local Allocator if they can't be reached, and
// borrows from other boxes for requests that still wait. It is safe for concurrent use.
type Agent struct {
	settings AgentSettings
	// wakeups has a value if wake was called since the last round began.
	wakeups chan struct{}
	// roundMu serializes rounds and Close, so that Close starts after the last round. It
	// guards unresolvedLoans.
	roundMu sync.Mutex
	// unresolvedLoans holds the loan requests whose responses were lost.
	unresolvedLoans []unresolvedLoan
}

// NewAgent returns an Agent. It panics if a required setting is missing.
func NewAgent(s AgentSettings) *Agent {
	if s.Ledger == nil || s.Allocator == nil || s.Caller == nil || s.RemoteAllocator == nil || s.Peers == nil || s.Clock == nil {
		panic("budget: AgentSettings lacks a required field")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Shards, DefaultShards)
	if s.OnError == nil {
		s.OnError = func(error) {}
	}
	return &Agent{settings: s, wakeups: make(chan struct{}, 1)}
}

// wake makes Run start the next round at once.
func (a *Agent) wake() {
	select {
	case a.wakeups <- struct{}{}:
	default:
	}
}

// Run sends rounds of messages until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	timer := time.NewTimer(a.settings.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wakeups:
		}
		a.syncRound(ctx)
		timer.Reset(a.nextDelay())
	}
}

// nextDelay returns the time until the next round.
func (a *Agent) nextDelay() time.Duration {
	if a.settings.Ledger.HasPending() {
		return min(waitingInterval, a.settings.Interval)
	}
	return a.settings.Interval
}

// syncRound sends one round of reports, applies the replies and borrows what is missing.
func (a *Agent) syncRound(ctx context.Context) {
	a.roundMu.Lock()
	defer a.roundMu.Unlock()
	a.retryLoans(ctx)
	now := a.settings.Clock()
	reports, urgent := a.settings.Ledger.Reports(now)
	err := a.send(ctx, reports, SyncParams{Urgent: urgent}, now)
	if err != nil {
		// Reports contain running totals, so the next round replaces lost reports.
		a.settings.OnError(err)
	}
	a.borrow(ctx, err != nil)
}

// send sends reports to the Allocators of all shards concurrently, applies the replies and
// returns the first error. params holds the fields that all messages share.
func (a *Agent) send(ctx context.Context, reports []Report, params SyncParams, now time.Time) error {
	params.Box, params.Incarnation = a.settings.Box, a.settings.Ledger.Incarnation()
	byShard := map[Shard][]Report{}
	for _, report := range reports {
		s := shardOf(report.Budget, a.settings.Shards)
		byShard[s] = append(byShard[s], report)
	}
	var group errgroup.Group
	for s, part := range byShard {
		group.Go(func() error {
			message := params
			message.Reports = part
			result, err := a.sync(ctx, s, message, now)
			if err != nil {
				return err
			}
			a.settings.Ledger.Apply(part, result.Replies, a.settings.Clock())
			return nil
		})
	}
	return group.Wait()
}

// ShardSync is the message of MethodSync: a SyncParams and its shard.
type ShardSync struct {
	Shard  Shard      `json:"shard"`
	Params SyncParams `json:"params"`
}

// sync sends a message to the remote Allocator of the shard. If there is none, the call
// fails or the message is refused, it uses the local Allocator. An error of the remote call
// is ignored, since any router may serve the shard.
func (a *Agent) sync(ctx context.Context, s Shard, params SyncParams, now time.Time) (SyncResult, error) {
	if peer, ok := a.settings.RemoteAllocator(s); ok {
		result, err := a.call(ctx, peer, ShardSync{Shard: s, Params: params})
		if err == nil && !result.Unknown {
			return result, nil
		}
	}
	return a.settings.Allocator.Sync(ctx, s, params, now)
}

// call sends a message to the Allocator of another router.
func (a *Agent) call(ctx context.Context, peer granitehoist.Peer, message ShardSync) (SyncResult, error) {
	packed, err := pack.NewMessage(message)
	if err != nil {
		return SyncResult{}, err
	}
	var result pack.Message[SyncResult]
	if err := a.settings.Caller.Call(ctx, peer, MethodSync, packed, &result); err != nil {
		return SyncResult{}, err
	}
	return result.Value()
}

// ServeSync handles MethodSync for the agent of another router.
func (a *Agent) ServeSync(ctx context.Context, m pack.Message[ShardSync]) (pack.Message[SyncResult], error) {
	s, err := m.Value()
	if err != nil {
		return pack.Message[SyncResult]{}, err
	}
	result, err := a.settings.Allocator.Sync(ctx, s.Shard, s.Params, a.settings.Clock())
	if err != nil {
		return pack.Message[SyncResult]{}, err
	}
	return pack.NewMessage(result)
}

const (
	// closeAttempts is how often Close tries to return the tokens.
	closeAttempts = 10
	// closeRetryDelay is the time between two attempts.
	closeRetryDelay = 100 * time.Millisecond
)

// Close returns all tokens to the region. It must be called after the last reservation was
// settled and the context of Run is done. On an error some tokens stay recorded as held
// by this router and will count as in doubt.
func (a *Agent) Close(ctx context.Context) error {
	a.roundMu.Lock()
	defer a.roundMu.Unlock()
	a.settings.Ledger.Close()
	var err error
	for range closeAttempts {
		now := a.settings.Clock()
		// All messages of a closing router are urgent, so that they are not delayed
		// for batching.
		reports, _ := a.settings.Ledger.Reports(now)
		if err = a.send(ctx, reports, SyncParams{Closing: true, Urgent: true}, now); err == nil {
			return nil
		}
		pause.For(ctx, closeRetryDelay)
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}
