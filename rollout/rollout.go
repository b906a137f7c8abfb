// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
)

// Terms are the limits that the operators set on all roll-outs. The zero value disables
// roll-outs: orders are ignored and releases are not told apart.
type Terms struct {
	// Enabled says that routers carry out orders.
	Enabled bool
	// CanaryShare is the largest share of a service's requests that a release may receive
	// before the verdict, above 0 and at most 1.
	CanaryShare float64
	// Margin is the number of requests by which the fleet may exceed CanaryShare.
	Margin int
	// Rollback is the time after which no request may be sent to a release that has given
	// MaxBadAnswers bad answers.
	Rollback time.Duration
}

// Defaults of missing terms.
const (
	// DefaultCanaryShare is the canary share if none is set.
	DefaultCanaryShare = 0.1
	// DefaultRollback is the rollback time if none is set.
	DefaultRollback = 5 * time.Second
)

// MaxBadAnswers is the number of bad answers from which Terms.Rollback runs.
const MaxBadAnswers = 50

// Check returns an error that names the first invalid term. Terms that are not enabled are
// valid.
func (t *Terms) Check() error {
	switch {
	case !t.Enabled:
		return nil
	case !(t.CanaryShare > 0 && t.CanaryShare <= 1):
		return eris.Errorf("the canary share %v is not in the range above 0 to 1", t.CanaryShare)
	case t.Margin < 0:
		return eris.Errorf("the canary margin %d is negative", t.Margin)
	case t.Rollback <= 0:
		return eris.Errorf("the rollback time %s is not positive", t.Rollback)
	}
	return nil
}

// Order is an operator's order to move a service to another release.
type Order struct {
	Service granitehoist.Service
	Target  granitehoist.Release
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Version is the store's version of the order's entry. It identifies the order; a later
	// order for the service has a larger one.
	Version granitehoist.Version
}

// id returns what identifies the order to all routers and in the record: the revision of its
// entry without the era, which routers of older versions do not know.
func (o Order) id() granitehoist.Version { return granitehoist.NewVersion(0, o.Version.Revision()) }

// isSame reports whether two orders ask for the same. An order that a restored store has lost
// is written again under another version.
func (o Order) isSame(other Order) bool {
	return o.Service == other.Service && o.Target == other.Target && o.Duration == other.Duration
}

// Phase is the progress of an order as operators read it.
type Phase int

// The phases of an order.
const (
	// Serving: the target receives requests; the verdict is open.
	Serving Phase = iota + 1
	// Complete: all requests go to the target, and the baseline may be stopped.
	Complete
	// Reverted: no request goes to the target.
	Reverted
)

// String returns the name of the phase in logs.
func (p Phase) String() string {
	switch p {
	case Serving:
		return "serving"
	case Complete:
		return "complete"
	case Reverted:
		return "reverted"
	}
	return "none"
}

// Status is the answer to an order that operators read.
type Status struct {
	Target granitehoist.Release
	Phase  Phase
}

// Stage is the progress of an order as routers carry it out.
type Stage int

// The stages of an order. An order passes them in this sequence; each of the first four may
// be followed by StageReverted instead. StageComplete and StageReverted are final.
const (
	// StageWaiting: no instance of the target is ready, and the target gets no requests.
	StageWaiting Stage = iota
	// StageCanary: the target gets Terms.CanaryShare of the requests.
	StageCanary
	// StageShifting: the target gets a share that grows in steps (Plan.Share).
	StageShifting
	// StageDraining: the target gets all new requests, at first retries excepted; what runs
	// at the baseline ends.
	StageDraining
	// StageComplete: nothing runs at the baseline, which may be stopped.
	StageComplete
	// StageReverted: the target gets no requests.
	StageReverted
)

// Plan is what a router does for a service with an order.
type Plan struct {
	// Order is Order.Version.
	Order granitehoist.Version
	// Target is the release that the order names.
	Target granitehoist.Release
	Stage  Stage
	// Share is the share of the requests that the target gets in StageShifting.
	Share float64
	// RetryAtBaseline says that in StageDraining a request that was sent before may use the
	// baseline.
	RetryAtBaseline bool
	// Focus is the number of the target's instances per region that receive requests before
	// StageDraining; zero means all.
	Focus int
	// Except holds releases that get no requests, whatever the stage: those that appeared
	// before this router could know whether an order concerns them.
	Except []granitehoist.Release
}

// Admission says which releases an attempt may use. The zero value admits all.
type Admission struct {
	// Rules are tried in order until one has a candidate.
	Rules []balance.ReleaseRule
	// Canary says that the first rule uses the canary allowance.
	Canary bool
}

// Outcome is what the end of an attempt says about the release of its instance.
type Outcome int

// The outcomes of attempts.
const (
	// Inconclusive: the attempt was cut short by the caller or did not run. Its duration is
	// a lower bound of the latency.
	Inconclusive Outcome = iota
	// Good: the instance served the request.
	Good
	// Bad: the instance failed, or its answer was broken or invalid.
	Bad
	// Down: the instance did not accept the connection, or it crashed.
	Down
)

// Sample is the result of one attempt.
type Sample struct {
	Service granitehoist.Service
	// Route is the name of the route.
	Route    string
	Release  granitehoist.Release
	Upstream granitehoist.Upstream
	Outcome  Outcome
	// Head is the time from sending to the head of the response, of a stream to its first
	// event. If Answered is not set, it is the time until the attempt ended.
	Head     time.Duration
	Answered bool
}

// Finding is the result of the comparison of a target with its baseline.
type Finding struct {
	// Bad says that the target is worse than the baseline.
	Bad bool
	// Route is the route on which it is, empty for all together.
	Route string
	// Reason says in a few words what was found, for the log.
	Reason string
	// Answers and BadAnswers count the target's answers and, among them, those that failed
	// or were slow. Control is the number of the baseline's answers.
	Answers, BadAnswers, Control int64
}
