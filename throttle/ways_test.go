// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package throttle

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"
)

// The simulation sends the requests of callers to random routers. All of them want one
// upstream, which names a rate from the beginning on and is known to all routers. It runs
// on a clock of its own; a call between two routers takes callTime.
const (
	callTime = 2 * time.Millisecond
	// maxWait is how long a request waits for a permit, 20 % of a target of 1 s.
	maxWait   = 200 * time.Millisecond
	simulated = 40 * time.Second
	// window is the time of the users' bound, which applies from settled on.
	window  = 4 * time.Second
	settled = 3 * time.Second
	// tooMany is the ratio of the requests that come to those that the upstream takes.
	tooMany = 4.0
)

// way is one way of keeping the rate. It returns when a request that arrives at a router
// is sent, and false if it is not.
type way func(router int, now time.Time) (time.Time, bool)

// outcome is what one run gave.
type outcome struct {
	// worst is the most arrivals in a window, allowed the users' bound.
	worst   int
	allowed float64
	// used is the part of the rate that was used after settled.
	used float64
	// calls is the number of calls between routers a second.
	calls float64
}

// simulate runs a way under load and returns what the upstream got.
func simulate(seed uint64, routers int, rate float64, w way) outcome {
	random := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1000, 0)
	var arrivals []time.Time
	perSecond := tooMany * math.Max(rate, 1)
	for now := start; now.Before(start.Add(simulated)); now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond)) {
		if at, sent := w(random.IntN(routers), now); sent && at.Sub(start) >= settled {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	o := outcome{allowed: 1.5*rate*window.Seconds() + 5}
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		o.worst = max(o.worst, last-first+1)
	}
	o.used = float64(len(arrivals)) / (rate * (simulated - settled).Seconds())
	return o
}

// eachWhole lets each router keep the whole rate by itself.
func eachWhole(_ uint64, routers int, rate float64) way {
	return pacedBy(routers, rate, func(int) bool { return true })
}

// pacedBy lets each router that may send pace itself, at the given rate and without bursts.
func pacedBy(routers int, rate float64, maySend func(router int) bool) way {
	next := make([]time.Time, routers)
	return func(router int, now time.Time) (time.Time, bool) {
		if !maySend(router) || now.Before(next[router]) {
			return now, false
		}
		next[router] = now.Add(time.Duration(float64(time.Second) / rate))
		return now, true
	}
}

// fewSenders lets only so many routers send as the slack of the bound covers if each of
// them begins with one request.
func fewSenders(seed uint64, routers int, rate float64) way {
	senders := min(routers, int(rate)+3)
	first := int(seed) % routers
	return pacedBy(routers, rate/float64(senders), func(router int) bool { return (router-first+routers)%routers < senders })
}

// equalShares gives each router an equal share, drawn anew for each second.
func equalShares(seed uint64, routers int, rate float64) way {
	random := rand.New(rand.NewPCG(seed, 12))
	type state struct {
		phase  time.Duration
		second int64
		left   int
	}
	states := make([]state, routers)
	for i := range states {
		states[i].phase = time.Duration(random.Int64N(int64(time.Second)))
	}
	return func(router int, now time.Time) (time.Time, bool) {
		s := &states[router]
		if second := now.Add(s.phase).Unix(); second != s.second {
			whole, part := math.Modf(rate / float64(routers))
			s.second, s.left = second, int(whole)
			if random.Float64() < part {
				s.left++
			}
		}
		s.left--
		return now, s.left >= 0
	}
}

// onePermits lets one router issue permits, for which the others call it. calls counts
// the calls.
func onePermits(calls *int) func(uint64, int, float64) way {
	return func(seed uint64, routers int, rate float64) way {
		issuer := NewIssuer(Settings{Seed: seed})
		notBefore := make([]time.Time, routers)
		return func(router int, now time.Time) (time.Time, bool) {
			if now.Before(notBefore[router]) {
				return now, false
			}
			*calls++
			grant := issuer.Issue(Request{Life: Life{Upstream: "i-0"}, Rate: rate, Within: maxWait}, now.Add(callTime/2))
			if grant.Count == 0 {
				notBefore[router] = now.Add(grant.Retry)
				return now, false
			}
			return now.Add(max(callTime, grant.Due)), true
		}
	}
}

// twoIssuers lets half of the routers ask an issuer and the others one that stands in for
// it, and uses each permit at a random moment of its validity.
func twoIssuers(seed uint64, _ int, rate float64) way {
	first, second := NewIssuer(Settings{Seed: seed}), NewIssuer(Settings{Seed: seed + 1})
	random := rand.New(rand.NewPCG(seed, 13))
	return func(router int, now time.Time) (time.Time, bool) {
		request := Request{Life: Life{Upstream: "i-0"}, Rate: rate, Within: maxWait, StandsIn: router%2 == 1}
		issuer := first
		if request.StandsIn {
			issuer = second
		}
		grant := issuer.Issue(request, now)
		return now.Add(grant.Due + time.Duration(random.Int64N(int64(Validity)))), grant.Count > 0
	}
}

// TestWays compares ways of keeping a rate that no router sees whole. It prints the worst
// window, the part of the rate that is used, and the calls for it, and checks those of the
// way that is kept: the bound is never passed, and four fifths are used.
func TestWays(t *testing.T) {
	const seeds = 20
	calls := 0
	ways := []struct {
		name string
		make func(seed uint64, routers int, rate float64) way
		kept bool
		// uses is the part of the rate that has to be used.
		uses float64
	}{
		{name: "the whole rate at each", make: eachWhole},
		{name: "equal shares, drawn", make: equalShares},
		{name: "few senders", make: fewSenders},
		{name: "permits of one issuer", make: onePermits(&calls), kept: true, uses: 0.8},
		{name: "permits of an issuer and a stand-in, used late", make: twoIssuers, kept: true},
	}
	for _, w := range ways {
		for _, routers := range []int{6, 22, 87, 295} {
			for _, rate := range []float64{0.5, 1.6, 10, 100} {
				t.Run(fmt.Sprintf("%s, routers=%d, rate=%g", w.name, routers, rate), func(t *testing.T) {
					calls = 0
					var worst []int
					var used float64
					var allowed float64
					for seed := range uint64(seeds) {
						o := simulate(seed, routers, rate, w.make(seed, routers, rate))
						worst, used, allowed = append(worst, o.worst), used+o.used/seeds, o.allowed
					}
					sort.Ints(worst)
					t.Logf("worst window: median %d, worst %d, allowed %.1f; used %.2f; %.2f calls a second",
						worst[seeds/2], worst[seeds-1], allowed, used, float64(calls)/seeds/simulated.Seconds())
					if w.kept && (float64(worst[seeds-1]) > allowed || used < w.uses) {
						t.Errorf("the bound or the use is missed")
					}
				})
			}
		}
	}
}
