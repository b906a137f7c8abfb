// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/orphan"
)

const (
	orphanRole = "orphan/settler"
	// orphanInterval is the time between looks for routers that died.
	orphanInterval = 30 * time.Second
	// maxOrphanRounds bounds how often one dead router is settled: an engine that
	// was away at first is asked again.
	maxOrphanRounds = 20
)

// settleOrphans charges the attempts of the region's dead routers, as long as
// this router has that role.
func (r *Router) settleOrphans(ctx context.Context) {
	rounds := map[granitehoist.Incarnation]int{}
	ticker := time.NewTicker(orphanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		holder, ok := r.registry.View().Holder(r.self.Region, orphanRole)
		if !ok || holder.Incarnation != r.self.Incarnation {
			continue
		}
		silent, err := r.orphans.Silent(ctx, r.settings.Clock())
		if err != nil {
			r.logFailure("orphan_failed", err)
			continue
		}
		for _, dead := range silent {
			if rounds[dead]++; rounds[dead] <= maxOrphanRounds {
				r.settleOne(ctx, dead)
			}
		}
	}
}

func (r *Router) settleOne(ctx context.Context, dead granitehoist.Incarnation) {
	result, err := r.SettleOrphans(ctx, dead, false)
	if err != nil {
		r.logFailure("orphan_failed", err)
		return
	}
	if result.Charged > 0 {
		r.settings.Log.Info("orphans_charged",
			zap.String("dead", string(dead)),
			zap.Int("charged", result.Charged),
			zap.Int("running", result.Running),
			zap.Int("unreached", len(result.Unreached)))
	}
}

// SettleOrphans charges the attempts of a dead router. If stop is set, those
// that still run are ended; the router must then be known to be gone.
func (r *Router) SettleOrphans(ctx context.Context, dead granitehoist.Incarnation, stop bool) (orphan.Result, error) {
	return r.orphans.Settle(ctx, dead, stop, r.settings.Clock())
}
