// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"granitehoist.example/granitehoist"
)

// TestCeilings guards against grants beyond a ceiling that the store has not held for the
// loss window, which a restored account would not cover.
func TestCeilings(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	inputs := ceilingInputs{remaining: 1000, isRateKnown: true, window: window}
	limit := func(c *ceilings, account *StoredAccount, era granitehoist.Era, after time.Duration) granitehoist.Tokens {
		now := start.Add(after)
		c.observe(account, era, now)
		return c.grantLimit(account, window, now)
	}

	t.Run("the first one counts at once", func(t *testing.T) {
		account, c := &StoredAccount{}, &ceilings{}
		c.announce(account, inputs, start)
		NewWithT(t).Expect(limit(c, account, 1, 0)).To(BeEquivalentTo(500))
	})
	t.Run("a raised one counts after the window", func(t *testing.T) {
		account, c := &StoredAccount{Ceiling: 100, Durable: 100}, &ceilings{}
		g := NewWithT(t)
		c.announce(account, inputs, start)
		g.Expect(limit(c, account, 1, 0)).To(BeEquivalentTo(100))
		g.Expect(limit(c, account, 1, window-1)).To(BeEquivalentTo(100))
		g.Expect(limit(c, account, 1, window)).To(BeEquivalentTo(500))
	})
	t.Run("a lowered one counts at once, and is not raised before the window has passed again", func(t *testing.T) {
		account, c := &StoredAccount{Ceiling: noCeiling, Durable: noCeiling}, &ceilings{}
		g := NewWithT(t)
		g.Expect(limit(c, account, 1, 0)).To(Equal(noCeiling))
		c.announce(account, inputs, start)
		g.Expect(limit(c, account, 1, time.Second)).To(BeEquivalentTo(500))
		bound := inputs
		bound.isBound = true
		g.Expect(bound.needsRaise(account)).To(BeTrue())
		c.announce(account, bound, start)
		g.Expect(limit(c, account, 1, 2*time.Second)).To(BeEquivalentTo(500))
		g.Expect(limit(c, account, 1, 2*time.Second+window)).To(Equal(noCeiling))
	})
	t.Run("one that was lowered and raised unseen counts anew", func(t *testing.T) {
		account, c := &StoredAccount{Ceiling: 700, Durable: 100}, &ceilings{}
		g := NewWithT(t)
		g.Expect(limit(c, account, 1, 0)).To(BeEquivalentTo(100))
		account.Lowerings++
		g.Expect(limit(c, account, 1, window)).To(BeEquivalentTo(100))
		g.Expect(limit(c, account, 1, 2*window)).To(BeEquivalentTo(700))
	})
	t.Run("one of a restored store counts anew", func(t *testing.T) {
		account, c := &StoredAccount{Ceiling: 700, Durable: 100}, &ceilings{}
		g := NewWithT(t)
		g.Expect(limit(c, account, 1, 0)).To(BeEquivalentTo(100))
		g.Expect(limit(c, account, 2, window)).To(BeEquivalentTo(100))
		g.Expect(limit(c, account, 2, 2*window)).To(BeEquivalentTo(700))
	})
	t.Run("one that another router has seen for some time counts earlier", func(t *testing.T) {
		account, first := &StoredAccount{Ceiling: 100, Durable: 100}, &ceilings{}
		g := NewWithT(t)
		g.Expect(limit(first, account, 1, 0)).To(BeEquivalentTo(100))
		first.announce(account, inputs, start)
		g.Expect(limit(first, account, 1, 0)).To(BeEquivalentTo(100))
		first.announce(account, inputs, start.Add(6*time.Second))
		// All routers end, and others start.
		next := &ceilings{}
		const startedAt = 20 * time.Second
		g.Expect(limit(next, account, 1, startedAt)).To(BeEquivalentTo(100))
		g.Expect(limit(next, account, 1, startedAt+window-6*time.Second-1)).To(BeEquivalentTo(100))
		g.Expect(limit(next, account, 1, startedAt+window-6*time.Second)).To(BeEquivalentTo(500))
	})
	t.Run("one that was seen in an earlier era, or before it was lowered, counts anew", func(t *testing.T) {
		for _, change := range []func(*StoredAccount) granitehoist.Era{
			func(*StoredAccount) granitehoist.Era { return 2 },
			func(a *StoredAccount) granitehoist.Era {
				a.Lowerings++
				return 1
			},
		} {
			account := &StoredAccount{Ceiling: 700, Durable: 100, Held: &HeldCeilings{Era: 1, Ceilings: []HeldCeiling{{Total: 700, HeldMS: 9000}}}}
			era := change(account)
			c, g := &ceilings{}, NewWithT(t)
			g.Expect(limit(c, account, era, time.Second)).To(BeEquivalentTo(100))
			g.Expect(limit(c, account, era, time.Second+window-1)).To(BeEquivalentTo(100))
			g.Expect(limit(c, account, era, time.Second+window)).To(BeEquivalentTo(700))
		}
	})
	t.Run("only some of those seen are written, and none is overstated", func(t *testing.T) {
		c, g := &ceilings{}, NewWithT(t)
		account := &StoredAccount{Durable: 1}
		for n := range 100 {
			account.Ceiling = granitehoist.Tokens(10 + n)
			c.observe(account, 1, start.Add(time.Duration(n)*window/100))
		}
		now := start.Add(window - 1)
		held := c.held(window, now)
		g.Expect(len(held.Ceilings)).To(BeNumerically("<=", maxHeldCeilings))
		for _, h := range held.Ceilings {
			seen := start.Add(time.Duration(h.Total-10) * window / 100)
			g.Expect(h.HeldMS).To(BeNumerically("<=", now.Sub(seen).Milliseconds()))
		}
		g.Expect(held.Ceilings[len(held.Ceilings)-1].Total).To(BeEquivalentTo(109))
	})
	t.Run("a restored account counts with it until all rows are written again", func(t *testing.T) {
		account := &StoredAccount{Ceiling: 700, Era: 1, EndedNet: 50, Rows: map[granitehoist.Incarnation]Row{"a": {Granted: 100, Era: 1}, "b": {Granted: 20, Era: 1}}}
		g := NewWithT(t)
		account.noteEra(2)
		g.Expect(account.Outstanding()).To(BeEquivalentTo(700))
		account.reveal(func() { account.Rows["a"] = Row{Granted: 300, Era: 2} })
		account.confirmAll(2)
		g.Expect(account.Outstanding()).To(BeEquivalentTo(700))
		account.reveal(func() { account.Rows["b"] = Row{Granted: 40, Era: 2} })
		account.confirmAll(2)
		g.Expect(account.Outstanding()).To(BeEquivalentTo(390))
	})
}
