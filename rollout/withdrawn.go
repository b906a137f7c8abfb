// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
)

// searchWithdrawn reads the record of a service without an order, once, if this router is the
// first in rank. If the record has no verdict the order was withdrawn while no router ran, and
// is reverted. A record of an order that may not have been received yet is read again later.
// The caller holds mu.
func (c *Coordinator) searchWithdrawn(ctx context.Context, name granitehoist.Service, s *service, members []Member) {
	if !c.ordersRead || s.course != nil || s.searched || rank(name, members)[0].Box != c.settings.Self.Box {
		return
	}
	s.searched = true
	ordersVersion := c.settings.OrdersVersion()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, err := c.recorder.load(ctx, name)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil || found.isAhead(ordersVersion) {
			c.logOrder(name, "unknown", zap.Uint64("at", ordersVersion.Revision()), zap.Error(err))
			s.searched = false
			time.AfterFunc(storeRetryDelay, c.wakeUp)
			return
		}
		c.revertWithdrawn(name, s, found, c.settings.Clock())
	}()
}

// isAhead reports whether a record without a verdict is of a later order than a copy of the
// orders can hold.
func (s stored) isAhead(ordersVersion granitehoist.Version) bool {
	return !s.record.Stage.isFinal() && s.record.Order > ordersVersion
}

// revertWithdrawn reverts the order of a record without a verdict. The caller holds mu.
func (c *Coordinator) revertWithdrawn(name granitehoist.Service, s *service, found stored, now time.Time) {
	record := found.record
	if found.version == 0 || record.Stage.isFinal() || s.course != nil {
		return
	}
	s.course = newCourse(Order{Service: name, Target: record.Target, Version: record.Order}, Sighting{AtStart: true}, c.settings.Log, now)
	s.course.withdrawn = true
	c.logOrder(name, "withdrawn", zap.Uint64("version", record.Order.Revision()))
	c.mergeState(name, record.stateAt(now), now)
	c.wakeUp()
}
