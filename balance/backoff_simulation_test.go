// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
)

// In the simulation of TestBackoffStrategies, routers with a table each send requests of
// one service to upstreams that run and queue backoffCapacity requests each. An upstream
// with a full queue rejects the request; a number of them also reject all requests from
// backoffBegin to backoffEnd. A rejection asks for a backoff of backoffRequested, and the
// router retries at another upstream, up to backoffMaxAttempts times.
const (
	backoffUpstreams    = 12
	backoffCapacity     = 8
	backoffMeanDuration = 400 * time.Millisecond
	// backoffHeaderDelay is the time until the response header of an accepted request.
	// Rejections take no time.
	backoffHeaderDelay = 100 * time.Millisecond
	backoffMaxAttempts = 4
	// backoffRetryJitter is the random part of a caller's retry delay, as a fraction of
	// the delay that it was told.
	backoffRetryJitter   = 0.25
	backoffRequested     = 3 * time.Second
	backoffBegin         = 4 * time.Second
	backoffEnd           = 13 * time.Second
	backoffSimulatedTime = 24 * time.Second
	backoffStep          = 2 * time.Millisecond
	backoffGrace         = 500 * time.Millisecond
)

// backoffStrategy is a variant of how routers handle a backoff.
type backoffStrategy struct {
	name string
	// immediate restores the full load of an instance at the end of its backoff.
	immediate bool
	// broadcast applies a backoff requested from one router to all routers.
	broadcast bool
}

// backoffRun is a request accepted by an upstream.
type backoffRun struct {
	lease *Lease
	// elapsed is how long the request has run, duration its total run time.
	elapsed, duration time.Duration
}

// backoffSim is the state of one simulation.
type backoffSim struct {
	strategy   backoffStrategy
	backingOff int
	random     *rand.Rand
	now        time.Time
	tables     []*Table
	running    [backoffUpstreams][]*backoffRun
	waiting    [backoffUpstreams][]*backoffRun
	backoffs   map[int]map[int][]*backoffPeriod
	// rejected holds the requests whose rejection reaches the router in the next step,
	// retrying those that their callers will send again.
	rejected, retrying []*backoffRequest
	// backoffStates holds the states of instances that requested backoff.
	backoffStates []*instanceState
	result        backoffResult
}

// backoffPeriod is a backoff that one upstream requested from one router.
type backoffPeriod struct {
	from, until time.Time
	arrivals    int
}

// backoffResult holds the measurements of one simulation.
type backoffResult struct {
	// served and failed count requests. rejections counts rejected arrivals,
	// rejectionsAfterEnd those at the upstreams in backoff after backoffEnd.
	served, failed, rejections, rejectionsAfterEnd int
	// maxDuringBackoff is the largest number of arrivals from one router during one
	// backoff.
	maxDuringBackoff int
	// recovery is the time from backoffEnd until the upstreams in backoff together run
	// four fifths of their share of requests.
	recovery time.Duration
}

// simulateBackoff runs the simulation.
func simulateBackoff(strategy backoffStrategy, routers, backingOff int, perSecond float64, seed uint64) backoffResult {
	s := &backoffSim{strategy: strategy, backingOff: backingOff, random: rand.New(rand.NewPCG(seed, 1)), now: testTime, backoffs: map[int]map[int][]*backoffPeriod{}}
	for r := range routers {
		t := New(Settings{Seed: seed + uint64(r)})
		for u := range backoffUpstreams {
			t.Announce(Instance{ID: simulatedID(u), Service: "pool", Capacity: backoffCapacity, Version: 1}, testTime)
		}
		s.tables = append(s.tables, t)
	}
	for s.now.Sub(testTime) < backoffSimulatedTime {
		s.now = s.now.Add(backoffStep)
		s.advance()
		s.resend()
		for range poisson(s.random, perSecond*backoffStep.Seconds()) {
			s.send(&backoffRequest{router: s.random.IntN(routers), tried: map[granitehoist.Upstream]bool{}})
		}
		s.recordRecovery()
	}
	for _, byUpstream := range s.backoffs {
		for _, periods := range byUpstream {
			for _, p := range periods {
				s.result.maxDuringBackoff = max(s.result.maxDuringBackoff, p.arrivals)
			}
		}
	}
	return s.result
}

func simulatedID(u int) granitehoist.Upstream { return granitehoist.Upstream(fmt.Sprint(u)) }

// backoffRequest is a request that no upstream has accepted yet.
type backoffRequest struct {
	router int
	tried  map[granitehoist.Upstream]bool
	// lease is the lease of the last rejected attempt.
	lease *Lease
	// retried reports that the caller was refused once. It sends the request again at
	// retryAt.
	retried bool
	retryAt time.Time
}

// send starts an attempt of a request. A rejection reaches the router one step later. A
// refused caller retries once, at a random router, after the delay that it was told.
func (s *backoffSim) send(r *backoffRequest) {
	if len(r.tried) >= backoffMaxAttempts {
		s.result.failed++
		return
	}
	lease, err := s.tables[r.router].Pick(Query{Service: "pool", Routers: len(s.tables), Tried: r.tried}, s.now)
	later, deferred := DeferralOf(err)
	switch {
	case err == nil:
		s.arrive(r, lease)
	case deferred && !r.retried && later.RetryIn > 0:
		wait := later.RetryIn + time.Duration(s.random.Float64()*backoffRetryJitter*float64(later.RetryIn))
		s.retrying = append(s.retrying, &backoffRequest{router: s.random.IntN(len(s.tables)), tried: map[granitehoist.Upstream]bool{}, retried: true, retryAt: s.now.Add(wait)})
	default:
		s.result.failed++
	}
}

// arrive delivers a request to the upstream of a lease.
func (s *backoffSim) arrive(r *backoffRequest, lease *Lease) {
	r.tried[lease.ID] = true
	u, _ := strconv.Atoi(string(lease.ID))
	if s.accepts(r.router, u) {
		s.waiting[u] = append(s.waiting[u], &backoffRun{lease: lease, duration: time.Duration(s.random.ExpFloat64() * float64(backoffMeanDuration))})
		return
	}
	r.lease = lease
	s.rejected = append(s.rejected, r)
}

// resend retries the requests rejected in the previous step, and those whose callers
// retry now.
func (s *backoffSim) resend() {
	before := s.rejected
	s.rejected = nil
	for _, r := range before {
		r.lease.Observe(Feedback{Backoff: backoffRequested}, s.now)
		s.backoffStates = append(s.backoffStates, r.lease.state)
		r.lease.Done(Refused, s.now)
	}
	for _, r := range before {
		s.send(r)
	}
	due := s.retrying
	s.retrying = nil
	for _, r := range due {
		if s.now.Before(r.retryAt) {
			s.retrying = append(s.retrying, r)
			continue
		}
		s.send(r)
	}
}

// accepts counts an arrival at an upstream and reports whether the upstream accepts it.
func (s *backoffSim) accepts(router, u int) bool {
	if s.backoffs[router] == nil {
		s.backoffs[router] = map[int][]*backoffPeriod{}
	}
	for _, p := range s.backoffs[router][u] {
		if s.now.After(p.from) && s.now.Before(p.until) {
			p.arrivals++
		}
	}
	since := s.now.Sub(testTime)
	if !(u < s.backingOff && since >= backoffBegin && since < backoffEnd) && len(s.waiting[u]) < backoffCapacity {
		return true
	}
	s.result.rejections++
	if u < s.backingOff && since >= backoffEnd {
		s.result.rejectionsAfterEnd++
	}
	s.backoffs[router][u] = append(s.backoffs[router][u], &backoffPeriod{from: s.now.Add(backoffGrace), until: s.now.Add(backoffRequested)})
	if s.strategy.broadcast {
		for _, t := range s.tables {
			t.instances[simulatedID(u)].backoff.Extend(backoffRequested, s.now)
		}
	}
	return false
}

// advance runs the upstreams for one step.
func (s *backoffSim) advance() {
	for u := range backoffUpstreams {
		kept := s.running[u][:0]
		for _, r := range s.running[u] {
			r.elapsed += backoffStep
			if r.elapsed >= backoffHeaderDelay {
				r.lease.Observe(Feedback{Accepted: true}, s.now)
			}
			if r.elapsed < r.duration {
				kept = append(kept, r)
				continue
			}
			r.lease.Done(Succeeded, s.now)
			s.result.served++
		}
		s.running[u] = kept
		for len(s.running[u]) < backoffCapacity && len(s.waiting[u]) > 0 {
			s.running[u] = append(s.running[u], s.waiting[u][0])
			s.waiting[u] = s.waiting[u][1:]
		}
	}
	if !s.strategy.immediate {
		return
	}
	kept := s.backoffStates[:0]
	for _, i := range s.backoffStates {
		if i.backoff.Remaining(s.now) > 0 {
			kept = append(kept, i)
			continue
		}
		// A concurrency of zero ends the recovery at once.
		i.backoff.Accepted(s.now, 0)
	}
	s.backoffStates = kept
}

// recordRecovery records when the upstreams in backoff run four fifths of their share.
func (s *backoffSim) recordRecovery() {
	since := s.now.Sub(testTime) - backoffEnd
	if since < 0 || s.result.recovery > 0 {
		return
	}
	all, theirs := 0, 0
	for u := range backoffUpstreams {
		n := len(s.running[u])
		all += n
		if u < s.backingOff {
			theirs += n
		}
	}
	if float64(theirs) >= 0.8*float64(all)*float64(s.backingOff)/backoffUpstreams {
		s.result.recovery = since
	}
}

// TestBackoffStrategies guards against requests sent during a backoff, for each strategy
// that does not broadcast it. It logs load and recovery time for comparison.
func TestBackoffStrategies(t *testing.T) {
	const seeds = 2
	strategies := []backoffStrategy{{name: "gradual recovery"}, {name: "immediate recovery", immediate: true}, {name: "gradual recovery, broadcast", broadcast: true}}
	for _, load := range []struct {
		name       string
		backingOff int
		perSecond  float64
	}{{"one backs off at 90 % load", 1, 216}, {"four back off at 50 % load", 4, 120}, {"all back off at 50 % load", backoffUpstreams, 120}} {
		for _, routers := range []int{6, 22, 87} {
			for _, strategy := range strategies {
				t.Run(fmt.Sprintf("%s, %d routers, %s", load.name, routers, strategy.name), func(t *testing.T) {
					var sum backoffResult
					for seed := range uint64(seeds) {
						o := simulateBackoff(strategy, routers, load.backingOff, load.perSecond, seed)
						sum.served += o.served
						sum.failed += o.failed
						sum.rejections += o.rejections
						sum.rejectionsAfterEnd += o.rejectionsAfterEnd
						sum.maxDuringBackoff = max(sum.maxDuringBackoff, o.maxDuringBackoff)
						sum.recovery += o.recovery
					}
					t.Logf("during a backoff %d, rejected %d, after its end %d, failed %d of %d, recovery %.2f s",
						sum.maxDuringBackoff, sum.rejections/seeds, sum.rejectionsAfterEnd/seeds, sum.failed/seeds, (sum.served+sum.failed)/seeds, sum.recovery.Seconds()/seeds)
					if sum.maxDuringBackoff > 0 && !strategy.broadcast {
						t.Errorf("%d requests from one router during a backoff", sum.maxDuringBackoff)
					}
				})
			}
		}
	}
}
