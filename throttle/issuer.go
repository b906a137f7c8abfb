// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package throttle

import (
	"math/rand/v2"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// The users allow an upstream 6 x rate + 5 requests in any 4 s. A permit is used up to
// Validity after it is due, and those due in the same time are at most its rate times
// that time and the lateTime, half a permit for lateInterval, and one. So an issuer alone
// lets through at most 4.7 x rate + 1.5 in 4 s, and together with one that stands in for it,
// at a quarter of the rate, 5.9 x rate + 3.
const (
	// Validity is how long after it is due a permit may be used.
	Validity = 500 * time.Millisecond
	// partOfRate is the part of the rate at which an issuer issues that stands in for
	// another or has just started.
	partOfRate = 0.25
	// startTime is for how long an issuer counts as one that has just started: a list of
	// nodes is read every 8 s, so that some routers ask another issuer until then.
	startTime = 10 * time.Second
	// lateTime and lateInterval are how long a permit that nobody asked for when it was
	// due can still be issued: lateTime and that part of the time between two permits.
	// With none of it routers that ask at random moments use 79 % of a rate of 0.5 a
	// second (TestWays, 6 routers), with it 90 %.
	lateTime     = 100 * time.Millisecond
	lateInterval = 0.5
	// retrySpread times the requests without a permit since the last one is over how many
	// permits those that were told to wait are spread: all routers would otherwise come
	// back together for one permit.
	retrySpread = 0.5
	// batchTime is how far behind the first of a batch its other permits may be due.
	batchTime = 100 * time.Millisecond
	// maxBatch bounds the permits of one grant.
	maxBatch = 100
	// minRate is what an upstream gets that names less, zero included: without any
	// request no answer would tell when its need is over. The users' bound allows 5
	// requests in 4 s whatever the rate; chosen far below that.
	minRate = 0.1
	// forgetAfter is how long an upstream is remembered after its last permit was due.
	forgetAfter = time.Minute
)

// Settings configure an Issuer. The zero value works.
type Settings struct {
	// Started is when the router started; zero means long ago.
	Started time.Time
	// Seed seeds the times at which routers are told to ask again.
	Seed uint64
}

// Life is one life of an upstream: one that starts again under its ID has another Born.
type Life struct {
	Upstream granitehoist.Upstream
	Born     int64
}

// Request asks for permits.
type Request struct {
	Life Life
	// Rate is the number of requests a second that the upstream takes.
	Rate float64
	// Count is the number of permits that can be used; below one counts as one.
	Count int
	// Within bounds how far ahead of the request the first permit may be due.
	Within time.Duration
	// StandsIn says that the issuer which all routers prefer could not be reached.
	StandsIn bool
}

// Grant is the answer to a Request. Either Count is positive or Retry is.
type Grant struct {
	// Count is the number of permits, all of which may be used from Due on, counted from
	// the request, and until Validity after it.
	Count int
	Due   time.Duration
	// Retry is when to ask again if there is no permit, counted from the request.
	Retry time.Duration
}

// Issuer issues permits for upstreams. It is safe for concurrent use.
type Issuer struct {
	settings Settings

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	paces  map[Life]*pace
	// sweptAt is when paces was last swept.
	sweptAt time.Time
}

// pace is when the permits of one upstream are due.
type pace struct {
	// next is when the next permit is due if all are used.
	next time.Time
	// denied counts the requests without a permit since the last one that got some.
	denied int
}

// NewIssuer returns an Issuer that has issued nothing.
func NewIssuer(s Settings) *Issuer {
	return &Issuer{settings: s, random: rand.New(rand.NewPCG(s.Seed, 2)), paces: map[Life]*pace{}}
}

// Issue decides how many permits a router gets, from when on, or when it asks again. A
// rate that is no number or negative counts as zero.
func (i *Issuer) Issue(r Request, now time.Time) Grant {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sweep(now)
	interval := i.interval(r, now)
	p, found := i.paces[r.Life]
	if !found {
		p = &pace{next: now}
		i.paces[r.Life] = p
	}
	due := p.firstDue(interval, now)
	if wait := due.Sub(now); wait > max(0, r.Within) {
		p.denied++
		spread := time.Duration(i.random.Float64() * float64(interval) * retrySpread * float64(p.denied))
		return Grant{Retry: wait + spread}
	}
	p.denied = 0
	grant := Grant{Due: max(0, due.Sub(now))}
	latest := now.Add(grant.Due + batchTime)
	for at := due; grant.Count < min(max(1, r.Count), maxBatch) && !at.After(latest); at = at.Add(interval) {
		grant.Count++
		p.next = at.Add(interval)
	}
	return grant
}

// firstDue returns when the first permit of a request is due. Of those that nobody asked
// for it leaves out the ones that are too late.
func (p *pace) firstDue(interval time.Duration, now time.Time) time.Time {
	late := lateTime + time.Duration(lateInterval*float64(interval))
	if earliest := now.Add(-late); p.next.Before(earliest) {
		return earliest
	}
	return p.next
}

// interval returns the time from one permit to the next.
func (i *Issuer) interval(r Request, now time.Time) time.Duration {
	rate := minRate
	if r.Rate > minRate {
		rate = r.Rate
	}
	if r.StandsIn || now.Sub(i.settings.Started) < startTime {
		rate *= partOfRate
	}
	return time.Duration(float64(time.Second) / rate)
}

// sweep forgets upstreams that nobody asks for. The caller holds mu.
func (i *Issuer) sweep(now time.Time) {
	if now.Sub(i.sweptAt) < forgetAfter {
		return
	}
	i.sweptAt = now
	for life, p := range i.paces {
		if now.Sub(p.next) > forgetAfter {
			delete(i.paces, life)
		}
	}
}
