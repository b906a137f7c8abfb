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

// history is a random sequence of requests and faults: lost, duplicated, delayed and reordered
// messages, writes with unknown outcomes, store outages, partitions, crashes and changed
// prepaid totals. After each step it checks that no token exists twice.
type history struct {
	choose      func(n int) int
	now         time.Time
	store       *standin.Store
	allocators  [2]*budget.Allocator
	partitioned [2]bool
	// depth is the nesting level of syncs between another sync's read and write.
	depth int
	boxes []*historyBox
	// stopped holds the boxes that crashed or closed.
	stopped []*historyBox
	// started counts the boxes ever started.
	started int
	// maxPrepaid is the largest prepaid total so far.
	maxPrepaid granitehoist.Tokens
	prepaid    granitehoist.Tokens
	serial     granitehoist.Serial
	messages   savedMessages
}

// savedMessages holds recent messages to be delivered late or again.
type savedMessages struct {
	syncs   []savedSync
	replies []savedReply
	loans   []savedLoan
	results []savedResult
}

type historyBox struct {
	region  int
	ledger  *budget.Ledger
	open    []granitehoist.Tokens
	waiters []historyWaiter
	crashed bool
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
	reports []budget.Report
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

// historyRegions are the regions of the two Allocators.
var historyRegions = [2]granitehoist.Region{"tuul", "lima"}

const (
	historyBudget   = granitehoist.BudgetID("tuul/kiosk/season")
	historyPrepaid  = 1000
	historyBoxes    = 4
	historyMaxBound = 200
)

// newHistory returns a new history. choose(n) returns a number from 0 to n-1.
func newHistory(choose func(n int) int) *history {
	h := &history{choose: choose, now: start, prepaid: historyPrepaid, serial: 1}
	h.store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return h.now }})
	for region := range h.allocators {
		h.allocators[region] = budget.NewAllocator(budget.AllocatorSettings{
			Region:  historyRegions[region],
			Store:   interruptedStore{reachableStore{Store: h.store, reachable: func() bool { return !h.partitioned[region] }}, h},
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
	h.started++
	id := granitehoist.Incarnation(fmt.Sprintf("box-%d", h.started))
	return &historyBox{region: region, ledger: budget.NewLedger(budget.LedgerSettings{Incarnation: id, Split: historySplit})}
}

// interruptedStore runs another sync between an Allocator's read and its write, to cause
// write conflicts.
type interruptedStore struct {
	reachableStore
	history *history
}

const (
	interruptOneIn    = 8
	maxInterruptDepth = 2
)

// Get implements granitehoist.Store.
func (s interruptedStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	entry, err := s.reachableStore.Get(ctx, key)
	h := s.history
	if h.depth < maxInterruptDepth && h.choose(interruptOneIn) == 0 {
		h.depth++
		h.sync(h.randomBox(), true, true)
		h.depth--
	}
	return entry, err
}

// randomBox returns one of the running boxes.
func (h *history) randomBox() *historyBox { return h.boxes[h.choose(len(h.boxes))] }

// step runs a random action and checks the invariants.
func (h *history) step() error {
	actions := []func(){
		h.reserve, h.reserve, h.settle, h.settle, h.wait,
		func() { h.sync(h.randomBox(), true, true) },
		func() { h.sync(h.randomBox(), true, true) },
		func() { h.sync(h.randomBox(), true, false) },
		func() { h.sync(h.randomBox(), false, false) },
		h.redeliverSync, h.redeliverReply, h.borrow, h.redeliverLoan, h.redeliverResult,
		h.crashBox, h.closeBox, h.injectStoreFaults, h.partitionRegion, h.advanceTime, h.changePrepaid,
	}
	actions[h.choose(len(actions))]()
	return h.checkInvariants()
}

// reachableStore is a store that can be made unreachable.
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
