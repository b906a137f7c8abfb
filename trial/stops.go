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
	// started counts the stops that were started, and failures the stops that failed.
	// running waits until all stops have ended.
	started  int
	running  sync.WaitGroup
	failures atomic.Int64
}

// replaceRouter replaces a router by a new one and stops the old router in the background.
// Callers are moved to the new router before the old router stops, as by a load balancer
// with readiness checks.
func (f *Fleet) replaceRouter(ctx context.Context, i int) {
	old := f.Routers[i]
	f.stops.started++
	replacement, err := f.startRouter(old.Partner(), old.Zone(), routersPerZone+f.stops.started, anyPort)
	if err == nil {
		err = f.waitInForce(ctx, replacement)
	}
	if err != nil {
		f.recordStopFailure(err)
		return
	}
	f.mu.Lock()
	f.Routers[i] = replacement
	f.mu.Unlock()
	f.stops.running.Go(func() {
		if err := old.Stop(ctx); err != nil {
			f.recordStopFailure(err)
		}
	})
}

// recordStopFailure logs and counts a failed planned stop.
func (f *Fleet) recordStopFailure(err error) {
	f.log.Error("stop_failed", zap.Error(err))
	f.stops.failures.Add(1)
}

// killRouter kills a router without draining it.
func (f *Fleet) killRouter(i int) {
	f.mu.Lock()
	r := f.Routers[i]
	f.Routers = slices.Delete(slices.Clone(f.Routers), i, i+1)
	f.mu.Unlock()
	f.killed = append(f.killed, r)
	r.Kill()
}

const (
	// maxSettleAttempts limits the attempts to settle a killed router. An engine may be too
	// busy to respond at first.
	maxSettleAttempts = 50
	// settleRetryInterval is the time between two attempts.
	settleRetryInterval = 100 * time.Millisecond
)

// settleKilled settles all killed routers.
func (f *Fleet) settleKilled(ctx context.Context) error {
	for _, r := range f.killed {
		if err := f.settleRouter(ctx, r.Incarnation()); err != nil {
			return err
		}
	}
	return nil
}

// settleRouter lets the first router charge the orphaned attempts of a killed router, and
// retries while an engine can't be reached or an attempt is still running.
func (f *Fleet) settleRouter(ctx context.Context, killed granitehoist.Incarnation) error {
	for range maxSettleAttempts {
		result, err := f.Routers[0].SettleOrphans(ctx, killed, true)
		if err == nil && len(result.UnreachableEngines) == 0 && result.Running == 0 {
			return nil
		}
		f.log.Info("settle_incomplete", zap.Any("result", result), zap.Error(err))
		time.Sleep(settleRetryInterval)
	}
	return eris.Errorf("trial: router %s not settled after all attempts", killed)
}
