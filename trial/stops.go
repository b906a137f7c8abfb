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
	// begun counts those that were begun, running waits for them to end, and
	// failures counts those that left something undone.
	begun    int
	running  sync.WaitGroup
	failures atomic.Int64
}

// replaceOne starts a router in the place of another, which it stops in the
// background. Callers use the new one before the old one stops, as with a balancer
// that asks for readiness.
func (s *Site) replaceOne(ctx context.Context, i int) {
	old := s.Routers[i]
	s.stops.begun++
	fresh, err := s.startRouter(old.Partner(), old.Zone(), routersPerZone+s.stops.begun, anyPort)
	if err == nil {
		err = s.waitInForce(ctx, fresh)
	}
	if err != nil {
		s.stopFailed(err)
		return
	}
	s.mu.Lock()
	s.Routers[i] = fresh
	s.mu.Unlock()
	s.stops.running.Go(func() {
		if err := old.Stop(ctx); err != nil {
			s.stopFailed(err)
		}
	})
}

// stopFailed notes that a planned stop was not graceful.
func (s *Site) stopFailed(err error) {
	s.log.Error("stop_failed", zap.Error(err))
	s.stops.failures.Add(1)
}

// killOne ends a router without warning.
func (s *Site) killOne(i int) {
	s.mu.Lock()
	r := s.Routers[i]
	s.Routers = slices.Delete(slices.Clone(s.Routers), i, i+1)
	s.mu.Unlock()
	s.dead = append(s.dead, r)
	r.Kill()
}

const (
	// settleTries bounds the tries of settling a dead router. An engine may be too busy to
	// answer at first; routers ask again in the same way.
	settleTries = 50
	// settlePause is the time between two tries.
	settlePause = 100 * time.Millisecond
)

// settleDead lets a router charge the orphans of the dead, until every engine
// has been asked and no attempt runs.
func (s *Site) settleDead(ctx context.Context) error {
	for _, r := range s.dead {
		if err := s.settleOne(ctx, r.Incarnation()); err != nil {
			return err
		}
	}
	return nil
}

// settleOne lets the first router charge the orphans of a dead one, and tries again
// while an engine can't be asked or an attempt still runs.
func (s *Site) settleOne(ctx context.Context, dead granitehoist.Incarnation) error {
	for range settleTries {
		result, err := s.Routers[0].SettleOrphans(ctx, dead, true)
		if err == nil && len(result.Unreached) == 0 && result.Running == 0 {
			return nil
		}
		s.log.Info("settle_incomplete", zap.Any("result", result), zap.Error(err))
		time.Sleep(settlePause)
	}
	return eris.Errorf("trial: router %s could not be settled", dead)
}
