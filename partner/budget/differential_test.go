// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// comparison runs the same requests against budgets over a store and against a single counter
// that knows the actual costs, and compares spending and refusals.
type comparison struct {
	now        time.Time
	random     *rand.Rand
	split      budget.Split
	allocators [2]*budget.Allocator
	// partitioned cuts the second region off from the store.
	partitioned bool
	boxes       []*comparisonBox
	requests    []*comparisonRequest

	// counterRemaining is what the counter has left. spent is the cost of the requests
	// admitted by the boxes.
	counterRemaining, spent granitehoist.Tokens
	// payable counts the requests that the counter admitted, and refused those of them that
	// the boxes refused.
	payable, refused int
}

type comparisonBox struct {
	region   int
	ledger   *budget.Ledger
	nextSync time.Time
}

// comparisonRequest is a request that waits for tokens or runs.
type comparisonRequest struct {
	box         *comparisonBox
	bound, cost granitehoist.Tokens
	payable     bool
	// waiter is nil once the request runs. until is the end of its wait or run.
	waiter *budget.Waiter
	until  time.Time
}

const (
	comparisonBoxes        = 6
	comparisonStep         = 125 * time.Millisecond
	comparisonSyncInterval = 10 * time.Second
	comparisonRunTime      = 3 * time.Second
	// comparisonSteps is the number of steps, with one request each.
	comparisonSteps = 14_400
	// comparisonMinCost and comparisonMeanCost parametrize the costs of requests.
	comparisonMinCost  = 50
	comparisonMeanCost = 250
	// comparisonPrepaid is 0.95 of the expected cost, so that the budget runs out.
	comparisonPrepaid = comparisonSteps * comparisonMeanCost * 95 / 100
	// firstRegionShare is the fraction of requests that reach the first region.
	firstRegionShare = 0.8
)

func newComparison(w budget.Weighting) *comparison {
	c := &comparison{now: start, random: rand.New(rand.NewPCG(1, 2)), counterRemaining: comparisonPrepaid}
	c.split, _ = budget.NewSplit(w)
	split := func(granitehoist.BudgetID) budget.Split { return c.split }
	store := standin.NewStore(standin.StoreSettings{Clock: func() time.Time { return c.now }})
	for region := range c.allocators {
		c.allocators[region] = budget.NewAllocator(budget.AllocatorSettings{
			Region: historyRegions[region],
			Store:  reachableStore{Store: store, reachable: func() bool { return !c.partitioned || region == 0 }},
			Split:  split,
			Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
				return comparisonPrepaid, 1, true
			},
		})
	}
	for i := range comparisonBoxes {
		id := granitehoist.Incarnation(fmt.Sprintf("box-%d", i))
		ledger := budget.NewLedger(budget.LedgerSettings{Incarnation: id, Split: split})
		c.boxes = append(c.boxes, &comparisonBox{region: i % 2, ledger: ledger})
	}
	return c
}

// run runs all requests. partition cuts the second region off from the store during the
// middle half of the run.
func (c *comparison) run(partition bool) {
	for i := range comparisonSteps {
		c.now = c.now.Add(comparisonStep)
		c.partitioned = partition && i >= comparisonSteps/4 && i < 3*comparisonSteps/4
		c.arrive()
		c.syncAll()
		c.progress()
	}
}

// arrive adds a request at a random box.
func (c *comparison) arrive() {
	r := &comparisonRequest{box: c.chooseBox()}
	r.cost = comparisonMinCost + granitehoist.Tokens(c.random.ExpFloat64()*(comparisonMeanCost-comparisonMinCost))
	r.bound = r.cost + granitehoist.Tokens(c.random.Float64()*4*float64(r.cost))
	if r.cost <= c.counterRemaining {
		c.counterRemaining -= r.cost
		r.payable = true
		c.payable++
	}
	c.requests = append(c.requests, r)
	if r.box.ledger.Reserve(k, r.bound) {
		c.admit(r)
		return
	}
	r.waiter = r.box.ledger.Wait(k, r.bound, c.now)
	r.until = c.now.Add(c.split.MaxWait)
	r.box.nextSync = c.now
}

func (c *comparison) chooseBox() *comparisonBox {
	region := 0
	if c.random.Float64() > firstRegionShare {
		region = 1
	}
	return c.boxes[2*c.random.IntN(comparisonBoxes/2)+region]
}

func (c *comparison) admit(r *comparisonRequest) {
	r.waiter = nil
	r.until = c.now.Add(comparisonRunTime)
	c.spent += r.cost
}

// syncAll syncs the boxes that are due or have waiting requests.
func (c *comparison) syncAll() {
	for _, b := range c.boxes {
		if c.now.Before(b.nextSync) && !b.ledger.HasPending() {
			continue
		}
		b.nextSync = c.now.Add(comparisonSyncInterval)
		reports, urgent := b.ledger.Reports(c.now)
		params := budget.SyncParams{Box: "box", Incarnation: b.ledger.Incarnation(), Reports: reports, Urgent: urgent}
		result, err := c.allocators[b.region].Sync(ctx, 0, params, c.now)
		if err == nil {
			b.ledger.Apply(reports, result.Replies, c.now)
		}
	}
}

// progress starts the requests that got their tokens, refuses those that waited too long and
// settles those that have finished.
func (c *comparison) progress() {
	var open []*comparisonRequest
	for _, r := range c.requests {
		switch {
		case r.waiter == nil && c.now.Before(r.until):
			open = append(open, r)
		case r.waiter == nil:
			r.box.ledger.Settle(k, r.bound, r.cost, c.now)
		case c.now.Before(r.until) && !isDone(r.waiter):
			open = append(open, r)
		case r.box.ledger.EndWait(k, r.waiter, c.now) == budget.Granted:
			c.admit(r)
			open = append(open, r)
		case r.payable:
			c.refused++
		}
	}
	c.requests = open
}

func isDone(w *budget.Waiter) bool {
	select {
	case <-w.Done:
		return true
	default:
		return false
	}
}

var _ = Describe("Budgets compared with a single counter", func() {
	DescribeTable("never overspend and refuse few requests that the counter admits",
		func(w budget.Weighting, partition bool, maxRefused float64) {
			c := newComparison(w)
			c.run(partition)
			GinkgoWriter.Printf("spent=%d prepaid=%d payable=%d refused=%d\n", c.spent, granitehoist.Tokens(comparisonPrepaid), c.payable, c.refused)
			Expect(c.spent).To(BeNumerically("<=", comparisonPrepaid))
			Expect(float64(c.refused) / float64(c.payable)).To(BeNumerically("<", maxRefused))
		},
		// The last column is the highest allowed fraction of refusals.
		Entry("without a partition, weighing refusals", budget.WeighRefusals, false, 0.002),
		Entry("without a partition, weighing overspend", budget.WeighOverspend, false, 0.002),
		Entry("with a partition, weighing refusals", budget.WeighRefusals, true, 0.05),
		Entry("with a partition, weighing overspend", budget.WeighOverspend, true, 0.002),
	)
})
