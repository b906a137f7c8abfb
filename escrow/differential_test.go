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

// centralCounter is the reference: one counter for all requests, without a network,
// losses or outages.
type centralCounter struct {
	remaining, spent granitehoist.Tokens
}

func (c *centralCounter) spend(maxCost, used granitehoist.Tokens) bool {
	if maxCost > c.remaining {
		return false
	}
	c.remaining -= used
	c.spent += used
	return true
}

// differentialRun serves the same requests by routers over a store and by a central
// counter.
type differentialRun struct {
	store   *standin.Store
	now     time.Time
	boxes   []*box
	starts  int
	limit   granitehoist.Tokens
	random  *rand.Rand
	central centralCounter
	spent   granitehoist.Tokens
	// accepted and refused count the tokens of requests that the counter accepted, and
	// those of them that the routers refused.
	accepted, refused granitehoist.Tokens
}

const (
	differentialBoxes        = 6
	differentialStep         = 10 * time.Millisecond
	differentialSyncInterval = 700 * time.Millisecond
)

func newDifferentialRun(seed uint64, limit granitehoist.Tokens) *differentialRun {
	c := &differentialRun{now: time.Unix(1000, 0), limit: limit, random: rand.New(rand.NewPCG(seed, 7)), central: centralCounter{remaining: limit}}
	c.store = standin.NewStore(standin.StoreSettings{Clock: c.clock})
	c.boxes = make([]*box, differentialBoxes)
	for i := range c.boxes {
		c.start(i)
	}
	return c
}

func (c *differentialRun) clock() time.Time { return c.now }

// start starts a router, which replaces the one on that box if there is one.
func (c *differentialRun) start(i int) {
	c.starts++
	name := "box" + strconv.Itoa(i)
	c.boxes[i] = newBox(name, name+"-"+strconv.Itoa(c.starts), c.store, differentialBoxes, c.clock)
	c.boxes[i].ledger.SetLimit(testWorkspace, c.limit)
	_ = c.boxes[i].sync()
}

// run sends requests for a duration, most of them to a few boxes. A router that owns too
// few tokens syncs at once.
func (c *differentialRun) run(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(differentialStep) {
		if c.now.Sub(time.Unix(1000, 0))%differentialSyncInterval == 0 {
			for _, b := range c.boxes {
				_ = b.sync()
			}
		}
		target := min(c.random.IntN(differentialBoxes), c.random.IntN(differentialBoxes))
		maxCost := granitehoist.Tokens(500 + c.random.IntN(2500))
		c.request(c.boxes[target], maxCost, maxCost-granitehoist.Tokens(c.random.IntN(300)))
	}
}

func (c *differentialRun) request(b *box, maxCost, used granitehoist.Tokens) {
	accepted := c.central.spend(maxCost, used)
	if accepted {
		c.accepted += used
	}
	if !c.reserve(b, maxCost) {
		if accepted {
			c.refused += used
		}
		return
	}
	b.ledger.Settle(testWorkspace, maxCost, used, c.now)
	c.spent += used
}

// reserve tries again after a sync with the request among the waiters.
func (c *differentialRun) reserve(b *box, maxCost granitehoist.Tokens) bool {
	if b.ledger.Reserve(testWorkspace, maxCost, maxPriority, c.now) {
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if b.syncer.Reserve(ctx, testWorkspace, maxCost, maxPriority).Outcome == escrow.Granted {
		return true
	}
	_ = b.sync()
	return b.ledger.Reserve(testWorkspace, maxCost, maxPriority, c.now)
}

// refusedFraction returns the fraction of the accepted tokens that the routers refused.
func (c *differentialRun) refusedFraction() float64 { return float64(c.refused) / float64(c.accepted) }

var _ = Describe("Routers compared to a central counter of the same requests", func() {
	// Requests need about 175,000 tokens a second; the budget lasts for 60 s.
	const limit = granitehoist.Tokens(10_000_000)
	for _, seed := range []uint64{1, 2} {
		It("strand under 3 % at the end of a budget, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.run(90 * time.Second)
			Expect(c.spent).To(BeNumerically("<=", limit))
			Expect(c.spent).To(BeNumerically(">=", limit*97/100))
			AddReportEntry("refused part", c.refusedFraction())
		})

		It("strand under 3 % although all crash after an outage, seed "+strconv.FormatUint(seed, 10), func() {
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
			Expect(c.spent).To(BeNumerically("<=", limit))
			Expect(c.spent).To(BeNumerically(">=", limit*97/100))
		})

		It("serve most requests during an outage, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.run(20 * time.Second)
			c.store.Fail(standin.StoreFaults{Down: true})
			refused := c.refused
			c.run(6 * time.Second)
			Expect(c.refused - refused).To(BeNumerically("<", 6*175_000/10))
			c.store.Fail(standin.StoreFaults{})
			c.run(90 * time.Second)
			Expect(c.spent).To(BeNumerically("<=", limit))
			Expect(c.spent).To(BeNumerically(">=", limit*97/100))
		})

		It("never overspend while the store loses responses and routers crash, seed "+strconv.FormatUint(seed, 10), func() {
			c := newDifferentialRun(seed, limit)
			c.store.Fail(standin.StoreFaults{LoseEvery: 5})
			for range 12 {
				c.run(5 * time.Second)
				c.start(c.random.IntN(differentialBoxes))
			}
			c.run(30 * time.Second)
			Expect(c.spent).To(BeNumerically("<=", limit))
			Expect(c.spent).To(BeNumerically(">=", limit/2))
		})
	}
})
