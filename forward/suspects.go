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

// The limits on the attempts of a request (the limit of its route, the retry budget, the
// instances already tried) apply to one request id. A request that crashes the instances
// that run it may be repeated with new ids at any router, so that only its content
// identifies it. Each crash during an attempt is therefore recorded under the digest of
// the request. The routers share these records, and check each request against them
// before it is sent.

// suspectStatus holds the crash records of a request as of the latest lookup.
type suspectStatus struct {
	// digest identifies the content of the request; zero if it has not been needed yet.
	digest  suspect.Digest
	verdict suspect.Verdict
	// scopeDigest identifies all requests of the workspace on the route, and scopeVerdict
	// is the verdict on them.
	scopeDigest  suspect.Digest
	scopeVerdict suspect.Verdict
	// parts holds the digests of the parts of the prompt that other requests may share, and
	// partsVerdict is the verdict on them.
	parts        []suspect.Digest
	partsVerdict suspect.PartsVerdict
}

// isSuspect reports whether the request is held after crashes: for its own records or those
// of its scope or of a part of its prompt.
func (s *suspectStatus) isSuspect() bool {
	return s.verdict.Round > 0 || s.scopeVerdict.Round > 0 || s.partsVerdict.Strongest.Round > 0
}

// hold returns how long the request must still be delayed (suspect.Verdict.Hold).
func (s *suspectStatus) hold() time.Duration { return s.longerHoldVerdict().Hold }

// longerHoldVerdict returns the verdict with the longest hold, on the request, its scope or a
// part of its prompt.
func (s *suspectStatus) longerHoldVerdict() suspect.Verdict {
	longest := s.verdict
	for _, v := range []suspect.Verdict{s.scopeVerdict, s.partsVerdict.Strongest} {
		if v.Hold > longest.Hold {
			longest = v
		}
	}
	return longest
}

// checkSuspect looks up the crash records of the request. The error has code
// CrashesUpstreams if the request is refused. The lookup is one atomic read while there
// are no crash records at all.
func (a *activeRequest) checkSuspect() error {
	table := a.forwarder.settings.Suspects
	if !table.HasSuspects() || !a.computeDigests() {
		s := &a.progress.suspectStatus
		s.verdict, s.scopeVerdict, s.partsVerdict = suspect.Verdict{}, suspect.Verdict{}, suspect.PartsVerdict{}
		return nil
	}
	now := a.forwarder.settings.Clock()
	s := &a.progress.suspectStatus
	s.verdict = table.Lookup(s.digest, now)
	s.scopeVerdict = table.Lookup(s.scopeDigest, now)
	s.partsVerdict = table.LookupParts(s.parts, now)
	switch {
	case s.verdict.Refused:
		return s.verdict.Refusal()
	case s.partsVerdict.Strongest.Refused:
		return s.partsVerdict.Strongest.Refusal()
	case s.scopeVerdict.Refused:
		return s.scopeVerdict.Refusal()
	}
	return nil
}

// awaitHold checks the request as checkSuspect does, and delays it until its hold is over.
// It refuses a request whose hold is longer than holdLimitFraction and minHoldLimit allow,
// or than the remaining timeout of the request.
func (a *activeRequest) awaitHold(ctx context.Context) error {
	limit := max(minHoldLimit, time.Duration(holdLimitFraction*float64(a.admission.route.TargetLatency)))
	return a.waitUntilReady(ctx, min(limit, a.timeLeft()), func(time.Time) (*waitReason, error) {
		if err := a.checkSuspect(); err != nil {
			return nil, err
		}
		s := &a.progress.suspectStatus
		if s.hold() <= 0 {
			return nil, nil
		}
		return &waitReason{left: s.hold(), refusal: func() error { return s.longerHoldVerdict().HoldRefusal() }}, nil
	})
}

const (
	// holdLimitFraction is the maximum hold of a request, as a fraction of the route's
	// latency target. On the routes with the shortest targets it allows two rounds of
	// suspect.SettleTime.
	holdLimitFraction = 0.5
	// minHoldLimit is the minimum of the maximum hold, also on routes without a target.
	minHoldLimit = 400 * time.Millisecond
)

// pickRunning selects the instance for the next attempt. For a suspect request it first
// checks that the instance is running, so that an instance which had already stopped, for
// example after a power failure, is not recorded as crashed by the request. The check
// opens a connection.
func (a *activeRequest) pickRunning(ctx context.Context) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	for {
		lease, err := a.pick(ctx)
		if err != nil || !a.progress.suspectStatus.isSuspect() || !settings.Pool.IsDownBeforeSuspect(ctx, lease.ID, lease.Address) {
			return lease, err
		}
		now := settings.Clock()
		a.progress.tried[lease.ID] = true
		lease.Done(balance.Broken, now)
		settings.Suspects.RecordDown(suspect.IncarnationOf(lease.ID, lease.StartedAtMS), now)
	}
}

// computeDigests computes the digests of the request and its scope once, and reports
// whether the table has a secret to do so.
func (a *activeRequest) computeDigests() bool {
	if a.progress.suspectStatus.digest != (suspect.Digest{}) {
		return true
	}
	key := suspect.RequestKey{
		Method: a.request.Method,
		Host:   a.request.Host,
		Target: a.request.Target,
		Body:   a.request.Body,
	}
	if a.admission.workspace != nil {
		key.Workspace = a.admission.workspace.Name
	}
	digest, ok := a.forwarder.settings.Suspects.Digest(&key)
	a.progress.suspectStatus.digest = digest
	scope := suspect.Scope{Workspace: key.Workspace, Route: string(a.admission.route.Name)}
	a.progress.suspectStatus.parts = a.forwarder.settings.Suspects.PartDigests(a.admission.service.Name, a.request.PrefixParts)
	a.progress.suspectStatus.scopeDigest, _ = a.forwarder.settings.Suspects.ScopeDigest(scope)
	return ok
}

// pin returns a hash by which all routers select the same instance for a suspect request,
// zero for other requests. Copies of the request at several routers then crash one
// instance instead of one each, until the routers have exchanged their records. Different
// suspects mostly get different instances, so that a crash caused by one is not
// attributed to another.
func (a *activeRequest) pin() uint64 {
	s := &a.progress.suspectStatus
	switch {
	case s.verdict.Round > 0:
		return s.digest.Hash()
	case s.partsVerdict.Strongest.Round > 0:
		return s.partsVerdict.Part.Hash()
	case s.scopeVerdict.Round > 0:
		return s.scopeDigest.Hash()
	}
	return 0
}

// recordOutcome records that an attempt succeeded or that the instance crashed during it.
// An error response counts as neither, since an instance that fails every request would
// otherwise clear the crash records of all requests.
func (a *activeRequest) recordOutcome(ctx context.Context, lease *balance.Lease, result *attemptResult) {
	settings := &a.forwarder.settings
	switch {
	case result.err == nil && result.status < http.StatusMultipleChoices:
		settings.Suspects.RecordProven(a.admission.service.Name, a.request.PrefixParts, settings.Clock())
		if settings.Suspects.HasSuspects() && a.computeDigests() {
			now := settings.Clock()
			settings.Suspects.RecordSuccess(a.progress.suspectStatus.digest, now)
			settings.Suspects.RecordSuccess(a.progress.suspectStatus.scopeDigest, now)
			for _, part := range a.progress.suspectStatus.parts {
				settings.Suspects.RecordSuccess(part, now)
			}
		}
	case a.instanceCrashed(ctx, lease, result.err):
		result.crashed = true
		if a.computeDigests() {
			a.recordCrash(lease)
		}
	}
}

// recordCrash records that the instance crashed during the request. If a part of its prompt
// was suspect already, the crash is no evidence against the scope, which covers requests
// without that part.
func (a *activeRequest) recordCrash(lease *balance.Lease) {
	settings := &a.forwarder.settings
	observed := suspect.Observation{
		Incarnation: suspect.IncarnationOf(lease.ID, lease.StartedAtMS),
		Verdict:     a.progress.suspectStatus.verdict,
		Early:       !lease.HasEvents(),
		Sent:        lease.PickedAt(),
	}
	now := settings.Clock()
	verdict := settings.Suspects.RecordCrash(a.progress.suspectStatus.digest, observed, now)
	partRounds := a.recordPartCrashes(observed, now)
	scope := a.progress.suspectStatus.scopeVerdict
	if !a.progress.suspectStatus.partsVerdict.IsSuspect() {
		observed.Verdict, observed.Kind = scope, suspect.KindScope
		scope = settings.Suspects.RecordCrash(a.progress.suspectStatus.scopeDigest, observed, now)
	}
	a.logSuspect(lease, verdict, scope, partRounds)
}

// recordPartCrashes records a crash under the parts of the prompt, and returns the early
// round of each.
func (a *activeRequest) recordPartCrashes(observed suspect.Observation, now time.Time) []int {
	var rounds []int
	settings, s := &a.forwarder.settings, &a.progress.suspectStatus
	observed.Kind, observed.With = suspect.KindPart, s.parts
	for i, part := range s.parts {
		observed.Verdict = suspect.Verdict{}
		if len(s.partsVerdict.Parts) > 0 {
			observed.Verdict = s.partsVerdict.Parts[i]
		}
		rounds = append(rounds, settings.Suspects.RecordCrash(part, observed, now).EarlyRound)
	}
	return rounds
}

// instanceCrashed reports whether the instance of a failed attempt crashed: it closed the
// connection, its address is down (exchange.Pool.IsDown), and it was not leaving. An
// instance that drains or has withdrawn its entry stops as planned. instanceCrashed returns
// false if ctx has ended.
func (a *activeRequest) instanceCrashed(ctx context.Context, lease *balance.Lease, err error) bool {
	settings := &a.forwarder.settings
	if !exchange.ClosedByPeer(err) || ctx.Err() != nil || settings.Table.IsLeaving(lease.ID) {
		return false
	}
	return settings.Pool.IsDown(ctx, lease.ID, lease.Address)
}

// logSuspect logs that an instance crashed during the request.
func (a *activeRequest) logSuspect(lease *balance.Lease, v, scope suspect.Verdict, partRounds []int) {
	a.forwarder.settings.Log.Warn(event.Suspect,
		zap.String("request", string(a.request.ID)),
		zap.Stringer("digest", a.progress.suspectStatus.digest),
		zap.Stringers("parts", a.progress.suspectStatus.parts),
		zap.Ints("part_early", partRounds),
		zap.String("upstream", string(lease.ID)),
		zap.Int("round", v.Round),
		zap.Int("early", v.EarlyRound),
		zap.Int("crashes", v.Crashes),
		zap.Bool("refused", v.Refused),
		zap.Duration("left", v.BlockRemaining),
		zap.Int("scope_round", scope.Round),
		zap.Bool("scope_refused", scope.Refused))
}
