// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/orphan"
)

const (
	// orphanInterval is the time between two scans for crashed routers.
	orphanInterval = 30 * time.Second
	// maxOrphanRounds bounds the rounds in which the attempts of one crashed router are
	// charged. Rounds repeat for ten minutes, because engines may be unreachable at first.
	maxOrphanRounds = 20
)

// settleOrphans charges the attempts of the region's crashed routers every orphanInterval
// until ctx ends. It skips rounds in which this router does not hold orphanRole.
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
		if !r.hasRole(orphanRole) {
			continue
		}
		unresponsive, err := r.components.orphans.UnresponsiveRouters(ctx, r.settings.Clock())
		if err != nil {
			r.logFailure("orphan_failed", err)
			continue
		}
		for _, crashed := range unresponsive {
			if rounds[crashed]++; rounds[crashed] <= maxOrphanRounds {
				r.settleOne(ctx, crashed)
			}
		}
	}
}

// settleOne charges the ended attempts of one crashed router and logs the result.
func (r *Router) settleOne(ctx context.Context, crashed granitehoist.Incarnation) {
	result, err := r.SettleOrphans(ctx, crashed, false)
	if err != nil {
		r.logFailure("orphan_failed", err)
		return
	}
	if result.Charged > 0 {
		r.settings.Log.Info("orphans_charged",
			zap.String("dead", string(crashed)),
			zap.Int("charged", result.Charged),
			zap.Int("running", result.Running),
			zap.Int("unreached", len(result.UnreachableEngines)))
	}
}

// SettleOrphans charges the attempts of a crashed router. If stop is set, attempts that
// still run are aborted first, so the router must be known to have stopped. It is
// idempotent: no attempt is charged twice.
func (r *Router) SettleOrphans(ctx context.Context, crashed granitehoist.Incarnation, stop bool) (orphan.Result, error) {
	return r.components.orphans.Settle(ctx, crashed, stop, r.settings.Clock())
}

// serveOrphans charges the attempts of a router that an operator declares stopped, and
// removes its registration. It fails with RouterLive if the router still renews its lease.
func (r *Router) serveOrphans(w http.ResponseWriter, req *http.Request) {
	crashed := granitehoist.Incarnation(req.PathValue("incarnation"))
	for _, m := range r.store.members.View().Members() {
		if m.Incarnation == crashed {
			writeError(w, granitehoist.Errorf(granitehoist.RouterLive, "%s", crashed))
			return
		}
	}
	result, err := r.SettleOrphans(req.Context(), crashed, true)
	if err == nil {
		err = r.withdraw(req.Context(), crashed)
	}
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.StoreDown, err, ""))
		return
	}
	writeJSON(w, http.StatusOK, result)
}
