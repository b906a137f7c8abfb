// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

// Times of a stop, as parts of what the platform grants.
const (
	// serveShare is how long new requests are still served, since callers
	// notice late that the node leaves.
	serveShare = 0.32
	// finishShare is when the last request in progress is given up.
	finishShare      = 0.95
	stopPollInterval = 20 * time.Millisecond
	// returnShare is when the return of tokens is given up, returnLeast and
	// returnMost bound the time that it gets.
	returnShare   = 0.97
	minReturnTime = 300 * time.Millisecond
	maxReturnTime = 1500 * time.Millisecond
)

// Stop stops the node in good order: it is no longer ready, serves on while
// callers may still come, finishes what is in progress, returns its tokens and
// takes itself off the list of nodes.
func (n *Node) Stop() { n.stopping.Do(n.stop) }

func (n *Node) stop() {
	began := time.Now()
	n.leaving.Store(true)
	n.log.Info(event.Stop, zap.Int("active", n.path.Active()), zap.Duration("grace", n.config.Grace))
	serveUntil := began.Add(time.Duration(serveShare * float64(n.config.Grace)))
	finishUntil := began.Add(time.Duration(finishShare * float64(n.config.Grace)))
	sleepUntil(serveUntil)
	// The listener stays open: a caller that comes now is told that its request
	// was not run.
	n.path.Stop()
	for n.path.Active() > 0 && time.Now().Before(finishUntil) {
		time.Sleep(stopPollInterval)
	}
	n.returnTokens(began)
	n.log.Info(event.Stopped, zap.Int("active", n.path.Active()), zap.Duration("took", time.Since(began)))
	_ = n.callers.Close()
	_ = n.ready.Close()
	n.cancel()
	n.server.Close()
	n.pool.Close()
}

func sleepUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		time.Sleep(d)
	}
}

// returnTokens gives back what is free, in what is left of the grace.
func (n *Node) returnTokens(began time.Time) {
	left := time.Until(began.Add(time.Duration(returnShare * float64(n.config.Grace))))
	ctx, cancel := context.WithTimeout(context.Background(), max(minReturnTime, min(left, maxReturnTime)))
	defer cancel()
	if err := n.syncer.Close(ctx); err != nil {
		n.log.Warn(event.ReturnFailed, zap.Error(err))
	}
	if err := n.peers.removeEntry(ctx); err != nil {
		n.log.Warn(event.LeaveFailed, zap.Error(err))
	}
}
