// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// History is one random sequence of spending and of every fault that the
// budgets must bear: messages and answers that are lost, doubled, delayed and
// out of order, writes whose answers are lost, a store that is down, regions
// that are cut off, boxes that die, and operators who change what is prepaid.
// After each step it checks that no token exists twice.
type History struct {
	choose  func(n int) int
	now     time.Time
	store   *standin.Store
	keepers [2]*budget.Keeper
	cut     [2]bool
	depth   int
	boxes   []*historyBox
	// ended holds the boxes that died or stopped.
	ended []*historyBox
	lives int
	// most is the largest amount ever prepaid.
	most    granitehoist.Tokens
	prepaid granitehoist.Tokens
	serial  granitehoist.Serial

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

const (
	historyBudget  = granitehoist.BudgetID("tuul/kiosk/season")
	historyPrepaid = 1000
	historyBoxes   = 4
	historyMost    = 200
)

// NewHistory returns a history at its beginning. choose returns a number from
// 0 to n-1.
func NewHistory(choose func(n int) int) *History {
	h := &History{choose: choose, now: newTimeline().now, prepaid: historyPrepaid, serial: 1}
	h.store = standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return h.now }})
	for region := range h.keepers {
		h.keepers[region] = budget.NewKeeper(budget.KeeperSettings{
			Region:  spendingRegions[region],
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

func (h *History) prepaidOf(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
	return h.prepaid, h.serial, true
}

func (h *History) newBox(region int) *historyBox {
	h.lives++
	id := granitehoist.Incarnation(fmt.Sprintf("box-%d", h.lives))
	return &historyBox{region: region, purse: budget.NewPurse(budget.PurseSettings{Incarnation: id, Split: historySplit})}
}

// interruptedStore lets another router act between a keeper's read and its
// write, as if the keeper had been paused.
type interruptedStore struct {
	reachableStore
	history *History
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
func (h *History) box() *historyBox { return h.boxes[h.choose(len(h.boxes))] }

// Step does one random thing and checks the invariants.
func (h *History) Step() error {
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
	return h.Check()
}

// records reads the root and the pages past all faults.
func (h *History) records() (*budget.Root, [2]*budget.Page, error) {
	h.store.Fail(standin.StoreFaults{})
	var pages [2]*budget.Page
	entry, err := h.store.Get(context.Background(), budget.RootKey(0))
	if err != nil {
		return nil, pages, err
	}
	root, err := budget.DecodeRoot(entry)
	if err != nil {
		return nil, pages, err
	}
	for region := range pages {
		entry, err := h.store.Get(context.Background(), budget.PageKey(spendingRegions[region], 0))
		if err != nil {
			return nil, pages, err
		}
		if pages[region], err = budget.DecodePage(entry); err != nil {
			return nil, pages, err
		}
	}
	return root, pages, nil
}

// Check returns an error if a token exists twice or a promise is broken.
func (h *History) Check() error {
	faults := h.store.Faults()
	root, pages, err := h.records()
	h.store.Fail(faults)
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum, spent := account.Unallocated(), granitehoist.Tokens(0)
	for _, p := range pages {
		if a := p.Accounts[historyBudget]; a != nil {
			sum += a.Stock()
		}
	}
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		s := b.purse.State(historyBudget, h.now)
		if s.Free < 0 {
			return eris.Errorf("box %s has %d free tokens", b.purse.Incarnation(), s.Free)
		}
		sum += s.Totals.Spent + s.Totals.Held()
		spent += s.Totals.Spent
	}
	if sum > account.Prepaid {
		return eris.Errorf("%d tokens exist of %d prepaid", sum, account.Prepaid)
	}
	if spent > max(h.most, historyPrepaid) {
		return eris.Errorf("%d tokens spent of at most %d ever prepaid", spent, h.most)
	}
	return nil
}

// Heal ends all faults, lets every box that lives stop in good order, and
// returns an error if a token was lost that nobody holds.
func (h *History) Heal() error {
	h.store.Fail(standin.StoreFaults{})
	h.cut = [2]bool{}
	h.depth = deepest
	for _, l := range h.loans {
		l.borrower.purse.Borrow(historyBudget, l.lender.purse.Lend(budget.BorrowParams{Incarnation: l.borrower.purse.Incarnation(), Budget: historyBudget}, h.now))
	}
	closing := append([]*historyBox(nil), h.boxes...)
	for _, b := range h.ended {
		if b.closed {
			closing = append(closing, b)
		}
	}
	for range 3 {
		h.now = h.now.Add(time.Minute)
		for _, b := range closing {
			h.endWaits(b)
			for _, bound := range b.open {
				b.purse.Settle(historyBudget, bound, 0, h.now)
			}
			b.open = nil
			b.purse.Close()
			asks, _ := b.purse.Asks(h.now)
			h.serve(b, budget.SyncParams{Incarnation: b.purse.Incarnation(), Asks: asks, Closing: true, Urgent: true}, true)
		}
	}
	return h.checkNothingLost()
}

func (h *History) checkNothingLost() error {
	root, pages, err := h.records()
	if err != nil {
		return err
	}
	account := root.Accounts[historyBudget]
	if account == nil {
		return nil
	}
	sum := account.Unallocated()
	for region, p := range pages {
		a := p.Accounts[historyBudget]
		if a == nil {
			a = &budget.PageAccount{}
		}
		row := account.Regions[spendingRegions[region]]
		sum += a.Stock() + (row.Given - a.Received) + (a.Sent - row.Back)
	}
	var lent, borrowed granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		s := b.purse.State(historyBudget, h.now)
		sum += s.Totals.Spent + s.Totals.Held()
		lent += s.Totals.Lent
		borrowed += s.Totals.Borrowed
	}
	sum += lent - borrowed + h.unreceived(pages)
	if sum != account.Prepaid {
		return eris.Errorf("%d tokens can be found of %d prepaid", sum, account.Prepaid)
	}
	return nil
}

// unreceived returns the tokens that pages granted and boxes returned without
// the other side having heard, which only dead boxes leave behind.
func (h *History) unreceived(pages [2]*budget.Page) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for _, b := range append(append([]*historyBox(nil), h.boxes...), h.ended...) {
		a := pages[b.region].Accounts[historyBudget]
		if a == nil || !b.dead {
			continue
		}
		row := a.Rows[b.purse.Incarnation()].Totals
		own := b.purse.State(historyBudget, h.now).Totals
		sum += (row.Granted - own.Granted) + (own.Returned - row.Returned)
	}
	return sum
}

// HistorySteps is the length of a history.
const HistorySteps = 60

// Histories runs count random histories and returns the first failure, with
// the seed that shows it again.
func Histories(count int, seed uint64) error {
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for i := range uint64(count) {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, i))
			if err := runHistory(NewHistory(random.IntN)); err != nil {
				return eris.Wrapf(err, "history %d of seed %d", i, seed)
			}
			return nil
		})
	}
	return group.Wait()
}

func runHistory(h *History) error {
	for range HistorySteps {
		if err := h.Step(); err != nil {
			return err
		}
	}
	return h.Heal()
}
