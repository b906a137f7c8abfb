// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package measure

import (
	"time"

	"granitehoist.example/granitehoist"
)

// counters is the state that the baselines share: what each box may spend and
// has spent, reservations included.
type counters struct {
	*run
	// may and used are by budget, region and box.
	may, used [][2][]granitehoist.Tokens
	lost      granitehoist.Tokens
	// deadParts is what killed boxes had of each budget; it counts as spent.
	deadParts []granitehoist.Tokens
}

func (c *counters) start(r *run) {
	c.run = r
	c.may = newCounters(r)
	c.used = newCounters(r)
	c.deadParts = make([]granitehoist.Tokens, len(r.load.budgets))
}

func newCounters(r *run) [][2][]granitehoist.Tokens {
	counters := make([][2][]granitehoist.Tokens, len(r.load.budgets))
	for i := range counters {
		for region := range counters[i] {
			counters[i][region] = make([]granitehoist.Tokens, r.settings.BoxesPerRegion)
		}
	}
	return counters
}

// arrive admits a request that the box's own share pays for.
func (c *counters) arrive(i int) {
	a := c.load.arrivals[i]
	region, box := c.served[i][0], c.served[i][1]
	if c.used[a.budget][region][box]+a.bound > c.may[a.budget][region][box] {
		c.refuse(i)
		return
	}
	c.used[a.budget][region][box] += a.bound
	c.admit(i)
}

func (c *counters) finish(i int) {
	a := c.load.arrivals[i]
	c.used[a.budget][c.served[i][0]][c.served[i][1]] += a.cost - a.bound
}

// kill loses what the box had left, for it can't be known what it spent.
func (c *counters) kill(region, box int) {
	for b := range c.may {
		c.lost += c.may[b][region][box] - c.used[b][region][box]
		c.deadParts[b] += c.may[b][region][box]
		c.may[b][region][box] = 0
		c.used[b][region][box] = 0
	}
}

func (c *counters) replace(int, int)             {}
func (c *counters) storeCalls() int              { return 0 }
func (c *counters) inDoubt() granitehoist.Tokens { return c.lost }

// evenSplit gives each box the same part of each budget, once.
type evenSplit struct{ counters }

func (s *evenSplit) start(r *run) {
	s.counters.start(r)
	boxes := granitehoist.Tokens(2 * r.settings.BoxesPerRegion)
	for b, prepaid := range r.load.prepaid {
		for region := range s.may[b] {
			for box := range s.may[b][region] {
				s.may[b][region][box] = prepaid / boxes
			}
		}
	}
}

// pastSplit divides what is left of each budget anew each minute, by what each
// box spent in the minute before; a box that it can't reach keeps its part.
type pastSplit struct {
	counters
	before [][2][]granitehoist.Tokens
	calls  int
}

const pastInterval = time.Minute

func (s *pastSplit) start(r *run) {
	s.counters.start(r)
	s.before = newCounters(r)
	for b := range s.may {
		s.divide(b)
	}
	s.after(pastInterval, s.tick)
}

func (s *pastSplit) tick() {
	for b := range s.may {
		s.divide(b)
	}
	s.after(pastInterval, s.tick)
}

// divide shares out what the reachable boxes have left of a budget.
func (s *pastSplit) divide(b int) {
	pool := s.load.prepaid[b]
	weight := 0.0
	for region := range s.may[b] {
		for box := range s.may[b][region] {
			if s.reaches(region) {
				pool -= s.used[b][region][box]
				weight += s.weight(b, region, box)
			} else {
				pool -= s.may[b][region][box]
			}
		}
	}
	pool -= s.deadParts[b]
	for region := range s.may[b] {
		for box := range s.may[b][region] {
			if !s.reaches(region) {
				continue
			}
			s.calls += 2
			part := granitehoist.Tokens(float64(max(0, pool)) * s.weight(b, region, box) / weight)
			s.may[b][region][box] = s.used[b][region][box] + part
			s.before[b][region][box] = s.used[b][region][box]
		}
	}
}

// weight is what a box spent in the last interval, and a little for boxes that
// spent nothing.
func (s *pastSplit) weight(b, region, box int) float64 {
	return float64(s.used[b][region][box]-s.before[b][region][box]) + meanCost
}

func (s *pastSplit) reaches(region int) bool { return s.storeReachable(region) }

func (s *pastSplit) storeCalls() int { return s.calls }

// unsafeCounter lets each box spend by its own copy of a counter that is
// synchronised each second. It overspends.
type unsafeCounter struct {
	*run
	// seen is each box's copy of the total, and own what it has spent since.
	seen, own [][2][]granitehoist.Tokens
	total     []granitehoist.Tokens
	calls     int
}

const unsafeInterval = time.Second

func (u *unsafeCounter) start(r *run) {
	u.run = r
	u.seen = newCounters(r)
	u.own = newCounters(r)
	u.total = make([]granitehoist.Tokens, len(r.load.budgets))
	u.after(unsafeInterval, u.tick)
}

func (u *unsafeCounter) tick() {
	for b := range u.total {
		for region := range u.own[b] {
			if u.storeReachable(region) {
				u.synchronise(b, region)
			}
		}
	}
	u.after(unsafeInterval, u.tick)
}

func (u *unsafeCounter) synchronise(b, region int) {
	for box := range u.own[b][region] {
		u.calls += 2
		u.total[b] += u.own[b][region][box]
		u.own[b][region][box] = 0
	}
	for box := range u.seen[b][region] {
		u.seen[b][region][box] = u.total[b]
	}
}

func (u *unsafeCounter) arrive(i int) {
	a := u.load.arrivals[i]
	region, box := u.served[i][0], u.served[i][1]
	if u.seen[a.budget][region][box]+u.own[a.budget][region][box]+a.bound > u.load.prepaid[a.budget] {
		u.refuse(i)
		return
	}
	u.own[a.budget][region][box] += a.bound
	u.admit(i)
}

func (u *unsafeCounter) finish(i int) {
	a := u.load.arrivals[i]
	u.own[a.budget][u.served[i][0]][u.served[i][1]] += a.cost - a.bound
}

func (u *unsafeCounter) kill(region, box int) {
	for b := range u.own {
		u.own[b][region][box] = 0
	}
}

func (u *unsafeCounter) replace(int, int)             {}
func (u *unsafeCounter) storeCalls() int              { return u.calls }
func (u *unsafeCounter) inDoubt() granitehoist.Tokens { return 0 }
