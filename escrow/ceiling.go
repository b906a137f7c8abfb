// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// A store that was restored from an older copy of itself has lost the grants since that
// copy. Each account therefore states a ceiling, and nothing is granted beyond a ceiling
// that the store has held for the loss window. So a restored account still states the most
// that had been granted, and counts with that until all incarnations have written their
// rows again and each listed box has confirmed the record.

const (
	// DefaultLossWindow is the greatest age of the copies from which the store is expected
	// to return.
	DefaultLossWindow = 15 * time.Second
	// NoLossWindow means that the store is expected to lose nothing.
	NoLossWindow = time.Duration(-1)
	// noCeiling is the ceiling of an account that only the prepaid total limits.
	noCeiling granitehoist.Tokens = 1 << 52
)

// ceilings tracks how long the store has held the ceilings of one workspace. The zero value
// knows none. Ledger.mu guards it.
type ceilings struct {
	// since identifies the ceilings to which the other fields belong: they have not been
	// lowered or lost since then.
	since ceilingEpoch
	// durable is the highest ceiling that the store has held for the loss window.
	durable granitehoist.Tokens
	// observed holds the higher ceilings that the store holds, in ascending order and in the
	// order of time.
	observed []observedCeiling
}

// ceilingEpoch identifies a time in which the ceiling of an account only rises.
type ceilingEpoch struct {
	era granitehoist.Era
	// lowerings is StoredAccount.Lowerings.
	lowerings int
}

// observedCeiling is a ceiling and since when this router knows that the store holds it.
type observedCeiling struct {
	total granitehoist.Tokens
	since time.Time
}

// observe records the ceilings of an account as the store holds it in an era. It forgets
// those that were lost or lowered.
func (c *ceilings) observe(account *StoredAccount, era granitehoist.Era, now time.Time) {
	if epoch := (ceilingEpoch{era, account.Lowerings}); epoch != c.since {
		*c = ceilings{since: epoch}
	}
	c.durable = max(c.durable, account.Durable)
	if h := account.Held; h != nil && c.since == (ceilingEpoch{h.Era, h.Lowerings}) {
		for _, held := range h.Ceilings {
			// The account was written before now, and the ceiling held for longer by then.
			c.note(observedCeiling{held.Total, now.Add(-time.Duration(held.HeldMS) * time.Millisecond)})
		}
	}
	c.note(observedCeiling{account.Ceiling, now})
}

// note adds a ceiling that the store holds. A ceiling covers those below it.
func (c *ceilings) note(added observedCeiling) {
	covers := func(a, b observedCeiling) bool { return a.total >= b.total && !a.since.After(b.since) }
	if added.total <= c.durable || slices.ContainsFunc(c.observed, func(o observedCeiling) bool { return covers(o, added) }) {
		return
	}
	c.observed = slices.DeleteFunc(c.observed, func(o observedCeiling) bool { return covers(added, o) })
	i, _ := slices.BinarySearchFunc(c.observed, added, func(a, b observedCeiling) int { return cmp.Compare(a.total, b.total) })
	c.observed = slices.Insert(c.observed, i, added)
}

// maxHeldCeilings is the number of ceilings in a HeldCeilings. The loss window is divided into
// as many parts, and of the ceilings that were first seen in one of them the highest counts.
const maxHeldCeilings = 4

// held returns for how long the store has held ceilings that are not durable, as known at now,
// nil if there are none. Another router, or this one after a restart, then need not wait for
// the whole window again.
func (c *ceilings) held(window time.Duration, now time.Time) *HeldCeilings {
	if len(c.observed) == 0 {
		return nil
	}
	h := &HeldCeilings{Era: c.since.era, Lowerings: c.since.lowerings}
	last := -1
	for _, o := range c.observed {
		age := max(0, now.Sub(o.since))
		held := HeldCeiling{Total: o.total, HeldMS: age.Milliseconds()}
		part := int(age * maxHeldCeilings / window)
		if part != last {
			h.Ceilings = append(h.Ceilings, held)
			last = part
			continue
		}
		h.Ceilings[len(h.Ceilings)-1] = held
	}
	return h
}

// advance updates durable to now.
func (c *ceilings) advance(window time.Duration, now time.Time) {
	for len(c.observed) > 0 && now.Sub(c.observed[0].since) >= window {
		c.durable = max(c.durable, c.observed[0].total)
		c.observed = c.observed[1:]
	}
}

// grantLimit returns how much more may be granted to all incarnations. An account without a
// ceiling is new, or was written by an older build, and has no limit.
func (c *ceilings) grantLimit(account *StoredAccount, window time.Duration, now time.Time) granitehoist.Tokens {
	if window <= 0 || account.Ceiling == 0 {
		return math.MaxInt64
	}
	c.advance(window, now)
	return max(0, c.durable-account.Outstanding())
}

// announce changes the ceilings of an account that is about to be written at now. A raised ceiling
// counts once the store has held it for the loss window, but the first one and a lowered one
// at once: all grants are writes of the record that states them.
func (c *ceilings) announce(account *StoredAccount, i ceilingInputs, now time.Time) {
	if i.window <= 0 {
		return
	}
	account.Held = c.held(i.window, now)
	wanted := min(noCeiling, account.Outstanding()+i.headroom())
	account.Durable = max(account.Durable, c.durable)
	switch {
	case account.Ceiling == 0:
		account.Ceiling, account.Durable = wanted, wanted
	case wanted > account.Ceiling:
		account.Ceiling = wanted
	case account.Durable >= account.Ceiling && float64(account.Ceiling-account.Outstanding()) > highHeadroom*float64(i.headroom()):
		account.Ceiling, account.Durable = wanted, wanted
		account.Lowerings++
		account.Held = nil
	}
}
