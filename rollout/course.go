// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// course is an order as this router carries it out. It is not safe for concurrent use.
type course struct {
	order Order
	log   *zap.Logger
	// state is the state as far as this router knows it. known says that the record or
	// another router's state has been taken into account, or that the order is so new that
	// there is none.
	state State
	known bool
	// withdrawn says that the operators have deleted the order.
	withdrawn bool
	// late says that the order was there when this router started.
	late bool
	// beganAt is the latest time at which the order was written, earliestAt the earliest
	// one, zero if unknown (State.AtMostMS).
	beganAt, earliestAt time.Time
	// watchedAt is when this router learned that the target receives requests, stageAt when
	// it learned of the current stage and step.
	watchedAt, stageAt time.Time
	// reportAt is the time of this router's next report, unless the target fails before.
	// reportedFailures is the number of its failures in the last report.
	reportAt         time.Time
	reportedFailures int64
	hub              hub
	detector         Detector
	finding          Finding
	// answers is the number of the target's answers known to this router.
	answers int64
	// recorded is the latest phase known to be in the store.
	recorded Phase
	// lost is the phase whose record the store may have lost, zero if there is none.
	lost Phase
	// storeBusy says that an access to the store is in progress. storeAt is the earliest time
	// of the next one. storeFailed says that the last one failed.
	storeBusy, storeFailed bool
	storeAt                time.Time
}

// newCourse returns the course of an order first seen at now.
func newCourse(o Order, seen Sighting, log *zap.Logger, now time.Time) *course {
	c := &course{order: o, log: log, state: State{Order: o.id()}, known: !seen.AtStart, late: seen.AtStart, beganAt: now, stageAt: now}
	if !seen.AtStart {
		c.earliestAt = now.Add(-seen.Missed)
	}
	return c
}

// renumber continues the order under the version that it has in a later era of the store.
func (c *course) renumber(o Order) {
	c.order, c.state.Order = o, o.id()
	c.withdrawn = false
	c.recordMayBeLost()
}

// recordMayBeLost notes that the store may have lost the recorded phase.
func (c *course) recordMayBeLost() {
	c.lost = max(c.lost, c.recorded)
	c.recorded = 0
}

// elapsed returns the time since the order. If it is uncertain, the longest possible time is
// returned, since requests to a bad target count until the deadline.
func (c *course) elapsed(now time.Time) time.Duration {
	if !c.earliestAt.IsZero() && c.earliestAt.Before(c.beganAt) {
		return now.Sub(c.earliestAt)
	}
	return now.Sub(c.beganAt)
}

// reportDue reports whether this router reports in a round, and notes the report. Failures of
// the target are reported in the next round, since the others go on sending to it until a hub
// knows of them. own is this router's evidence.
func (c *course) reportDue(own Evidence, now time.Time) bool {
	failures := own.targetFailures()
	if now.Before(c.reportAt) && failures <= c.reportedFailures {
		return false
	}
	c.reportedFailures = failures
	return true
}

// watched returns for how long this router has known that the target receives requests.
func (c *course) watched(now time.Time) time.Duration {
	if c.watchedAt.IsZero() {
		return 0
	}
	return now.Sub(c.watchedAt)
}

// isPassive reports whether another router should lead: this one has lost the store, stops,
// or has started after the order and may not have seen enough of the target yet.
func (c *course) isPassive(stopping bool, now time.Time) bool {
	return stopping || c.storeFailed || c.late && c.watched(now) < minWatch(c.order.Duration)
}

// stateAt returns the state with the time since the order.
func (c *course) stateAt(now time.Time) State {
	s := c.state
	s.ElapsedMS, s.AtMostMS = now.Sub(c.beganAt).Milliseconds(), 0
	if !c.earliestAt.IsZero() {
		s.AtMostMS = max(1, now.Sub(c.earliestAt).Milliseconds())
	}
	return s
}

// merge takes the state of another router or of the record into account, and reports
// whether the stage, the step or the stop changed.
func (c *course) merge(other State, now time.Time) bool {
	c.known = true
	merged := c.stateAt(now).Merge(other)
	if began := now.Add(-merged.elapsed()); began.Before(c.beganAt) {
		c.beganAt = began
	}
	if earliest := now.Add(-fromMS(merged.AtMostMS)); merged.AtMostMS > 0 && (c.earliestAt.IsZero() || earliest.After(c.earliestAt)) {
		c.earliestAt = earliest
	}
	return c.adopt(merged, now)
}

// adopt changes the state and logs a changed stage, step or stop. It reports whether one
// of them changed.
func (c *course) adopt(next State, now time.Time) bool {
	before := c.state
	c.state = next
	if c.watchedAt.IsZero() && next.Stage != StageWaiting {
		c.watchedAt = now
	}
	if before.Stage == next.Stage && before.Step == next.Step && before.Stopped == next.Stopped {
		return false
	}
	c.stageAt = now
	p := plan(c.order, next, 0, false)
	c.log.Info(event.RolloutStage, append(c.fields(now),
		zap.String("stage", p.Stage.String()),
		zap.Float64("share", p.Share),
		zap.String("by", string(next.By)),
		zap.String("reason", next.Reason))...)
	return true
}

// fields returns the fields of the log that identify the order.
func (c *course) fields(now time.Time) []zap.Field {
	return []zap.Field{
		zap.String("service", string(c.order.Service)),
		zap.Uint64("order", c.order.Version.Revision()),
		zap.String("target", string(c.order.Target)),
		zap.Float64("elapsed", c.elapsed(now).Seconds()),
	}
}

// stop ends the requests to the target until the verdict is in the store.
func (c *course) stop(by granitehoist.Box, reason string, now time.Time) {
	next := c.state
	next.Stopped, next.By, next.Reason = true, by, reason
	c.adopt(next, now)
}

// stopWithdrawn ends the requests to the target of an order that was withdrawn.
func (c *course) stopWithdrawn(by granitehoist.Box, now time.Time) {
	if c.withdrawn && c.known && !c.state.Stopped {
		c.stop(by, "the order was withdrawn", now)
	}
}

// observe compares the target with the baseline by all evidence known to this router, and
// stops the target if it is worse.
func (c *course) observe(own Evidence, self granitehoist.Box, now time.Time) {
	if c.state.Stage.isFinal() || c.finding.Bad {
		return
	}
	total := c.hub.total(own)
	target, _ := total.Sides()
	c.answers = target.Good + target.Bad
	c.finding = c.detector.Observe(total, now)
	if !c.finding.Bad {
		return
	}
	f := c.finding
	c.log.Info(event.RolloutFinding, append(c.fields(now),
		zap.String("route", f.Route), zap.String("reason", f.Reason), zap.Int64("answers", f.Answers),
		zap.Int64("bad", f.BadAnswers), zap.Int64("control", f.Control),
		zap.Duration("age", c.hub.oldest(now)), zap.Bool("stopped", true))...)
	if !c.state.Stopped {
		c.stop(self, f.Reason, now)
	}
}

// record returns the record of a state. Before the verdict it holds the canary stage: after
// a restart of all routers the evidence is collected anew.
func (c *course) record(s State, now time.Time) Record {
	if s.Stage.phase() == Serving {
		s.Stage, s.Step = StageCanary, 0
	}
	current := c.stateAt(now)
	s.ElapsedMS, s.AtMostMS = current.ElapsedMS, current.AtMostMS
	return Record{State: s, Target: c.order.Target, WrittenAtMS: now.UnixMilli()}
}

// isOver reports whether the verdict is in the store.
func (c *course) isOver() bool { return c.state.Stage.isFinal() }

// excluded returns the releases that get no requests, or only those of the order: the
// target unless it is in force, and the targets of replaced orders.
func (c *course) excluded() []granitehoist.Release {
	if c.state.Stage == StageComplete {
		return c.state.Except
	}
	return unionReleases(c.state.Except, []granitehoist.Release{c.order.Target})
}
