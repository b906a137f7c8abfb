// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

const (
	// suspensionInterval is how often a node checks whether the machine was suspended,
	// and cancels requests whose deadline passed meanwhile. A shorter interval would only
	// add wakeups.
	suspensionInterval = 250 * time.Millisecond
	// minLoggedSuspension is the shortest suspension that is logged.
	minLoggedSuspension = 50 * time.Millisecond
)

// watchSuspensions cancels requests whose deadline has passed on the node's clock, and
// logs suspensions of the machine, until ctx ends. The node's clock advances during a
// suspension; timers do not.
func (n *Node) watchSuspensions(ctx context.Context) {
	ticker := time.NewTicker(suspensionInterval)
	defer ticker.Stop()
	monotonicStart, clockStart := time.Now(), n.clock()
	logged := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.clock()
		n.components.deadlines.CancelExpired(now)
		suspended := now.Sub(clockStart) - time.Since(monotonicStart)
		if suspended-logged >= minLoggedSuspension {
			n.log.Warn(event.Resumed, zap.Duration("suspended", suspended-logged))
			logged = suspended
		}
	}
}
