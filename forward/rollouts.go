// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/rollout"
)

// Rollouts decides which releases of a service an attempt may use, and learns how the
// attempts end. Implementations must be safe for concurrent use.
type Rollouts interface {
	// Admit returns the releases that the next attempt of a request may use. retry says
	// that the request has been sent before.
	Admit(s granitehoist.Service, retry bool, now time.Time) rollout.Admission
	// Refund takes back the canary allowance of an admission that was not used.
	Refund(s granitehoist.Service, now time.Time)
	// Sent counts an attempt that is about to be sent to an instance of a release.
	Sent(s granitehoist.Service, r granitehoist.Release, now time.Time)
	// Ended records the end of an attempt that was counted by Sent.
	Ended(s rollout.Sample, now time.Time)
}

// noRollouts admits all releases.
type noRollouts struct{}

func (noRollouts) Admit(granitehoist.Service, bool, time.Time) rollout.Admission {
	return rollout.Admission{}
}
func (noRollouts) Refund(granitehoist.Service, time.Time)                     {}
func (noRollouts) Sent(granitehoist.Service, granitehoist.Release, time.Time) {}
func (noRollouts) Ended(rollout.Sample, time.Time)                            {}

// pickAdmitted selects an instance of an admitted release. It tries the rules of the
// admission in order, and leaves the last one in the query. Its error is that of the last
// rule.
func (a *activeRequest) pickAdmitted(query *balance.Query, now time.Time) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	// The configuration may have changed while the request waited.
	query.AllowedRegions = a.allowedRegions()
	// A stream that is resumed gets no canary, like a retry.
	isRetry := a.progress.attempts > 0 || a.progress.origin != nil
	admission := settings.Rollouts.Admit(query.Service, isRetry, now)
	unregistered := a.unregisteredReleases()
	canary := admission.Canary
	for i, rule := range admission.Rules {
		query.Releases = rule.Excluding(unregistered)
		lease, err := settings.Table.Pick(*query, now)
		if canary && (err != nil || i > 0) {
			settings.Rollouts.Refund(query.Service, now)
			canary = false
		}
		if err == nil || i == len(admission.Rules)-1 {
			return lease, err
		}
	}
	query.Releases = balance.ReleaseRule{Except: unregistered}
	return settings.Table.Pick(*query, now)
}

// endAttempt reports an attempt to the roll-outs. sent is when it was sent, ended when it
// ended.
func (a *activeRequest) endAttempt(lease *balance.Lease, result *attemptResult, outcome balance.Result, sent, ended time.Time) {
	sample := rollout.Sample{
		Service:  a.admission.service.Name,
		Route:    string(a.admission.route.Name),
		Release:  lease.Release,
		Upstream: lease.ID,
		Outcome:  sampleOutcome(outcome, result),
		Head:     ended.Sub(sent),
	}
	switch {
	case lease.HasEvents():
		sample.Answered, sample.Head = true, lease.FirstEventAfter()
	case !result.headAt.IsZero():
		sample.Answered, sample.Head = true, result.headAt.Sub(sent)
	}
	a.forwarder.settings.Rollouts.Ended(sample, ended)
}

// sampleOutcome returns what the result of an attempt says about its instance's release. A
// request that was refused or misdirected did not run, so that it says nothing.
func sampleOutcome(r balance.Result, result *attemptResult) rollout.Outcome {
	switch r {
	case balance.Succeeded:
		if result.class == responseBadRequest {
			return rollout.Inconclusive
		}
		return rollout.Good
	case balance.Broken:
		if result.crashed || result.unsent {
			return rollout.Down
		}
		return rollout.Bad
	case balance.Failed, balance.Excessive:
		return rollout.Bad
	case balance.Refused, balance.Misdirected, balance.Inconclusive:
	}
	return rollout.Inconclusive
}
