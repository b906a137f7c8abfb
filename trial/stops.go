// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package trial

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
)

// stops counts the planned stops during the load.
type stops struct {
	// started counts the stops that were started, failures those that failed. running
	// waits until all have ended.
	started  int
	running  sync.WaitGroup
	failures atomic.Int64
}

// replaceRouter replaces a router by a new one and stops the old one in the background.
// Callers are moved to the new router before the old one stops, as by a load balancer
// with readiness checks.
func (s *Fleet) replaceRouter(ctx context.Context, i int) {
	old := s.Routers[i]
	s.stops.started++
	replacement, err := s.startRouter(old.Partner(), old.Zone(), routersPerZone+s.stops.started, anyPort)
	if err == nil {
		err = s.waitInForce(ctx, replacement)
	}
	if err != nil {
		s.recordStopFailure(err)
		return
	}
	s.mu.Lock()
	s.Routers[i] = replacement
	s.mu.Unlock()
	s.stops.running.Go(func() {
		if err := old.Stop(ctx); err != nil {
			s.recordStopFailure(err)
		}
	})
}

// recordStopFailure logs and counts a failed planned stop.
func (s *Fleet) recordStopFailure(err error) {
	s.log.Error("stop_failed", zap.Error(err))
	s.stops.failures.Add(1)
}

// killRouter kills a router without draining it.
func (s *Fleet) killRouter(i int) {
	s.mu.Lock()
	r := s.Routers[i]
	s.Routers = slices.Delete(slices.Clone(s.Routers), i, i+1)
	s.mu.Unlock()
	s.killed = append(s.killed, r)
	r.Kill()
}

const (
	// maxSettleAttempts limits the attempts to settle a killed router. An engine may be too
	// busy to answer at first.
	maxSettleAttempts = 50
	// settleRetryInterval is the time between two attempts.
	settleRetryInterval = 100 * time.Millisecond
)

// settleKilled settles all killed routers.
func (s *Fleet) settleKilled(ctx context.Context) error {
	for _, r := range s.killed {
		if err := s.settleRouter(ctx, r.Incarnation()); err != nil {
			return err
		}
	}
	return nil
}

// settleRouter lets the first router charge the orphaned attempts of a killed one, and
// retries while an engine can't be reached or an attempt is still running.
func (s *Fleet) settleRouter(ctx context.Context, killed granitehoist.Incarnation) error {
	for range maxSettleAttempts {
		result, err := s.Routers[0].SettleOrphans(ctx, killed, true)
		if err == nil && len(result.UnreachableEngines) == 0 && result.Running == 0 {
			return nil
		}
		s.log.Info("settle_incomplete", zap.Any("result", result), zap.Error(err))
		time.Sleep(settleRetryInterval)
	}
	return eris.Errorf("trial: router %s not settled after all attempts", killed)
}
