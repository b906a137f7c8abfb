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

// faultyStore is a store that loses answers, refuses calls, and performs writes
// later if their condition still holds.
type faultyStore struct {
	granitehoist.Store
	fault string
	late  [][]granitehoist.Change
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
		s.late = append(s.late, changes)
		return 0, granitehoist.ErrUnknown
	case "lost":
		if _, err := s.Store.CompareAndSwapAll(ctx, changes); err != nil {
			return 0, err
		}
		return 0, granitehoist.ErrUnknown
	}
	return s.Store.CompareAndSwapAll(ctx, changes)
}

// deliverLate performs the writes that were held.
func (s *faultyStore) deliverLate() {
	for _, changes := range s.late {
		_, _ = s.Store.CompareAndSwapAll(context.Background(), changes)
	}
	s.late = nil
}

// history is a run of boxes over one store.
type history struct {
	now      time.Time
	store    *faultyStore
	boxes    []*box
	alive    []string
	starts   int
	limit    granitehoist.Tokens
	maxLimit granitehoist.Tokens
	// paid counts the tokens of requests that ended; open those in progress of
	// boxes that died, at their most.
	paid granitehoist.Tokens
	open [][]granitehoist.Tokens
	// waiting holds the requests of each box that wait for tokens.
	waiting [][]waitingRequest
	// roles has the role of each box, as it sees it itself; large says that the
	// fleet has grown so large that the record is divided.
	roles []escrow.Role
	large bool
}

type waitingRequest struct {
	bound granitehoist.Tokens
	ended <-chan escrow.Outcome
}

const boxCount = 3

func newHistory(limit granitehoist.Tokens) *history {
	h := &history{now: time.Unix(1000, 0), limit: limit, maxLimit: limit}
	h.store = &faultyStore{Store: standin.NewStore(standin.StoreSettings{Clock: h.clock})}
	for i := range boxCount {
		h.boxes = append(h.boxes, nil)
		h.alive = append(h.alive, "")
		h.open = append(h.open, nil)
		h.waiting = append(h.waiting, nil)
		h.roles = append(h.roles, escrow.Shares)
		h.start(i)
	}
	return h
}

func (h *history) clock() time.Time { return h.now }

func (h *history) start(i int) {
	h.starts++
	h.alive[i] = fmt.Sprintf("box%d-%d", i, h.starts)
	ledger := escrow.NewLedger(escrow.LedgerSettings{
		Incarnation: granitehoist.Incarnation(h.alive[i]),
		Role:        func(escrow.Shard) escrow.Role { return h.roles[i] },
	})
	ledger.SetLimit(testWorkspace, h.limit)
	h.boxes[i] = &box{ledger, escrow.NewSyncer(escrow.SyncerSettings{
		Box: granitehoist.Box(fmt.Sprintf("box%d", i)), Ledger: ledger, Store: h.store, Clock: h.clock,
		Routers: func() int { return boxCount },
		Divides: func() bool { return h.large },
	})}
}

// kill loses a box. What its requests in progress got is taken at the most.
func (h *history) kill(i int) {
	h.collect()
	h.waiting[i] = nil
	for _, bound := range h.open[i] {
		h.paid += bound
	}
	h.open[i] = nil
	h.start(i)
}

func (h *history) reserve(i int, bound granitehoist.Tokens) {
	if h.boxes[i].ledger.Reserve(testWorkspace, bound, maxPriority, h.now) {
		h.open[i] = append(h.open[i], bound)
		return
	}
	ended := h.boxes[i].ledger.Enter(testWorkspace, bound, maxPriority, h.now)
	h.waiting[i] = append(h.waiting[i], waitingRequest{bound, ended})
}

// collect starts the waiting requests that were granted their tokens.
func (h *history) collect() {
	for i := range h.waiting {
		var still []waitingRequest
		for _, w := range h.waiting[i] {
			select {
			case outcome := <-w.ended:
				if outcome == escrow.Granted {
					h.open[i] = append(h.open[i], w.bound)
				}
			default:
				still = append(still, w)
			}
		}
		h.waiting[i] = still
	}
}

func (h *history) settle(i int, part int) {
	if len(h.open[i]) == 0 {
		return
	}
	bound := h.open[i][0]
	h.open[i] = h.open[i][1:]
	used := bound * granitehoist.Tokens(part) / 4
	h.boxes[i].ledger.Settle(testWorkspace, bound, used, h.now)
	h.paid += used
}

// lend passes a loan, and loses the reply if told so.
func (h *history) lend(from, to int, need granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	result := h.boxes[from].ledger.Lend(escrow.LendParams{Borrower: granitehoist.Incarnation(h.alive[to]), Workspace: testWorkspace, Need: need, Want: 2 * need}, h.now)
	if !lost {
		h.boxes[to].ledger.Borrowed(testWorkspace, granitehoist.Incarnation(h.alive[from]), result, h.now)
	}
}

// repay gives tokens away unasked, and loses the message if told so.
func (h *history) repay(from, to int, tokens granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	told := escrow.Repay(h.boxes[from].ledger, granitehoist.Incarnation(h.alive[to]), testWorkspace, tokens)
	if !lost {
		_, _ = h.boxes[to].syncer.ServeRepay(context.Background(), told)
	}
}

// serveLend lets a box go to the record for another, and loses the reply if told
// so.
func (h *history) serveLend(from, to int, need granitehoist.Tokens, lost bool) {
	if from == to {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	result, _ := h.boxes[from].syncer.ServeLend(ctx, escrow.LendParams{
		Borrower: granitehoist.Incarnation(h.alive[to]), Workspace: testWorkspace, Need: need, Want: 3 * need,
		StandIn: h.roles[from] == escrow.Asks && h.large,
	})
	if !lost {
		h.boxes[to].ledger.Borrowed(testWorkspace, granitehoist.Incarnation(h.alive[from]), result, h.now)
	}
}

func (h *history) setLimit(limit granitehoist.Tokens) {
	h.limit = limit
	h.maxLimit = max(h.maxLimit, limit)
	for _, b := range h.boxes {
		b.ledger.SetLimit(testWorkspace, limit)
	}
}

// outstanding returns what was or may still be paid for.
func (h *history) outstanding() granitehoist.Tokens {
	total := h.paid
	for _, bounds := range h.open {
		for _, bound := range bounds {
			total += bound
		}
	}
	return total
}

// step is one thing that happens, drawn as often as its weight says.
type step struct {
	weight int
	run    func(t *rapid.T, h *history)
}

var (
	index  = rapid.IntRange(0, boxCount-1)
	amount = rapid.IntRange(1, 200)
)

var steps = []step{
	{10, func(t *rapid.T, h *history) {
		h.reserve(index.Draw(t, "box"), granitehoist.Tokens(amount.Draw(t, "bound")))
	}},
	{8, func(t *rapid.T, h *history) { h.settle(index.Draw(t, "box"), rapid.IntRange(0, 4).Draw(t, "part")) }},
	{8, func(t *rapid.T, h *history) { _ = h.boxes[index.Draw(t, "box")].sync() }},
	{1, func(t *rapid.T, h *history) { h.kill(index.Draw(t, "box")) }},
	{1, func(t *rapid.T, h *history) {
		i := index.Draw(t, "box")
		h.boxes[i].ledger.Close()
		_ = h.boxes[i].sync()
		h.kill(i)
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
	{2, func(_ *rapid.T, h *history) { h.store.deliverLate() }},
	{2, func(t *rapid.T, h *history) {
		h.roles[index.Draw(t, "box")] = rapid.SampledFrom([]escrow.Role{escrow.Shares, escrow.Holds, escrow.Asks}).Draw(t, "role")
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

// TestHistories checks random histories of spending, syncs, loans, kills, faults of
// the store, changes of the budget and of the roles, and the division of the record,
// for tokens spent beyond the budget.
func TestHistories(t *testing.T) {
	all := stepsOf()
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(granitehoist.Tokens(rapid.IntRange(100, 1500).Draw(t, "limit")))
		for range historyLength {
			all[rapid.IntRange(0, len(all)-1).Draw(t, "step")].run(t, h)
			h.collect()
			if total := h.outstanding(); total > h.maxLimit {
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
