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
// is reverted. The caller holds mu.
func (c *Coordinator) searchWithdrawn(ctx context.Context, name granitehoist.Service, s *service, members []Member) {
	if !c.ordersRead || s.course != nil || s.searched || rank(name, members)[0].Box != c.settings.Self.Box {
		return
	}
	s.searched = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, err := c.recorder.load(ctx, name)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			c.logOrder(name, "unknown", zap.Error(err))
			s.searched = false
			time.AfterFunc(storeRetryDelay, c.wakeUp)
			return
		}
		c.revertWithdrawn(name, s, found, c.settings.Clock())
	}()
}

// revertWithdrawn reverts the order of a record without a verdict. The caller holds mu.
func (c *Coordinator) revertWithdrawn(name granitehoist.Service, s *service, found stored, now time.Time) {
	record := found.record
	if found.version == 0 || record.Stage.isFinal() || s.course != nil {
		return
	}
	s.course = newCourse(Order{Service: name, Target: record.Target, Version: record.Order}, Sighting{AtStart: true}, c.settings.Log, now)
	s.course.withdrawn = true
	c.logOrder(name, "withdrawn", zap.Uint64("version", uint64(record.Order)))
	c.mergeState(name, record.stateAt(now), now)
	c.wakeUp()
}
