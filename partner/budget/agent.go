// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/pack"
)

// AgentSettings configure an Agent.
type AgentSettings struct {
	Box    granitehoist.Box
	Purse  *Purse
	Keeper *Keeper
	// Caller reaches other routers.
	Caller granitehoist.Caller
	// Holder returns the router that keeps a shard for this region, and false
	// if it is this router or none is known.
	Holder func(Shard) (granitehoist.Peer, bool)
	// Peers returns the other routers of the region.
	Peers func() []granitehoist.Peer
	Clock granitehoist.Clock
	// Interval is the time between messages; zero stands for
	// DefaultInterval. A request that waits sends one at once.
	Interval time.Duration
	// Failed is told of errors; nil ignores them.
	Failed func(error)
	// Shards is the number of shards; zero stands for DefaultShards.
	Shards int
}

// DefaultInterval is the time between a box's messages to its keepers, and
// waitingInterval the time while requests wait.
const (
	DefaultInterval = time.Second
	waitingInterval = 100 * time.Millisecond
)

// Agent keeps a Purse filled: it sends its messages to the keepers of the
// region, acts as keeper itself if they can't be reached, and borrows from
// other boxes while the store is away.
type Agent struct {
	settings AgentSettings
	kick     chan struct{}
	// running is held by a Step, so that Close comes after it.
	running sync.Mutex
	// unanswered are loans whose answers were lost.
	unanswered []unansweredLoan
}

// unansweredLoan is a loan that the lender may have given.
type unansweredLoan struct {
	peer   granitehoist.Peer
	budget granitehoist.BudgetID
}

// NewAgent returns an agent. It panics if a needed setting is missing.
func NewAgent(s AgentSettings) *Agent {
	if s.Purse == nil || s.Keeper == nil || s.Caller == nil || s.Holder == nil || s.Peers == nil || s.Clock == nil {
		panic("budget: agent lacks a setting")
	}
	defaults.Set(&s.Interval, DefaultInterval)
	defaults.Set(&s.Shards, DefaultShards)
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	return &Agent{settings: s, kick: make(chan struct{}, 1)}
}

// Reserve sets bound tokens aside. If the box holds too few it waits for more
// until the split's limit, or until ctx ends. Its errors are *Error with codes
// BudgetExhausted, BudgetUnreachable and DeadlineTooNear; nothing is reserved
// then.
func (a *Agent) Reserve(ctx context.Context, k granitehoist.BudgetID, bound granitehoist.Tokens) error {
	purse := a.settings.Purse
	if purse.Reserve(k, bound) {
		return nil
	}
	waiter := purse.Wait(k, bound, a.settings.Clock())
	a.Kick()
	timer := time.NewTimer(purse.split(k).Wait)
	defer timer.Stop()
	select {
	case <-waiter.Done:
	case <-timer.C:
	case <-ctx.Done():
	}
	outcome := purse.Abandon(k, waiter, a.settings.Clock())
	if purse.Busy() {
		a.Kick()
	}
	return outcomeError(ctx, outcome, k)
}

func outcomeError(ctx context.Context, o Outcome, k granitehoist.BudgetID) error {
	switch {
	case o == Granted:
		return nil
	case o == Exhausted:
		return granitehoist.Errorf(granitehoist.BudgetExhausted, "budget %s", k)
	case ctx.Err() != nil:
		return granitehoist.Errorf(granitehoist.DeadlineTooNear, "while waiting for tokens of budget %s", k)
	}
	e := granitehoist.Errorf(granitehoist.BudgetUnreachable, "budget %s", k)
	e.RetryAfter = 5 * time.Second
	return e
}

// Settle ends a reservation. What is left of a budget that runs low is given
// back at once.
func (a *Agent) Settle(k granitehoist.BudgetID, bound, used granitehoist.Tokens) {
	if a.settings.Purse.Settle(k, bound, used, a.settings.Clock()) {
		a.Kick()
	}
}

// Kick sends the next messages at once.
func (a *Agent) Kick() {
	select {
	case a.kick <- struct{}{}:
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
		case <-a.kick:
		}
		a.Step(ctx)
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

// Step sends one round of messages and takes in the replies.
func (a *Agent) Step(ctx context.Context) {
	a.running.Lock()
	defer a.running.Unlock()
	a.retryUnanswered(ctx)
	now := a.settings.Clock()
	asks, urgent := a.settings.Purse.Asks(now)
	err := a.send(ctx, asks, SyncParams{Urgent: urgent}, now)
	if err != nil {
		a.settings.Failed(err)
	}
	a.borrow(ctx, err != nil)
}

// send sends asks to the keepers, shard by shard at the same time. params holds
// what the messages have in common.
func (a *Agent) send(ctx context.Context, asks []Ask, params SyncParams, now time.Time) error {
	params.Box, params.Incarnation = a.settings.Box, a.settings.Purse.Incarnation()
	byShard := map[Shard][]Ask{}
	for _, ask := range asks {
		s := ShardOf(ask.Budget, a.settings.Shards)
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

// sync reaches the shard's keeper, or acts as keeper if that fails.
func (a *Agent) sync(ctx context.Context, s Shard, params SyncParams, now time.Time) (SyncResult, error) {
	if peer, ok := a.settings.Holder(s); ok {
		result, err := a.call(ctx, peer, ShardSync{Shard: s, Params: params})
		if err == nil && !result.Unknown {
			return result, nil
		}
	}
	return a.settings.Keeper.Sync(ctx, s, params, now)
}

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

// borrow asks the boxes that the keepers named, or all of the region if no
// keeper could be reached, for what requests still wait for.
func (a *Agent) borrow(ctx context.Context, unreachable bool) {
	for _, k := range a.settings.Purse.Waiting() {
		named := a.settings.Purse.Lenders(k)
		for _, peer := range a.settings.Peers() {
			if !unreachable && !slices.Contains(named, peer.Incarnation) {
				continue
			}
			params, short := a.settings.Purse.Borrowing(k, peer.Incarnation)
			if !short {
				break
			}
			a.borrowFrom(ctx, peer, params)
		}
	}
}

// borrowFrom makes one call. If its answer is lost the lender may have
// deducted tokens, which askAgain fetches.
func (a *Agent) borrowFrom(ctx context.Context, peer granitehoist.Peer, params BorrowParams) {
	var result BorrowResult
	if err := a.settings.Caller.Call(ctx, peer, MethodBorrow, params, &result); err != nil {
		a.settings.Failed(fmt.Errorf("budget: borrow from %s: %w", peer.Incarnation, err))
		if len(a.unanswered) < maxUnanswered {
			a.unanswered = append(a.unanswered, unansweredLoan{peer, params.Budget})
		}
		return
	}
	a.settings.Purse.Borrow(params.Budget, result)
}

// maxUnanswered bounds the loans that are asked for again.
const maxUnanswered = 1000

// retryUnanswered asks lenders whose answers were lost what they have lent. A lender
// that can't be reached is asked no more once it has left the view.
func (a *Agent) retryUnanswered(ctx context.Context) {
	loans := a.unanswered
	a.unanswered = nil
	peers := a.settings.Peers()
	for _, loan := range loans {
		if slices.Contains(peers, loan.peer) {
			a.borrowFrom(ctx, loan.peer, BorrowParams{Incarnation: a.settings.Purse.Incarnation(), Budget: loan.budget})
		}
	}
}

// ServeSync serves MethodSync.
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

// ServeBorrow serves MethodBorrow.
func (a *Agent) ServeBorrow(_ context.Context, b BorrowParams) (BorrowResult, error) {
	return a.settings.Purse.Lend(b, a.settings.Clock()), nil
}

// Tries of returning all tokens, and the time between them.
const (
	closeTries = 10
	closePause = 100 * time.Millisecond
)

// Close returns all tokens to the pages. It is called when no reservation is
// left. An error means that some are still recorded as held by this router.
func (a *Agent) Close(ctx context.Context) error {
	a.running.Lock()
	defer a.running.Unlock()
	a.settings.Purse.Close()
	var err error
	for range closeTries {
		now := a.settings.Clock()
		asks, _ := a.settings.Purse.Asks(now)
		if err = a.send(ctx, asks, SyncParams{Closing: true, Urgent: true}, now); err == nil {
			return nil
		}
		select {
		case <-time.After(closePause):
		case <-ctx.Done():
			return err
		}
	}
	return err
}
