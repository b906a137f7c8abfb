// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// A router that crashed leaves tokens that it owned and had not used. To give them to others, its
// successor has to know how much the router can have used. Each row therefore states a UseBound,
// which the router obeys from then on: what it has used and something for the next requests,
// growing at its rate of spending, and without a limit from boundExpiry on. So an outage of the
// store, in which nothing can be stated, is served from the whole holding.
//
// The bound is a function of the time since the machine booted. The successor evaluates it at its
// own start, which is after the end of the router, if the machine has not booted since. It must
// not rely on anything that waits with the store, as a lease does, on other routers, which may
// have crashed too, or on the time of day, which may be set.

const (
	// boundExpiry is the age from which a UseBound limits nothing. It exceeds restateAfter by the
	// time of a restart.
	boundExpiry = 5 * time.Second
	// restateAfter is the age of a UseBound from which the router states a new one if it has used
	// tokens since.
	restateAfter = 3 * time.Second
	// statedRequests is the number of requests of the largest maximum cost that a UseBound allows
	// besides its growth, and statedFraction the fraction of the prepaid total that the bounds of
	// all routers allow together if that is more. A burst then waits for no write.
	statedRequests = 1.5
	statedFraction = 0.002
	// minHeadroomPart is the part of the largest request below which the headroom is too small.
	minHeadroomPart = 8
	// bootTolerance is by how much the times of a boot may differ that two processes derive from
	// their readings of two clocks.
	bootTolerance = 100 * time.Millisecond
	// maxBoundRate bounds the rate of a UseBound, so that a sum does not overflow.
	maxBoundRate = 1e12
)

// Boot identifies one run of a machine, from a boot to the next. Two processes have the same time
// since boot only if both fields agree: simulated machines may share the id of their host, and
// processes of one machine may have clocks of their own.
type Boot struct {
	// ID is derived from the kernel's id of the boot; zero if unknown.
	ID uint64 `json:"b,omitempty"`
	// TimeMS is the time of day of the boot in milliseconds since 1970. It changes when the clock
	// is set.
	TimeMS int64 `json:"w,omitempty"`
}

// isSame reports whether two processes ran since the same boot.
func (b Boot) isSame(other Boot) bool {
	difference := time.Duration(b.TimeMS-other.TimeMS) * time.Millisecond
	return b.ID != 0 && b.ID == other.ID && difference.Abs() <= bootTolerance
}

// Machine tells a router's time since its machine booted. The zero value knows none: the router
// then states no bounds, and its own tokens and those of its predecessor are lost in a crash.
type Machine struct {
	Boot Boot
	// Started is the time since boot at a moment at which the process ran.
	Started time.Duration
	// SinceBoot converts the router's time to the time since boot; nil if that is unknown. It may
	// return less, never more.
	SinceBoot func(now time.Time) time.Duration
}

// UseBound states the most tokens that an incarnation can have used at a time. Used tokens are
// those that it owned and that are no longer unreserved: spent, reserved or lent, less borrowed
// ones. The zero value states nothing.
type UseBound struct {
	Boot
	// AtMS is the time since boot of the statement, in milliseconds.
	AtMS int64 `json:"t,omitempty"`
	// Used is the bound at AtMS, and Rate by how much it grows in a second.
	Used granitehoist.Tokens `json:"u,omitempty"`
	Rate granitehoist.Tokens `json:"r,omitempty"`
}

// at returns the bound at a time since boot. It is math.MaxInt64 if there is none.
func (b UseBound) at(sinceBoot time.Duration) granitehoist.Tokens {
	elapsed := sinceBoot.Milliseconds() - b.AtMS
	if b.ID == 0 || elapsed < 0 || elapsed >= boundExpiry.Milliseconds() {
		return math.MaxInt64
	}
	return b.Used + b.Rate*granitehoist.Tokens(elapsed)/1000
}

// usedBy returns how many tokens the incarnation of a row can have used that has ended before the
// machine's time Started. It is all of them if that can't be shown.
func (r Row) usedBy(m Machine) granitehoist.Tokens {
	if !r.Bound.isSame(m.Boot) {
		return r.Net()
	}
	return min(r.Net(), max(0, r.Bound.at(m.Started)))
}

// used returns the used tokens as UseBound defines them.
func (o *owned) used() granitehoist.Tokens { return o.granted - o.returned - o.unreserved() }

// useBounds holds the bounds that a router obeys: the one in the store, and those of later writes
// that may take effect. A successor may see any of them. The zero value limits nothing.
type useBounds struct {
	stated []UseBound
	// usedAt is what had been used when the last one was stated.
	usedAt granitehoist.Tokens
}

// state adds a bound that is about to be written. One that states nothing, since the machine's
// time is unknown, binds nothing.
func (u *useBounds) state(b UseBound, used granitehoist.Tokens) {
	if b.ID == 0 {
		return
	}
	u.stated = append(u.stated, b)
	u.usedAt = used
}

// confirm drops the bounds that were stated before one that the store has.
func (u *useBounds) confirm(inStore UseBound) {
	for i, b := range u.stated {
		if b == inStore {
			u.stated = u.stated[i:]
			return
		}
	}
}

// at returns the lowest of the bounds at a time since boot.
func (u *useBounds) at(sinceBoot time.Duration) granitehoist.Tokens {
	lowest := granitehoist.Tokens(math.MaxInt64)
	for _, b := range u.stated {
		lowest = min(lowest, b.at(sinceBoot))
	}
	return lowest
}

// headroom returns how many tokens the router may still use under its bounds.
func (a *account) headroom(m Machine, now time.Time) granitehoist.Tokens {
	if len(a.bounds.stated) == 0 {
		return math.MaxInt64
	}
	bound := a.bounds.at(m.SinceBoot(now))
	if bound == math.MaxInt64 {
		return bound
	}
	return bound - a.owned.used()
}

// free returns the tokens that a request may reserve or a loan may take.
func (a *account) free(m Machine, now time.Time) granitehoist.Tokens {
	return min(a.owned.free(), a.headroom(m, now))
}

// nextBound returns the bound to be stated at now: what has been used, what the waiting requests
// need and some more, growing at the rate for which the router holds tokens.
func (a *account) nextBound(m Machine, c conditions, target granitehoist.Tokens) UseBound {
	if m.SinceBoot == nil || m.Boot.ID == 0 {
		return UseBound{}
	}
	rate := a.demand.rate.value(c.now)
	if c.cover > 0 {
		rate = max(rate, float64(target)/c.cover.Seconds())
	}
	stated := max(statedRequests*float64(a.demand.largest), statedFraction*float64(a.owned.limit)/float64(c.routers))
	allowed := a.owned.used() + granitehoist.Tokens(stated)
	for _, w := range a.waiters {
		allowed += w.maxCost
	}
	return UseBound{
		Boot: m.Boot, AtMS: m.SinceBoot(c.now).Milliseconds(),
		Used: allowed, Rate: granitehoist.Tokens(min(rate, maxBoundRate)),
	}
}

// mustRestate reports whether a new bound has to be stated: the present ones delay requests that
// the tokens cover or soon will, or are old.
func (a *account) mustRestate(m Machine, now time.Time) bool {
	if len(a.bounds.stated) == 0 {
		return false
	}
	last := a.bounds.stated[len(a.bounds.stated)-1]
	if m.SinceBoot(now)-time.Duration(last.AtMS)*time.Millisecond > restateAfter && a.owned.used() != a.bounds.usedAt {
		return true
	}
	headroom := a.headroom(m, now)
	for _, w := range a.waiters {
		if w.maxCost > headroom && w.maxCost <= a.owned.free() {
			return true
		}
	}
	return headroom < min(a.owned.unreserved(), a.demand.largest/minHeadroomPart)
}
