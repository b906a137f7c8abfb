// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package throttle

import (
	"math/rand/v2"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// An upstream with a limit of rate requests a second must get at most 6 x rate + 5 requests
// in any 4 s, even if a fallback issues permits at the same time. The constants ensure this
// by two bounds:
//
//   - The permits of a grant can be used from Grant.Due until Validity later, and the last
//     one is due at most batchWindow after Grant.Due. A permit is therefore used close to
//     its due time.
//   - The due times of an issuer's permits are at least one interval apart. A permit that
//     is overdue by more than maxLateness plus maxLatenessIntervals intervals is not issued.
//     This bounds the number of overdue permits that are issued at once.
const (
	// Validity is how long the permits of a grant may be used after Grant.Due.
	Validity = 500 * time.Millisecond
	// reducedRateFraction is the fraction of the rate at which a fallback, or an issuer
	// within its startupPeriod, issues permits. With it, an issuer and a fallback together
	// let through at most 5.9 x rate + 3 requests in 4 s; an issuer alone at most 4.7 x
	// rate + 1.5.
	reducedRateFraction = 0.25
	// startupPeriod is how long an issuer issues at the reduced rate after its start. It
	// exceeds the 8 s refresh interval of the node list, since some routers may ask another
	// issuer until they have refreshed their list.
	startupPeriod = 10 * time.Second
	// maxLateness plus maxLatenessIntervals times the interval between permits is how long
	// after its due time a permit can still be issued. Without this tolerance, routers that
	// ask at random times leave part of the rate unused. At a rate of 0.5 a second six
	// routers use 79 % of the rate without it and 90 % with it.
	maxLateness          = 100 * time.Millisecond
	maxLatenessIntervals = 0.5
	// retryJitter is the maximum random part of the retry delay, in permit intervals for
	// each request denied since the last grant, the present one included. It keeps the
	// routers from retrying together for a single permit.
	retryJitter = 0.5
	// batchWindow is the longest time between the due times of the first and the last
	// permit of one grant.
	batchWindow = 100 * time.Millisecond
	// maxBatch is the maximum number of permits in one grant.
	maxBatch = 100
	// minRate, in permits a second, replaces lower rates, including zero. Some requests
	// must be sent to learn from a response that the limit has been lifted. It is far below
	// the 5 requests in 4 s that are allowed at any rate.
	minRate = 0.1
	// idleTimeout is the minimum time for which a schedule is kept after nextDue.
	// It is also the minimum time between two sweeps.
	idleTimeout = time.Minute
)

// Settings configure an Issuer. The zero value works.
type Settings struct {
	// Started is when the router started; zero means that the startup period is over.
	Started time.Time
	// Seed seeds the jitter of the retry delays.
	Seed uint64
}

// Incarnation identifies one incarnation of an upstream. An upstream that restarts under
// the same ID has a different StartedAtMS, its start time in milliseconds since the Unix
// epoch.
type Incarnation struct {
	Upstream    granitehoist.Upstream
	StartedAtMS int64
}

// Request asks for permits for one upstream.
type Request struct {
	Incarnation Incarnation
	// Rate is the limit set by the upstream, in requests a second.
	Rate float64
	// Count is the number of permits wanted; values below one count as one. A grant may
	// have fewer.
	Count int
	// MaxWait is the longest time from the request until the first permit is due;
	// negative values count as zero.
	MaxWait time.Duration
	// Fallback reports that the preferred issuer was unreachable, so that this issuer
	// acts as its fallback.
	Fallback bool
}

// Grant is the response to a Request. Either Count or RetryAfter is positive.
type Grant struct {
	// Count is the number of permits. They are valid from Due until Validity after Due.
	// Due is relative to the time of the request.
	Count int
	Due   time.Duration
	// RetryAfter is the delay after which to ask again if no permit was granted, relative to
	// the request.
	RetryAfter time.Duration
}

// Issuer issues permits for upstreams. It is safe for concurrent use.
type Issuer struct {
	settings Settings

	// mu guards the fields below.
	mu        sync.Mutex
	random    *rand.Rand
	schedules map[Incarnation]*schedule
	// sweptAt is when idle schedules were last removed.
	sweptAt time.Time
}

// schedule tracks the permits of one incarnation of an upstream.
type schedule struct {
	// nextDue is the due time of the next permit. It may be in the past; see firstDue.
	nextDue time.Time
	// denied counts the requests denied since the last grant.
	denied int
}

// NewIssuer returns an Issuer without any schedules.
func NewIssuer(s Settings) *Issuer {
	return &Issuer{settings: s, random: rand.New(rand.NewPCG(s.Seed, 2)), schedules: map[Incarnation]*schedule{}}
}

// Issue grants permits of which the first is due within the request's MaxWait, or returns
// when to retry. A rate below minRate, including zero, negative ones and NaN, counts as
// minRate.
func (i *Issuer) Issue(r Request, now time.Time) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	interval := i.interval(r, now)
	s, found := i.schedules[r.Incarnation]
	if !found {
		s = &schedule{nextDue: now}
		i.schedules[r.Incarnation] = s
	}
	due := s.firstDue(interval, now)
	if wait := due.Sub(now); wait > max(0, r.MaxWait) {
		s.denied++
		jitter := time.Duration(i.random.Float64() * float64(interval) * retryJitter * float64(s.denied))
		return Grant{RetryAfter: wait + jitter}
	}
	s.denied = 0
	grant := Grant{Due: max(0, due.Sub(now))}
	latest := now.Add(grant.Due + batchWindow)
	for at := due; grant.Count < min(max(1, r.Count), maxBatch) && !at.After(latest); at = at.Add(interval) {
		grant.Count++
		s.nextDue = at.Add(interval)
	}
	return grant
}

// firstDue returns the due time of the next permit. Permits overdue by more than the
// tolerance are skipped.
func (s *schedule) firstDue(interval time.Duration, now time.Time) time.Time {
	tolerance := maxLateness + time.Duration(maxLatenessIntervals*float64(interval))
	if earliest := now.Add(-tolerance); s.nextDue.Before(earliest) {
		return earliest
	}
	return s.nextDue
}

// interval returns the time between two permits at the effective rate of the request.
func (i *Issuer) interval(r Request, now time.Time) time.Duration {
	rate := minRate
	if r.Rate > minRate {
		rate = r.Rate
	}
	if r.Fallback || now.Sub(i.settings.Started) < startupPeriod {
		rate *= reducedRateFraction
	}
	return time.Duration(float64(time.Second) / rate)
}

// sweep removes the schedules of idle upstreams, at most once in idleTimeout. The caller
// holds mu.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < idleTimeout {
		return
	}
	i.sweptAt = now
	for incarnation, s := range i.schedules {
		if now.Sub(s.nextDue) > idleTimeout {
			delete(i.schedules, incarnation)
		}
	}
}
