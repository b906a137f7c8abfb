// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// history is one random sequence of spending and of every fault that the
// budgets must bear: messages and answers that are lost, doubled, delayed and
// out of order, writes whose answers are lost, a store that is down, regions
// that are cut off, boxes that die, and operators who change what is prepaid.
// After each step it checks that no token exists twice.
type history struct {
	choose  func(n int) int
	now     time.Time
	store   *standin.Store
	keepers [2]*budget.Keeper
	cut     [2]bool
	// depth counts the routers that act within another one's read and write.
	depth int
	boxes []*historyBox
	// ended holds the boxes that died or stopped.
	ended []*historyBox
	lives int
	// most is the largest amount ever prepaid.
	most    granitehoist.Tokens
	prepaid granitehoist.Tokens
	serial  granitehoist.Serial
	saved   savedMessages
}

// savedMessages are the last messages, which may arrive late or once more.
type savedMessages struct {
	syncs   []savedSync
	replies []savedReply
	loans   []savedLoan
	results []savedResult
}

type historyBox struct {
	region  int
	purse   *budget.Purse
	open    []granitehoist.Tokens
	waiters []historyWaiter
	dead    bool
	closed  bool
}

type historyWaiter struct {
	waiter *budget.Waiter
	bound  granitehoist.Tokens
}

type savedSync struct {
	box    *historyBox
	params budget.SyncParams
}

type savedReply struct {
	box     *historyBox
	asks    []budget.Ask
	replies []budget.Reply
}

type savedLoan struct {
	lender, borrower *historyBox
	params           budget.BorrowParams
}

type savedResult struct {
	borrower *historyBox
	result   budget.BorrowResult
}

// historyRegions are the regions of the two keepers.
var historyRegions = [2]granitehoist.Region{"tuul", "lima"}

const (
	historyBudget  = granitehoist.BudgetID("tuul/kiosk/season")
	historyPrepaid = 1000
	historyBoxes   = 4
	historyMost    = 200
)

// newHistory returns a history at its beginning. choose returns a number from
// 0 to n-1.
func newHistory(choose func(n int) int) *history {
	h := &history{choose: choose, now: start, prepaid: historyPrepaid, serial: 1}
	h.store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return h.now }})
	for region := range h.keepers {
		h.keepers[region] = budget.NewKeeper(budget.KeeperSettings{
			Region:  historyRegions[region],
			Store:   interruptedStore{reachableStore{Store: h.store, reachable: func() bool { return !h.cut[region] }}, h},
			Prepaid: h.prepaidOf,
			Split:   historySplit,
		})
	}
	for i := range historyBoxes {
		h.boxes = append(h.boxes, h.newBox(i%2))
	}
	return h
}

func historySplit(granitehoist.BudgetID) budget.Split {
	return budget.Split{Cover: time.Hour, Share: 0.9}
}

func (h *history) prepaidOf(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
	return h.prepaid, h.serial, true
}

func (h *history) newBox(region int) *historyBox {
	h.lives++
	id := granitehoist.Incarnation(fmt.Sprintf("box-%d", h.lives))
	return &historyBox{region: region, purse: budget.NewPurse(budget.PurseSettings{Incarnation: id, Split: historySplit})}
}

// interruptedStore lets another router act between a keeper's read and its
// write, as if the keeper had been paused.
type interruptedStore struct {
	reachableStore
	history *history
}

const (
	interruptOneIn = 8
	deepest        = 2
)

// Get implements granitehoist.Store.
func (s interruptedStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	entry, err := s.reachableStore.Get(ctx, key)
	h := s.history
	if h.depth < deepest && h.choose(interruptOneIn) == 0 {
		h.depth++
		h.sync(h.box(), true, true)
		h.depth--
	}
	return entry, err
}

// box returns one of the live boxes.
func (h *history) box() *historyBox { return h.boxes[h.choose(len(h.boxes))] }

// step does one random thing and checks the invariants.
func (h *history) step() error {
	actions := []func(){
		h.reserve, h.reserve, h.settle, h.settle, h.wait,
		func() { h.sync(h.box(), true, true) },
		func() { h.sync(h.box(), true, true) },
		func() { h.sync(h.box(), true, false) },
		func() { h.sync(h.box(), false, false) },
		h.deliver, h.apply, h.borrow, h.lendAgain, h.takeAgain,
		h.kill, h.closeBox, h.disturbStore, h.cutRegion, h.pass, h.prepay,
	}
	actions[h.choose(len(actions))]()
	return h.check()
}

// reachableStore is a store that a region may be cut off from.
type reachableStore struct {
	granitehoist.Store
	reachable func() bool
}

// Get implements granitehoist.Store.
func (s reachableStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	if !s.reachable() {
		return granitehoist.Entry{}, granitehoist.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// CompareAndSwap implements granitehoist.Store.
func (s reachableStore) CompareAndSwap(ctx context.Context, c granitehoist.Change) (granitehoist.Version, error) {
	if !s.reachable() {
		return 0, granitehoist.ErrUnavailable
	}
	return s.Store.CompareAndSwap(ctx, c)
}
