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

// AgentSettings configure an Agent.
type AgentSettings struct {
	Box    granitehoist.Box
	Purse  *Purse
	Keeper *Keeper
	// Caller reaches other routers.
	Caller granitehoist.Caller
	// RemoteKeeper returns the router that keeps a shard for this region, and false
	// if that is this router or there is none.
	RemoteKeeper func(Shard) (granitehoist.Peer, bool)
	// Peers returns the other routers of the region.
	Peers func() []granitehoist.Peer
	Clock granitehoist.Clock
	// Interval is the time between messages; zero stands for
	// DefaultInterval. A request that waits sends one at once.
	Interval time.Duration
	// Failed is called with each error; nil ignores them. Sync and Borrow are
	// tried again with the next message.
	Failed func(error)
	// Shards is the number of shards; zero stands for DefaultShards.
	Shards int
}

const (
	// DefaultInterval is the time between two rounds of messages; a round holds only the
	// accounts that are due.
	DefaultInterval = time.Second
	// waitingInterval is that time while requests wait: a twentieth of DefaultWait, so
	// that tokens are asked for several times during a wait.
	waitingInterval = DefaultWait / 20
)

// Agent keeps a Purse filled: it sends its messages to the keepers of the
// region, acts as keeper itself if they can't be reached, and borrows from
// other boxes while the store does not answer. It is safe for concurrent use.
type Agent struct {
	settings AgentSettings
	// wakeups holds a value if kick was called since the last step began.
	wakeups chan struct{}
	// running is held during a step and a Close, so that Close begins after the
	// last step. It guards unanswered.
	running sync.Mutex
	// unanswered are loans whose answers were lost.
	unanswered []unansweredLoan
}

// NewAgent returns an agent. It panics if a needed setting is missing.
func NewAgent(s AgentSettings) *Agent {
	if s.Purse == nil || s.Keeper == nil || s.Caller == nil || s.RemoteKeeper == nil || s.Peers == nil || s.Clock == nil {
		panic("budget: agent lacks a setting")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Shards, DefaultShards)
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	return &Agent{settings: s, wakeups: make(chan struct{}, 1)}
}

// kick makes Run send the next messages at once.
func (a *Agent) kick() {
	select {
	case a.wakeups <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx ends.
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
		a.step(ctx)
		timer.Reset(a.pause())
	}
}

// pause returns the time until the next message.
func (a *Agent) pause() time.Duration {
	if a.settings.Purse.Busy() {
		return min(waitingInterval, a.settings.Interval)
	}
	return a.settings.Interval
}

// step sends one round of messages and applies the replies.
func (a *Agent) step(ctx context.Context) {
	a.running.Lock()
	defer a.running.Unlock()
	a.retryUnanswered(ctx)
	now := a.settings.Clock()
	asks, urgent := a.settings.Purse.Asks(now)
	err := a.send(ctx, asks, SyncParams{Urgent: urgent}, now)
	if err != nil {
		// Nothing is lost: the asks hold totals, and the next round sends them.
		a.settings.Failed(err)
	}
	a.borrow(ctx, err != nil)
}

// send sends asks to the keepers, to all shards at the same time, and returns the
// first error. params holds what the messages have in common.
func (a *Agent) send(ctx context.Context, asks []Ask, params SyncParams, now time.Time) error {
	params.Box, params.Incarnation = a.settings.Box, a.settings.Purse.Incarnation()
	byShard := map[Shard][]Ask{}
	for _, ask := range asks {
		s := shardOf(ask.Budget, a.settings.Shards)
		byShard[s] = append(byShard[s], ask)
	}
	var group errgroup.Group
	for s, part := range byShard {
		group.Go(func() error {
			message := params
			message.Asks = part
			result, err := a.sync(ctx, s, message, now)
			if err != nil {
				return err
			}
			a.settings.Purse.Apply(part, result.Replies, a.settings.Clock())
			return nil
		})
	}
	return group.Wait()
}

// ShardSync is the message between routers: a SyncParams and its shard.
type ShardSync struct {
	Shard  Shard      `json:"shard"`
	Params SyncParams `json:"params"`
}

// sync sends a message to the shard's keeper, or acts as keeper if that fails.
// The error of the call is not reported: any router may act as keeper, and if
// this router's own try fails its error says what is wrong with the store.
func (a *Agent) sync(ctx context.Context, s Shard, params SyncParams, now time.Time) (SyncResult, error) {
	if peer, ok := a.settings.RemoteKeeper(s); ok {
		result, err := a.call(ctx, peer, ShardSync{Shard: s, Params: params})
		if err == nil && !result.Unknown {
			return result, nil
		}
	}
	return a.settings.Keeper.Sync(ctx, s, params, now)
}

// call sends a message to another router.
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

// ServeSync serves MethodSync for another router's agent.
func (a *Agent) ServeSync(ctx context.Context, m pack.Message[ShardSync]) (pack.Message[SyncResult], error) {
	s, err := m.Value()
	if err != nil {
		return pack.Message[SyncResult]{}, err
	}
	result, err := a.settings.Keeper.Sync(ctx, s.Shard, s.Params, a.settings.Clock())
	if err != nil {
		return pack.Message[SyncResult]{}, err
	}
	return pack.NewMessage(result)
}

const (
	// closeTries is how often a stopping router tries to return its tokens. With
	// one try 5 of 1,500 planned stops failed, with ten none (commit 7466cfe,
	// which also made calls name their receiver). The value was chosen.
	closeTries = 10
	// closePause is the time between two tries.
	closePause = 100 * time.Millisecond
)

// Close returns all tokens to the pages. It must be called when no reservation
// is left and the context of Run has ended. An error means that some tokens
// are still recorded as held by this router; they stay in doubt.
func (a *Agent) Close(ctx context.Context) error {
	a.running.Lock()
	defer a.running.Unlock()
	a.settings.Purse.Close()
	var err error
	for range closeTries {
		now := a.settings.Clock()
		// All messages of a stop are urgent.
		asks, _ := a.settings.Purse.Asks(now)
		if err = a.send(ctx, asks, SyncParams{Closing: true, Urgent: true}, now); err == nil {
			return nil
		}
		pause.For(ctx, closePause)
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}
