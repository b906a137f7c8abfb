// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// round advances all orders and sends the reports. It returns the time until the next
// round, zero if there is nothing to do before the next order or announcement.
func (c *Coordinator) round(ctx context.Context, now time.Time) time.Duration {
	members := c.settings.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	var delay time.Duration
	for name, s := range c.services {
		if len(s.releases.held) > 0 {
			c.refresh(name, s, now)
		}
		c.searchWithdrawn(ctx, name, s, members)
		switch {
		case s.course != nil && !s.course.isOver():
			c.advance(ctx, name, s, rank(name, members), now)
			delay = min(maxRoundInterval, reportInterval(len(members)))
		case s.course != nil && s.course.lost > s.course.recorded:
			c.save(ctx, name, s.course, s.course.state, now)
			delay = storeRetryDelay
		case len(s.releases.held) > 0 && delay == 0:
			delay = holdInterval
		}
	}
	return delay
}

// advance carries out one round of an order. The caller holds mu.
func (c *Coordinator) advance(ctx context.Context, name granitehoist.Service, s *service, ranked []Member, now time.Time) {
	course, self := s.course, c.settings.Self.Box
	own, _ := c.settings.Gate.Evidence(name, course.order.id())
	course.hub.setPassive(self, course.isPassive(c.settings.Stopping(), now))
	report := c.report(name, course, own, now)
	course.hub.latest = withReport(course.hub.latest, report, now)
	if !s.releases.isOnly(course.order.Target) {
		course.observe(own, self, now)
		course.stopWithdrawn(self, now)
	}
	leads := c.contacts.leader(ranked, self, course.hub.passive, now) == self
	switch {
	case !course.known:
		c.load(ctx, name, course, now)
	case leads:
		c.lead(ctx, name, s, ranked, now)
	case c.contacts.isAlone(now):
		c.load(ctx, name, course, now)
	}
	c.applyPlan(name, s, now)
	var receivers []Member
	if course.reportDue(own, now) {
		course.reportAt = now.Add(reportInterval(len(ranked)))
		receivers = c.contacts.hubs(ranked, self, course.hub.passive)
		if leads && (course.state.Stage >= StageShifting || course.state.Stopped) {
			receivers = append(receivers, course.hub.missing(ranked, maxReportAge(len(ranked)), now)...)
		}
	}
	if course.state.Stopped {
		receivers = append(receivers, course.hub.unaware(ranked, self)...)
	}
	for _, m := range receivers {
		if m.Box != self && c.contacts.begin(m, now) {
			go c.send(ctx, m, report)
		}
	}
}

// reportInterval returns the time between two reports of a router.
func reportInterval(routers int) time.Duration {
	return max(minReportInterval, time.Duration(routers)*reportIntervalPerRouter)
}

// withReport returns the reports with that of this router.
func withReport(latest map[granitehoist.Box]receivedReport, r ReportParams, now time.Time) map[granitehoist.Box]receivedReport {
	if r.State == nil {
		return latest
	}
	if latest == nil {
		latest = map[granitehoist.Box]receivedReport{}
	}
	latest[r.Box] = receivedReport{state: *r.State, inFlight: r.InFlight, at: now}
	return latest
}

// settleTime is how long an attempt may take from its admission to its selection of an
// instance, after which it counts as in progress.
const settleTime = minReportInterval / 2

// report returns this router's report. Shortly after a change of the stage it counts one
// attempt in progress, for those admitted before.
func (c *Coordinator) report(name granitehoist.Service, course *course, own Evidence, now time.Time) ReportParams {
	self := c.settings.Self
	r := ReportParams{
		Service: name, Order: course.order.id(), Box: self.Box, Incarnation: self.Peer.Incarnation,
		Evidence: own, Passive: course.hub.passive[self.Box],
	}
	if course.known {
		s := course.stateAt(now)
		r.State = &s
	}
	if now.Sub(course.stageAt) < settleTime {
		r.InFlight++
	}
	for _, release := range c.settings.Releases(name) {
		if release.Release != course.order.Target {
			r.InFlight += release.InFlight
		}
	}
	return r
}

// lead decides the next state of an order. A verdict is proposed to the store; any other
// state applies at once, and the store is told that the target receives requests. The
// caller holds mu.
func (c *Coordinator) lead(ctx context.Context, name granitehoist.Service, s *service, ranked []Member, now time.Time) {
	course := s.course
	next := Next(c.inputs(name, s, ranked, now))
	if next.Stage != course.state.Stage || next.Step != course.state.Step || next.Stopped != course.state.Stopped {
		next.By = c.settings.Self.Box
	}
	if next.Stage.isFinal() {
		c.save(ctx, name, course, next, now)
		return
	}
	if next.Stage == StageDraining && course.state.Stage == StageWaiting {
		c.logOrder(name, "in_force", zap.String("target", string(course.order.Target)))
	}
	course.adopt(next, now)
	if next.Stage.phase() > course.recorded {
		c.save(ctx, name, course, next, now)
		return
	}
	// A leader that has lost the store should know it before the verdict.
	if now.Sub(course.storeAt) >= storeCheckInterval {
		c.load(ctx, name, course, now)
	}
}

// inputs returns what the next state depends on. The caller holds mu.
func (c *Coordinator) inputs(name granitehoist.Service, s *service, ranked []Member, now time.Time) Inputs {
	course := s.course
	in := Inputs{
		State:      course.state,
		Duration:   course.order.Duration,
		Elapsed:    course.elapsed(now),
		InStep:     now.Sub(course.stageAt),
		Watched:    course.watched(now),
		InForce:    s.releases.isOnly(course.order.Target),
		Answers:    course.answers,
		FailsOften: course.detector.FailsOften(),
	}
	in.Target, in.Others = c.readyInstances(name, course.order.Target)
	in.Fleet = course.hub.progress(ranked, course.state, c.contacts.isGone, maxReportAge(len(ranked)), now)
	return in
}

// maxReportAge returns the age up to which a report is recent.
func maxReportAge(routers int) time.Duration {
	return max(silentAfter/2, 2*time.Duration(routers)*reportIntervalPerRouter)
}

// send sends a report and merges the state in the answer.
func (c *Coordinator) send(ctx context.Context, to Member, r ReportParams) {
	callContext, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply ReportResult
	err := c.settings.Caller.Call(callContext, to.Peer, MethodReport, r, &reply)
	now := c.settings.Clock()
	// A router that does not answer is called again by a later round.
	c.contacts.end(to, err, now)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[r.Service]
	if s == nil || s.course == nil || s.course.order.id() != r.Order {
		return
	}
	s.course.hub.setPassive(to.Box, reply.Passive)
	if reply.State != nil {
		s.course.hub.setStopped(to.Box, reply.State.Stopped)
		c.mergeState(r.Service, *reply.State, now)
	}
}

// mergeState merges the state of another router. The caller holds mu.
func (c *Coordinator) mergeState(name granitehoist.Service, state State, now time.Time) {
	s := c.services[name]
	if s == nil || s.course == nil || s.course.order.id() != state.Order {
		return
	}
	if s.course.merge(state, now) {
		c.conclude(name, s, now)
		c.applyPlan(name, s, now)
	}
}

// conclude applies a verdict that is known to be in the store. The caller holds mu.
func (c *Coordinator) conclude(name granitehoist.Service, s *service, now time.Time) {
	if s.course.isOver() {
		s.releases.conclude(s.course.order.Target, s.course.state.Stage == StageComplete)
		c.refresh(name, s, now)
	}
}

// ServeReport serves the report of another router.
func (c *Coordinator) ServeReport(_ context.Context, r ReportParams) (ReportResult, error) {
	c.contacts.heard()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Clock()
	s := c.services[r.Service]
	if s == nil || s.course == nil || s.course.order.id() != r.Order {
		return ReportResult{Passive: true}, nil
	}
	s.course.hub.add(r, now)
	if r.State != nil {
		c.mergeState(r.Service, *r.State, now)
	}
	if s.course == nil {
		return ReportResult{Passive: true}, nil
	}
	result := ReportResult{Passive: s.course.isPassive(c.settings.Stopping(), now)}
	if s.course.known {
		state := s.course.stateAt(now)
		result.State = &state
	}
	return result, nil
}

// load reads the record of an order, on its own goroutine. The caller holds mu.
func (c *Coordinator) load(ctx context.Context, name granitehoist.Service, course *course, now time.Time) {
	c.useStore(ctx, name, course, now, func(ctx context.Context) (stored, bool, error) {
		found, err := c.recorder.load(ctx, name)
		return found, false, err
	})
}

// save writes a state to the store, on its own goroutine. The caller holds mu.
func (c *Coordinator) save(ctx context.Context, name granitehoist.Service, course *course, next State, now time.Time) {
	record := course.record(next, now)
	c.useStore(ctx, name, course, now, func(ctx context.Context) (stored, bool, error) {
		return c.recorder.save(ctx, name, record)
	})
}

// useStore makes one access to the record at a time, at least storeRetryDelay apart, and
// applies what the store holds afterwards. The caller holds mu.
func (c *Coordinator) useStore(ctx context.Context, name granitehoist.Service, course *course, now time.Time, access func(context.Context) (stored, bool, error)) {
	if course.storeBusy || now.Before(course.storeAt) {
		return
	}
	course.storeBusy = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, written, err := access(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		now := c.settings.Clock()
		course.storeBusy, course.storeAt = false, now.Add(storeRetryDelay)
		if s := c.services[name]; s != nil && s.course == course {
			c.applyStored(name, s, found, written, err, now)
		}
	}()
}

// applyStored applies the outcome of an access to the record. The caller holds mu.
func (c *Coordinator) applyStored(name granitehoist.Service, s *service, found stored, written bool, err error, now time.Time) {
	course := s.course
	if err != nil {
		if !course.storeFailed {
			c.settings.Log.Warn(event.RolloutWriteFailed, append(course.fields(now), zap.Error(err))...)
		}
		course.storeFailed = true
		return
	}
	course.storeFailed, course.known = false, true
	record := found.record
	if record.Order != course.order.id() {
		course.state.Except = found.exceptFor(course.record(course.state, now))
		return
	}
	if phase := record.Stage.phase(); phase > course.recorded {
		course.recorded = phase
		c.settings.Log.Info(event.RolloutVerdict, append(course.fields(now),
			zap.String("phase", phase.String()), zap.String("by", string(record.By)),
			zap.String("reason", record.Reason), zap.Bool("written", written), zap.Uint64("version", found.version.Revision()))...)
	}
	c.mergeState(name, record.stateAt(now), now)
}
