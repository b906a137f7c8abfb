// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// faultyStore is a store that loses responses, refuses calls, and applies writes late if
// their condition still holds.
type faultyStore struct {
	granitehoist.Store
	fault   string
	delayed [][]granitehoist.Change
}

func (s *faultyStore) Get(ctx context.Context, key string) (granitehoist.Entry, error) {
	switch s.fault {
	case "down":
		return granitehoist.Entry{}, granitehoist.ErrUnavailable
	case "silent":
		return granitehoist.Entry{}, granitehoist.ErrUnknown
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) CompareAndSwapAll(ctx context.Context, changes []granitehoist.Change) (granitehoist.Version, error) {
	switch s.fault {
	case "down":
		return 0, granitehoist.ErrUnavailable
	case "silent", "late":
		s.delayed = append(s.delayed, changes)
		return 0, granitehoist.ErrUnknown
	case "lost":
		if _, err := s.Store.CompareAndSwapAll(ctx, changes); err != nil {
			return 0, err
		}
		return 0, granitehoist.ErrUnknown
	}
	return s.Store.CompareAndSwapAll(ctx, changes)
}

// deliverDelayed applies the delayed writes.
func (s *faultyStore) deliverDelayed() {
	for _, changes := range s.delayed {
		_, _ = s.Store.CompareAndSwapAll(context.Background(), changes)
	}
	s.delayed = nil
}

// history is the state of boxes that share one store.
type history struct {
	now          time.Time
	store        *faultyStore
	boxes        []*box
	incarnations []string
	starts       int
	limit        granitehoist.Tokens
	maxLimit     granitehoist.Tokens
	// spent counts the use of settled requests, and the maximum costs of requests in
	// progress when their box crashed. openMaxCosts holds the maximum costs of requests in
	// progress by box.
	spent        granitehoist.Tokens
	openMaxCosts [][]granitehoist.Tokens
	// waiting holds the waiting requests of each box.
	waiting [][]waitingRequest
	// roles holds the role that each box assumes; large is set if the fleet is large
	// enough to divide the record.
	roles []escrow.Role
	large bool
	// machines holds the machine of each box.
	machines []testMachine
}

type waitingRequest struct {
	maxCost granitehoist.Tokens
	ended   <-chan escrow.Outcome
}

const historyBoxes = 3

func newHistory(limit granitehoist.Tokens) *history {
	h := &history{now: time.Unix(1000, 0), limit: limit, maxLimit: limit}
	h.store = &faultyStore{Store: standin.NewStore(standin.StoreSettings{Clock: h.clock})}
	for i := range historyBoxes {
		h.boxes = append(h.boxes, nil)
		h.incarnations = append(h.incarnations, "")
		h.openMaxCosts = append(h.openMaxCosts, nil)
		h.waiting = append(h.waiting, nil)
		h.roles = append(h.roles, escrow.RoleDirect)
		h.machines = append(h.machines, newTestMachine(uint64(i+1), h.now))
		h.start(i)
	}
	return h
}

func (h *history) clock() time.Time { return h.now }

func (h *history) start(i int) {
	h.starts++
	h.incarnations[i] = fmt.Sprintf("box%d-%d", i, h.starts)
	ledger := escrow.NewLedger(escrow.LedgerSettings{
		Incarnation: granitehoist.Incarnation(h.incarnations[i]),
		Role:        func(escrow.Shard) escrow.Role { return h.roles[i] },
		Machine:     h.machines[i].at(h.now),
	})
	ledger.SetLimit(testWorkspace, h.limit)
	h.boxes[i] = &box{ledger, escrow.NewSyncer(escrow.SyncerSettings{
		Box: granitehoist.Box(fmt.Sprintf("box%d", i)), Ledger: ledger, Store: h.store, Clock: h.clock,
		Routers:      func() int { return historyBoxes },
		ShardsRecord: func() bool { return h.large },
	})}
}

// crash crashes a box and starts a new router on it. Its requests in progress count with
// their maximum costs.
func (h *history) crash(i int) {
	h.collect()
	h.waiting[i] = nil
	for _, maxCost := range h.openMaxCosts[i] {
		h.spent += maxCost
	}
	h.openMaxCosts[i] = nil
	h.start(i)
}

func (h *history) reserve(i int, maxCost granitehoist.Tokens) {
	if h.boxes[i].ledger.Reserve(testWorkspace, maxCost, maxPriority, h.now) {
		h.openMaxCosts[i] = append(h.openMaxCosts[i], maxCost)
		return
	}
	ended := h.boxes[i].ledger.AddWaiter(testWorkspace, maxCost, maxPriority, h.now)
	h.waiting[i] = append(h.waiting[i], waitingRequest{maxCost, ended})
}

// collect starts the waiting requests that were granted.
func (h *history) collect() {
	for i := range h.waiting {
		var pending []waitingRequest
		for _, w := range h.waiting[i] {
			select {
			case outcome := <-w.ended:
				if outcome == escrow.Granted {
					h.openMaxCosts[i] = append(h.openMaxCosts[i], w.maxCost)
				}
			default:
				pending = append(pending, w)
			}
		}
		h.waiting[i] = pending
	}
}

func (h *history) settle(i int, part int) {
	if len(h.openMaxCosts[i]) == 0 {
		return
	}
	maxCost := h.openMaxCosts[i][0]
	h.openMaxCosts[i] = h.openMaxCosts[i][1:]
	used := maxCost * granitehoist.Tokens(part) / 4
	h.boxes[i].ledger.Settle(testWorkspace, maxCost, used, h.now)
	h.spent += used
}

// lend makes a loan, and drops the response if lost is set.
func (h *history) lend(from, to int, need granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	result := h.boxes[from].ledger.Lend(escrow.LendParams{Borrower: granitehoist.Incarnation(h.incarnations[to]), Workspace: testWorkspace, Need: need, Want: 2 * need}, h.now)
	if !lost {
		h.boxes[to].ledger.RecordLoan(testWorkspace, granitehoist.Incarnation(h.incarnations[from]), result, h.now)
	}
}

// repay transfers tokens without a request, and drops the message if lost is set.
func (h *history) repay(from, to int, tokens granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	message := escrow.Repay(h.boxes[from].ledger, granitehoist.Incarnation(h.incarnations[to]), testWorkspace, tokens)
	if !lost {
		_, _ = h.boxes[to].syncer.ServeRepay(context.Background(), message)
	}
}

// serveLend lets a box serve a loan from the record, and drops the response if lost is set.
func (h *history) serveLend(from, to int, need granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	result, _ := h.boxes[from].syncer.ServeLend(ctx, escrow.LendParams{
		Borrower: granitehoist.Incarnation(h.incarnations[to]), Workspace: testWorkspace, Need: need, Want: 3 * need,
		StandIn: h.roles[from] == escrow.RoleBorrower && h.large,
	})
	if !lost {
		h.boxes[to].ledger.RecordLoan(testWorkspace, granitehoist.Incarnation(h.incarnations[from]), result, h.now)
	}
}

func (h *history) setLimit(limit granitehoist.Tokens) {
	h.limit = limit
	h.maxLimit = max(h.maxLimit, limit)
	for _, b := range h.boxes {
		b.ledger.SetLimit(testWorkspace, limit)
	}
}

// committed returns the tokens that were spent or may still be spent.
func (h *history) committed() granitehoist.Tokens {
	total := h.spent
	for _, maxCosts := range h.openMaxCosts {
		for _, maxCost := range maxCosts {
			total += maxCost
		}
	}
	return total
}

// step is a random event, drawn in proportion to its weight.
type step struct {
	weight int
	run    func(t *rapid.T, h *history)
}

var (
	index  = rapid.IntRange(0, historyBoxes-1)
	amount = rapid.IntRange(1, 200)
)

var steps = []step{
	{10, func(t *rapid.T, h *history) {
		h.reserve(index.Draw(t, "box"), granitehoist.Tokens(amount.Draw(t, "bound")))
	}},
	{8, func(t *rapid.T, h *history) { h.settle(index.Draw(t, "box"), rapid.IntRange(0, 4).Draw(t, "part")) }},
	{8, func(t *rapid.T, h *history) { _ = h.boxes[index.Draw(t, "box")].sync() }},
	{1, func(t *rapid.T, h *history) { h.crash(index.Draw(t, "box")) }},
	{1, func(t *rapid.T, h *history) {
		// All routers crash, and start again after a while.
		h.now = h.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		for i := range h.boxes {
			h.machines[i].change(machineChange(rapid.IntRange(0, int(machineChanges)-1).Draw(t, "change")), h.now)
			h.crash(i)
		}
	}},
	{1, func(t *rapid.T, h *history) {
		i := index.Draw(t, "box")
		h.boxes[i].ledger.Close()
		_ = h.boxes[i].sync()
		h.crash(i)
	}},
	{4, func(t *rapid.T, h *history) {
		h.lend(index.Draw(t, "from"), index.Draw(t, "to"), granitehoist.Tokens(amount.Draw(t, "need")), rapid.Bool().Draw(t, "lost"))
	}},
	{3, func(t *rapid.T, h *history) {
		h.repay(index.Draw(t, "from"), index.Draw(t, "to"), granitehoist.Tokens(amount.Draw(t, "tokens")), rapid.Bool().Draw(t, "lost"))
	}},
	{3, func(t *rapid.T, h *history) {
		h.serveLend(index.Draw(t, "from"), index.Draw(t, "to"), granitehoist.Tokens(amount.Draw(t, "need")), rapid.Bool().Draw(t, "lost"))
	}},
	{2, func(t *rapid.T, h *history) {
		h.store.fault = rapid.SampledFrom([]string{"", "", "", "down", "silent", "late", "lost"}).Draw(t, "fault")
	}},
	{2, func(_ *rapid.T, h *history) { h.store.deliverDelayed() }},
	{2, func(t *rapid.T, h *history) {
		h.roles[index.Draw(t, "box")] = rapid.SampledFrom([]escrow.Role{escrow.RoleDirect, escrow.RoleHolder, escrow.RoleBorrower, escrow.RoleSubHolder}).Draw(t, "role")
	}},
	{1, func(t *rapid.T, h *history) { h.large = rapid.Bool().Draw(t, "large") }},
	{1, func(t *rapid.T, h *history) {
		h.setLimit(granitehoist.Tokens(rapid.IntRange(50, 1500).Draw(t, "limit")))
	}},
	{3, func(t *rapid.T, h *history) {
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	}},
}

// stepsOf returns the steps, each as often as its weight.
func stepsOf() []step {
	var all []step
	for _, s := range steps {
		for range s.weight {
			all = append(all, s)
		}
	}
	return all
}

const historyLength = 150

// TestHistories guards against overspending and lost tokens in random histories of
// requests, loans, crashes, store faults and changes of limits, roles and sharding.
func TestHistories(t *testing.T) {
	all := stepsOf()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(granitehoist.Tokens(rapid.IntRange(100, 1500).Draw(t, "limit")))
		for range historyLength {
			all[rapid.IntRange(0, len(all)-1).Draw(t, "step")].run(t, h)
			h.collect()
			if total := h.committed(); total > h.maxLimit {
				t.Fatalf("%d tokens may be spent of a budget that was never above %d", total, h.maxLimit)
			}
			for _, b := range h.boxes {
				if err := escrow.CheckConservation(b.ledger); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
