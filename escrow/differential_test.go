// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/standin"
)

// centralCounter is the naive single centralCounter that all requests ask: it needs no
// network, loses nothing and is never away.
type centralCounter struct {
	left, paid granitehoist.Tokens
}

func (c *centralCounter) pay(bound, used granitehoist.Tokens) bool {
	if bound > c.left {
		return false
	}
	c.left -= used
	c.paid += used
	return true
}

// differentialRun serves the same arrivals by routers over a store and by a counter.
type differentialRun struct {
	store   *standin.Store
	now     time.Time
	boxes   []*box
	starts  int
	limit   granitehoist.Tokens
	random  *rand.Rand
	central centralCounter
	paid    granitehoist.Tokens
	// payable and refused count the tokens of requests that the counter paid,
	// and those of them that the routers refused.
	payable, refused granitehoist.Tokens
}

const (
	differentialBoxes        = 6
	differentialStep         = 10 * time.Millisecond
	differentialSyncInterval = 700 * time.Millisecond
)

func newDifferentialRun(seed uint64, limit granitehoist.Tokens) *differentialRun {
	c := &differentialRun{now: time.Unix(1000, 0), limit: limit, random: rand.New(rand.NewPCG(seed, 7)), central: centralCounter{left: limit}}
	c.store = standin.NewStore(standin.StoreSettings{Clock: c.clock})
	c.boxes = make([]*box, differentialBoxes)
	for i := range c.boxes {
		c.start(i)
	}
	return c
}

func (c *differentialRun) clock() time.Time { return c.now }

// start starts a router, in place of the one on that box if there is one.
func (c *differentialRun) start(i int) {
	c.starts++
	name := "box" + strconv.Itoa(i)
	c.boxes[i] = newBox(name, name+"-"+strconv.Itoa(c.starts), c.store, differentialBoxes, c.clock)
	c.boxes[i].ledger.SetLimit(testWorkspace, c.limit)
	_ = c.boxes[i].sync()
}

// run lets requests arrive for a while, a few boxes getting most of them. A
// router that owns too few tokens asks the store at once.
func (c *differentialRun) run(lasting time.Duration) {
	for end := c.now.Add(lasting); c.now.Before(end); c.now = c.now.Add(differentialStep) {
		if c.now.Sub(time.Unix(1000, 0))%differentialSyncInterval == 0 {
			for _, b := range c.boxes {
				_ = b.sync()
			}
		}
		at := min(c.random.IntN(differentialBoxes), c.random.IntN(differentialBoxes))
		bound := granitehoist.Tokens(500 + c.random.IntN(2500))
		c.arrive(c.boxes[at], bound, bound-granitehoist.Tokens(c.random.IntN(300)))
	}
}

func (c *differentialRun) arrive(b *box, bound, used granitehoist.Tokens) {
	payable := c.central.pay(bound, used)
	if payable {
		c.payable += used
	}
	if !c.reserve(b, bound) {
		if payable {
			c.refused += used
		}
		return
	}
	b.ledger.Settle(testWorkspace, bound, used, c.now)
	c.paid += used
}

// reserve tries again after a sync, with the wish entered as a waiter.
func (c *differentialRun) reserve(b *box, bound granitehoist.Tokens) bool {
	if b.ledger.Reserve(testWorkspace, bound, maxPriority, c.now) {
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if b.syncer.Reserve(ctx, testWorkspace, bound, maxPriority).Outcome == escrow.Granted {
		return true
	}
	_ = b.sync()
	return b.ledger.Reserve(testWorkspace, bound, maxPriority, c.now)
}

// refusedPart is the part of the payable tokens that the routers refused.
func (c *differentialRun) refusedPart() float64 { return float64(c.refused) / float64(c.payable) }

var _ = Describe("Routers beside a naive counter of the same arrivals", func() {
	// Requests need about 175,000 tokens a second; the budget lasts for 60 s.
	const limit = granitehoist.Tokens(10_000_000)
	for _, seed := range []uint64{1, 2} {
		It("strand under 3 % at the end of a budget, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.run(90 * time.Second)
			Expect(c.paid).To(BeNumerically("<=", limit))
			Expect(c.paid).To(BeNumerically(">=", limit*97/100))
			AddReportEntry("refused part", c.refusedPart())
		})

		It("strand under 3 % though all are killed after an outage, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.run(20 * time.Second)
			c.store.Fail(standin.StoreFaults{Down: true})
			c.run(6 * time.Second)
			c.store.Fail(standin.StoreFaults{})
			c.run(2 * time.Second)
			for i := range c.boxes {
				c.start(i)
			}
			c.run(90 * time.Second)
			Expect(c.paid).To(BeNumerically("<=", limit))
			Expect(c.paid).To(BeNumerically(">=", limit*97/100))
		})

		It("pay on through an outage, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.run(20 * time.Second)
			c.store.Fail(standin.StoreFaults{Down: true})
			refused := c.refused
			c.run(6 * time.Second)
			Expect(c.refused - refused).To(BeNumerically("<", 6*175_000/10))
			c.store.Fail(standin.StoreFaults{})
			c.run(90 * time.Second)
			Expect(c.paid).To(BeNumerically("<=", limit))
			Expect(c.paid).To(BeNumerically(">=", limit*97/100))
		})

		It("never pay more while the store loses answers and single ones are killed, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.store.Fail(standin.StoreFaults{LoseEvery: 5})
			for range 12 {
				c.run(5 * time.Second)
				c.start(c.random.IntN(differentialBoxes))
			}
			c.run(30 * time.Second)
			Expect(c.paid).To(BeNumerically("<=", limit))
			Expect(c.paid).To(BeNumerically(">=", limit/2))
		})
	}
})
