// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
)

const (
	// minReportInterval is the minimum time between two reports of a router.
	minReportInterval = 100 * time.Millisecond
	// reportIntervalPerRouter times the number of routers is the time between two reports
	// of a router in a large fleet, so that a hub takes at most 250 reports per second.
	reportIntervalPerRouter = 4 * time.Millisecond
	// maxRoundInterval is the maximum time between two rounds of a router, whose reports may
	// be further apart: a hub compares the target with the baseline in each.
	maxRoundInterval = 400 * time.Millisecond
	// holdInterval is the time between two checks of the copy of the orders while a release
	// is held.
	holdInterval = 50 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// storeTimeout bounds the calls of one access to the record.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the time between two accesses to the record.
	storeRetryDelay = 300 * time.Millisecond
	// storeCheckInterval is the time between two accesses of a leader that has nothing to
	// write.
	storeCheckInterval = time.Second
)

// Settings configures a Coordinator. All fields but Regions and Stopping are required.
type Settings struct {
	Terms Terms
	// Self is this router's own entry.
	Self  Member
	Gate  *Gate
	Store granitehoist.Store
	// StatusKey returns the store key of the answer to a service's order, and EncodeStatus
	// the answer.
	StatusKey    func(granitehoist.Service) string
	EncodeStatus func(Status) []byte
	// Releases returns the releases of a service (balance.Table.Releases).
	Releases func(granitehoist.Service) []balance.ReleaseStatus
	// OrdersVersion returns the store version of the copy of the orders.
	OrdersVersion func() granitehoist.Version
	// Members returns the routers of the fleet, this one included.
	Members func() []Member
	Caller  granitehoist.Caller
	// Regions is the number of regions of the fleet; zero means one.
	Regions int
	// Stopping reports whether the router stops and leaves the lead to others; nil means
	// that it does not.
	Stopping func() bool
	Clock    granitehoist.Clock
	Log      *zap.Logger
}

// Coordinator carries out orders together with the other routers: it decides the plans of
// the Gate. Without an order it makes no calls. It is safe for concurrent use.
type Coordinator struct {
	settings Settings
	recorder recorder
	contacts contacts
	// wake wakes Run. It has a capacity of one.
	wake chan struct{}

	// mu guards the fields below it and what they hold.
	mu       sync.Mutex
	services map[granitehoist.Service]*service
	// ordersRead says that the router has read the orders.
	ordersRead bool
}

// service is the state of one service.
type service struct {
	releases releases
	// course is the last order, nil if there is none.
	course *course
	// planned says that the gate has a plan.
	planned bool
	// searched says that the record has been searched for an order that was withdrawn while
	// no router ran.
	searched bool
}

// New returns a coordinator without orders.
func New(s Settings) *Coordinator {
	if s.Stopping == nil {
		s.Stopping = func() bool { return false }
	}
	return &Coordinator{
		settings: s,
		recorder: recorder{store: s.Store, statusKey: s.StatusKey, encodeStatus: s.EncodeStatus},
		wake:     make(chan struct{}, 1),
		services: map[granitehoist.Service]*service{},
	}
}

// serviceLocked returns the state of a service. The caller holds mu.
func (c *Coordinator) serviceLocked(name granitehoist.Service) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// Sighting says how a router learned of an order.
type Sighting struct {
	// AtStart says that the order was there when the router read the orders for the first
	// time, so that others may have carried it out before.
	AtStart bool
	// Missed is how long the order may have been there before: for how long the copy of the
	// orders had not been known to be the newest.
	Missed time.Duration
}

// SetOrder begins or replaces the order of a service.
func (c *Coordinator) SetOrder(o Order, seen Sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Clock()
	s := c.serviceLocked(o.Service)
	s.releases.unreadable = false
	before := s.course
	if before != nil && before.order.Version >= o.Version {
		return
	}
	if before != nil && before.order.Version.Era() < o.Version.Era() && before.order.isSame(o) {
		before.renumber(o)
		c.logOrder(o.Service, "renumbered", zap.String("target", string(o.Target)), zap.Uint64("version", o.Version.Revision()))
		c.applyPlan(o.Service, s, now)
		c.wakeUp()
		return
	}
	what := "received"
	s.course = newCourse(o, seen, c.settings.Log, now)
	if before != nil {
		if !before.isOver() {
			what = "replaced"
		}
		if !s.releases.inForce[before.order.Target] {
			s.course.state.Except = exceptAfter(before, o)
		}
	}
	c.logOrder(o.Service, what, zap.String("target", string(o.Target)), zap.Duration("duration", o.Duration), zap.Uint64("version", o.Version.Revision()))
	c.applyPlan(o.Service, s, now)
	c.wakeUp()
}

// exceptAfter returns the releases that get no requests under a new order since an order
// before it was not completed.
func exceptAfter(before *course, o Order) []granitehoist.Release {
	last := stored{record: before.record(before.state, before.beganAt), version: 1}
	return last.exceptFor(Record{State: State{Order: o.id()}, Target: o.Target})
}

// NoteStoreRestored makes this router write the records again that the store may have lost in
// returning from an older copy. Routers of one service may do so at once: a record is written
// only over an earlier phase.
func (c *Coordinator) NoteStoreRestored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		if s.course != nil {
			s.course.recordMayBeLost()
		}
	}
	c.wakeUp()
}

// OrdersRead notes that the router has read the orders for the first time. Services without
// one may have a record of an order that was withdrawn while no router ran.
func (c *Coordinator) OrdersRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ordersRead = true
	c.wakeUp()
}

// Withdraw handles the deletion of a service's order: without a verdict the target is
// reverted.
func (c *Coordinator) Withdraw(name granitehoist.Service, version granitehoist.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceLocked(name)
	s.releases.unreadable = false
	if s.course == nil || s.course.order.Version >= version {
		return
	}
	s.course.withdrawn = true
	c.logOrder(name, "withdrawn", zap.Uint64("version", version.Revision()))
	c.wakeUp()
}

// SetUnreadable handles an order that cannot be decoded: the last readable one of the
// service stays, and releases that are not in force get no requests.
func (c *Coordinator) SetUnreadable(name granitehoist.Service, version granitehoist.Version, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceLocked(name).releases.unreadable = true
	c.logOrder(name, "unreadable", zap.Uint64("version", version.Revision()), zap.Error(err))
}

// logOrder logs what happened to an order.
func (c *Coordinator) logOrder(name granitehoist.Service, what string, fields ...zap.Field) {
	c.settings.Log.Info(event.RolloutOrder, append([]zap.Field{zap.String("service", string(name)), zap.String("what", what)}, fields...)...)
}

// Announce handles the announcement of an instance before the instance is added to the
// table, so that no request reaches a release that has to be held.
func (c *Coordinator) Announce(name granitehoist.Service, release granitehoist.Release, version granitehoist.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceLocked(name)
	if s.releases.announce(release, version, s.excluded()) {
		c.applyPlan(name, s, c.settings.Clock())
		c.wakeUp()
	}
}

// Refresh decides which releases are in force after instances were added or removed.
func (c *Coordinator) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Clock()
	for name, s := range c.services {
		c.refresh(name, s, now)
	}
}

// refresh updates the releases of a service and its plan. The caller holds mu.
func (c *Coordinator) refresh(name granitehoist.Service, s *service, now time.Time) {
	statuses := c.settings.Releases(name)
	s.releases.update(statuses, c.settings.OrdersVersion(), s.excluded())
	if s.course != nil && s.course.isOver() && s.course.withdrawn && !hasRelease(statuses, s.course.order.Target) {
		s.course = nil
	}
	c.applyPlan(name, s, now)
}

// hasRelease reports whether a release has instances.
func hasRelease(statuses []balance.ReleaseStatus, release granitehoist.Release) bool {
	for _, s := range statuses {
		if s.Release == release {
			return true
		}
	}
	return false
}

// excluded returns the releases that only the order in progress concerns.
func (s *service) excluded() []granitehoist.Release {
	if s.course == nil {
		return nil
	}
	return s.course.excluded()
}

// applyPlan passes the plan of a service to the gate. The caller holds mu.
func (c *Coordinator) applyPlan(name granitehoist.Service, s *service, now time.Time) {
	p, needed := c.planOf(name, s, now)
	switch {
	case needed:
		c.settings.Gate.SetPlan(name, p, now)
	case s.planned:
		c.settings.Gate.ClearPlan(name)
	}
	s.planned = needed
}

// planOf returns the plan of a service, and false if it needs none. The caller holds mu.
func (c *Coordinator) planOf(name granitehoist.Service, s *service, now time.Time) (Plan, bool) {
	held := s.releases.heldReleases()
	if s.course == nil {
		return Plan{Except: held}, len(held) > 0
	}
	ready, others := c.readyInstances(name, s.course.order.Target)
	if s.needsNoPlan(others) {
		except := unionReleases(s.course.state.Except, held)
		return Plan{Except: except}, len(except) > 0
	}
	alone := c.contacts.isAlone(now)
	p := plan(s.course.order, s.course.state, s.course.elapsed(now), alone)
	p.Except = unionReleases(p.Except, held)
	if p.Stage == StageCanary || p.Stage == StageShifting {
		p.Focus = focus(p.targetShare(c.settings.Terms), ready, c.settings.Regions)
	}
	return p, true
}

// needsNoPlan reports whether the order leaves the requests to the target as they are:
// before the canary if the target is in force or alone, and after completion once it is
// alone. others is the number of ready instances of other releases.
func (s *service) needsNoPlan(others int) bool {
	switch s.course.state.Stage {
	case StageWaiting:
		return !s.course.state.Stopped && (others == 0 || s.releases.inForce[s.course.order.Target])
	case StageComplete:
		return others == 0
	case StageCanary, StageShifting, StageDraining, StageReverted:
	}
	return false
}

// readyInstances returns the numbers of ready instances of a target and of the other
// releases.
func (c *Coordinator) readyInstances(name granitehoist.Service, target granitehoist.Release) (ready, others int) {
	for _, r := range c.settings.Releases(name) {
		if r.Release == target {
			ready += r.Ready
		} else {
			others += r.Ready
		}
	}
	return ready, others
}

// wakeUp wakes Run without blocking.
func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run carries out orders until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := c.round(ctx, c.settings.Clock())
		if delay > 0 {
			pause.For(ctx, delay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.wake:
		}
	}
}
