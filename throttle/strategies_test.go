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

// The simulation sends requests for one rate-limited upstream to random routers in virtual
// time. All routers know the limit from the start.
const (
	// callLatency is the round-trip time of a call between two routers.
	callLatency = 2 * time.Millisecond
	// maxWait is the longest time that a request waits for a permit.
	maxWait       = 200 * time.Millisecond
	simulatedTime = 40 * time.Second
	// window is the period to which the limit on arrivals applies, after settlingTime.
	window       = 4 * time.Second
	settlingTime = 3 * time.Second
	// overload is the ratio of offered load to the rate limit.
	overload = 4.0
)

// strategy decides when a request that arrives at a router is sent to the upstream. It
// returns false if the request is not sent.
type strategy func(router int, now time.Time) (time.Time, bool)

// result holds the measurements of one simulation run.
type result struct {
	// maxInWindow is the largest number of arrivals in any window, allowed the limit on it.
	maxInWindow int
	allowed     float64
	// utilization is the fraction of the rate that was used after settlingTime.
	utilization float64
	// callsPerSecond is the number of calls between routers a second.
	callsPerSecond float64
}

// simulate runs a strategy under overload and measures the arrivals at the upstream.
func simulate(seed uint64, routers int, rate float64, s strategy) result {
	random := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1000, 0)
	var arrivals []time.Time
	perSecond := overload * math.Max(rate, 1)
	for now := start; now.Before(start.Add(simulatedTime)); now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond)) {
		if at, sent := s(random.IntN(routers), now); sent && at.Sub(start) >= settlingTime {
			arrivals = append(arrivals, at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	r := result{allowed: 1.5*rate*window.Seconds() + 5}
	first := 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		r.maxInWindow = max(r.maxInWindow, last-first+1)
	}
	r.utilization = float64(len(arrivals)) / (rate * (simulatedTime - settlingTime).Seconds())
	return r
}

// fullRateEach limits each router independently to the full rate.
func fullRateEach(_ uint64, routers int, rate float64) strategy {
	return pacedBy(routers, rate, func(int) bool { return true })
}

// pacedBy limits each router that may send to the given rate, without bursts.
func pacedBy(routers int, rate float64, maySend func(router int) bool) strategy {
	next := make([]time.Time, routers)
	return func(router int, now time.Time) (time.Time, bool) {
		if !maySend(router) || now.Before(next[router]) {
			return now, false
		}
		next[router] = now.Add(time.Duration(float64(time.Second) / rate))
		return now, true
	}
}

// fewSenders divides the rate among as many routers as the burst allowance covers when each
// of them starts with one request.
func fewSenders(seed uint64, routers int, rate float64) strategy {
	senders := min(routers, int(rate)+3)
	first := int(seed) % routers
	return pacedBy(routers, rate/float64(senders), func(router int) bool { return (router-first+routers)%routers < senders })
}

// equalShares gives each router an equal share of the rate in every second, rounding
// fractional shares at random.
func equalShares(seed uint64, routers int, rate float64) strategy {
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

// singleIssuer grants permits from one issuer, which each router calls; calls counts these
// calls.
func singleIssuer(calls *int) func(uint64, int, float64) strategy {
	return func(seed uint64, routers int, rate float64) strategy {
		issuer := NewIssuer(Settings{Seed: seed})
		notBefore := make([]time.Time, routers)
		return func(router int, now time.Time) (time.Time, bool) {
			if now.Before(notBefore[router]) {
				return now, false
			}
			*calls++
			grant := issuer.Issue(Request{Incarnation: Incarnation{Upstream: "i-0"}, Rate: rate, MaxWait: maxWait}, now.Add(callLatency/2))
			if grant.Count == 0 {
				notBefore[router] = now.Add(grant.RetryAfter)
				return now, false
			}
			return now.Add(max(callLatency, grant.Due)), true
		}
	}
}

// issuerAndFallback sends half of the routers to an issuer, the other half to a fallback,
// and uses each permit at a random time within its validity.
func issuerAndFallback(seed uint64, _ int, rate float64) strategy {
	first, second := NewIssuer(Settings{Seed: seed}), NewIssuer(Settings{Seed: seed + 1})
	random := rand.New(rand.NewPCG(seed, 13))
	return func(router int, now time.Time) (time.Time, bool) {
		request := Request{Incarnation: Incarnation{Upstream: "i-0"}, Rate: rate, MaxWait: maxWait, Fallback: router%2 == 1}
		issuer := first
		if request.Fallback {
			issuer = second
		}
		grant := issuer.Issue(request, now)
		return now.Add(grant.Due + time.Duration(random.Int64N(int64(Validity)))), grant.Count > 0
	}
}

// TestRateSharingStrategies guards against a strategy in use that exceeds the limit in any
// window or, without a fallback issuer, uses less than 80 % of the rate.
func TestRateSharingStrategies(t *testing.T) {
	const seeds = 20
	calls := 0
	strategies := []struct {
		name string
		make func(seed uint64, routers int, rate float64) strategy
		// inUse marks the strategies that the routers use.
		inUse bool
		// minUtilization is the least fraction of the rate to be used.
		minUtilization float64
	}{
		{name: "full rate at each router", make: fullRateEach},
		{name: "equal shares, randomly rounded", make: equalShares},
		{name: "few senders", make: fewSenders},
		{name: "permits of one issuer", make: singleIssuer(&calls), inUse: true, minUtilization: 0.8},
		{name: "permits of an issuer and a fallback, used late", make: issuerAndFallback, inUse: true},
	}
	for _, s := range strategies {
		for _, routers := range []int{6, 22, 87, 295} {
			for _, rate := range []float64{0.5, 1.6, 10, 100} {
				t.Run(fmt.Sprintf("%s, routers=%d, rate=%g", s.name, routers, rate), func(t *testing.T) {
					calls = 0
					var worst []int
					var utilization float64
					var allowed float64
					for seed := range uint64(seeds) {
						r := simulate(seed, routers, rate, s.make(seed, routers, rate))
						worst, utilization, allowed = append(worst, r.maxInWindow), utilization+r.utilization/seeds, r.allowed
					}
					sort.Ints(worst)
					t.Logf("worst window: median %d, worst %d, allowed %.1f; utilization %.2f; %.2f calls a second",
						worst[seeds/2], worst[seeds-1], allowed, utilization, float64(calls)/seeds/simulatedTime.Seconds())
					if s.inUse && (float64(worst[seeds-1]) > allowed || utilization < s.minUtilization) {
						t.Errorf("worst window above the limit or utilization too low")
					}
				})
			}
		}
	}
}
