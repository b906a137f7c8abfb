// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/exchange"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/suspect"
)

// The other bounds on attempts (the route's number of attempts, the retry budget, the
// instances tried) cover one request id. A request that crashes the instances that run it
// is repeated under new ids, at any router, and only its content identifies it. Each
// crash under an attempt is therefore recorded under the request's digest for all routers,
// and each request is checked against that before it is sent.

// suspicion is the evidence against a request when it was last looked up.
type suspicion struct {
	// digest is the request's; the zero Digest if it was not needed yet.
	digest  suspect.Digest
	verdict suspect.Verdict
	// scope is the digest of its workspace's traffic on its route, ofScope the verdict on
	// all of that.
	scope   suspect.Digest
	ofScope suspect.Verdict
}

// isSuspect reports whether there is evidence against the request or its scope.
func (s *suspicion) isSuspect() bool { return s.verdict.Round > 0 || s.ofScope.Round > 0 }

// hold returns how long the request must not be sent yet.
func (s *suspicion) hold() time.Duration { return s.longestHold().Hold }

// longestHold returns the verdict that holds the request for longer.
func (s *suspicion) longestHold() suspect.Verdict {
	if s.ofScope.Hold > s.verdict.Hold {
		return s.ofScope
	}
	return s.verdict
}

// checkSuspicion looks up the evidence against the request. It returns an error with code
// CrashesUpstreams if the request is refused. While there is no evidence against any
// request it costs one atomic read, 0.2 ns (BenchmarkAnyWithoutSuspects).
func (a *activeRequest) checkSuspicion() error {
	table := a.forwarder.settings.Suspects
	if !table.Any() || !a.setDigest() {
		a.progress.suspicion.verdict, a.progress.suspicion.ofScope = suspect.Verdict{}, suspect.Verdict{}
		return nil
	}
	now := a.forwarder.settings.Clock()
	s := &a.progress.suspicion
	s.verdict = table.Lookup(s.digest, now)
	s.ofScope = table.Lookup(s.scope, now)
	switch {
	case s.verdict.Refused:
		return s.verdict.Refusal()
	case s.ofScope.Refused:
		return s.ofScope.Refusal()
	}
	return nil
}

// awaitSettled checks the request as checkSuspicion does, and holds it while what made
// upstreams crash under it may be under way (suspect.Verdict.Hold), for holdPart of the
// route's target at most. One that is to be held for longer is refused, as not run.
func (a *activeRequest) awaitSettled(ctx context.Context) error {
	most := max(minHold, time.Duration(holdPart*float64(a.admission.route.Target)))
	return a.await(ctx, min(most, a.timeLeft()), func(time.Time) (*obstacle, error) {
		if err := a.checkSuspicion(); err != nil {
			return nil, err
		}
		s := &a.progress.suspicion
		if s.hold() <= 0 {
			return nil, nil
		}
		return &obstacle{left: s.hold(), refusal: func() error { return s.longestHold().HoldRefusal() }}, nil
	})
}

const (
	// holdPart is the part of the route's target for which a request is held at most: two
	// rounds of the routes with the shortest targets, 0.3 s.
	holdPart = 0.5
	// minHold is the longest hold on routes without a target.
	minHold = 400 * time.Millisecond
)

// pickRunning chooses the instance of the next attempt. For a suspect request it checks
// first that the instance runs: after a loss of power each run at an instance that had
// ended before would otherwise look like one more crash under the request. That costs a
// connection for each attempt of a suspect, and keepsTime of package exchange.
func (a *activeRequest) pickRunning(ctx context.Context) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	for {
		lease, err := a.pick(ctx)
		if err != nil || !a.progress.suspicion.isSuspect() || !settings.Pool.IsDown(ctx, lease.Address) {
			return lease, err
		}
		now := settings.Clock()
		a.progress.tried[lease.ID] = true
		lease.Done(balance.Broken, now)
		settings.Suspects.NoteDown(suspect.LifeOf(lease.ID, lease.Born), now)
	}
}

// setDigest computes the request's digest, once, and reports whether there is one.
func (a *activeRequest) setDigest() bool {
	if a.progress.suspicion.digest != (suspect.Digest{}) {
		return true
	}
	facts := suspect.Facts{
		Method: a.request.Method,
		Host:   a.request.Host,
		Target: a.request.Target,
		Body:   a.request.Body,
	}
	if a.admission.workspace != nil {
		facts.Workspace = a.admission.workspace.Name
	}
	digest, known := a.forwarder.settings.Suspects.Digest(&facts)
	a.progress.suspicion.digest = digest
	scope := suspect.Scope{Workspace: facts.Workspace, Route: string(a.admission.route.Name)}
	a.progress.suspicion.scope, _ = a.forwarder.settings.Suspects.ScopeDigest(scope)
	return known
}

// pin returns the number by which all routers choose the same instance for a suspect
// request, and zero for others. Until the routers have each other's evidence, copies of
// one suspect then crash one instance instead of one each: in a simulation of 87 routers
// and 20 callers 6 upstreams crash instead of 8 (median, BenchmarkWays). Two suspects
// mostly run at different instances, so that a crash under one is no evidence against the
// other.
func (a *activeRequest) pin() uint64 {
	s := &a.progress.suspicion
	switch {
	case s.verdict.Round > 0:
		return s.digest.Hash()
	case s.ofScope.Round > 0:
		return s.scope.Hash()
	}
	return 0
}

// noteEvidence records that an attempt succeeded, or that the instance crashed under it. A
// complete failure of the instance is neither: an instance that fails every request would
// otherwise clear them all.
func (a *activeRequest) noteEvidence(ctx context.Context, lease *balance.Lease, result *attemptResult) {
	settings := &a.forwarder.settings
	switch {
	case result.err == nil && result.status < http.StatusMultipleChoices:
		if settings.Suspects.Any() && a.setDigest() {
			now := settings.Clock()
			settings.Suspects.NoteSuccess(a.progress.suspicion.digest, now)
			settings.Suspects.NoteSuccess(a.progress.suspicion.scope, now)
		}
	case a.instanceCrashed(ctx, lease, result.err) && a.setDigest():
		result.crashed = true
		observed := suspect.Observation{
			Life:  suspect.LifeOf(lease.ID, lease.Born),
			Known: a.progress.suspicion.verdict,
			Early: !lease.HasEvents(),
			Sent:  lease.PickedAt(),
		}
		now := settings.Clock()
		verdict := settings.Suspects.NoteCrash(a.progress.suspicion.digest, observed, now)
		observed.Known, observed.OfScope = a.progress.suspicion.ofScope, true
		ofScope := settings.Suspects.NoteCrash(a.progress.suspicion.scope, observed, now)
		a.logSuspect(lease, verdict, ofScope)
	}
}

// instanceCrashed reports whether the instance of a failed attempt has crashed: it broke
// the connection off, its address refuses connections, and it was not leaving. An instance
// that drains or has withdrawn its entry stops as planned.
func (a *activeRequest) instanceCrashed(ctx context.Context, lease *balance.Lease, err error) bool {
	settings := &a.forwarder.settings
	if !exchange.ConnectionEnded(err) || ctx.Err() != nil || settings.Table.IsLeaving(lease.ID) {
		return false
	}
	return settings.Pool.IsDown(ctx, lease.Address)
}

// logSuspect logs that an instance crashed under the request.
func (a *activeRequest) logSuspect(lease *balance.Lease, v, ofScope suspect.Verdict) {
	a.forwarder.settings.Log.Warn(event.Suspect,
		zap.String("request", string(a.request.ID)),
		zap.Stringer("digest", a.progress.suspicion.digest),
		zap.String("upstream", string(lease.ID)),
		zap.Int("round", v.Round),
		zap.Int("early", v.Early),
		zap.Int("crashes", v.Crashes),
		zap.Bool("refused", v.Refused),
		zap.Duration("left", v.Left),
		zap.Int("scope_round", ofScope.Round),
		zap.Bool("scope_refused", ofScope.Refused))
}
