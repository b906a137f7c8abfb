// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// leavingInterval is the time between looks at the platform's list of boxes.
// The users ask that an upstream gets no new requests a few seconds after it
// starts to leave.
const leavingInterval = 2 * time.Second

// watchLeaving keeps new requests from upstreams whose boxes the platform lists
// as leaving. While the list can't be read, the last one stays in use.
func (r *Router) watchLeaving(ctx context.Context) {
	if r.settings.Platform == nil {
		return
	}
	ticker := time.NewTicker(leavingInterval)
	defer ticker.Stop()
	for {
		boxes, err := r.settings.Platform.Boxes(ctx)
		switch {
		case err == nil:
			r.parts.table.SetLeaving(leavingUpstreams(r.View().Offers(r.self.Partner), boxes))
		case ctx.Err() == nil:
			r.logFailure("leaving_failed", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leavingUpstreams decides which upstreams get no new requests: those whose
// document names a box that the platform lists as leaving. boxes is the
// platform's list, which lags; its value is true for a box that leaves.
func leavingUpstreams(offers []*config.Offer, boxes map[granitehoist.Box]bool) map[granitehoist.Upstream]bool {
	leaving := map[granitehoist.Upstream]bool{}
	for _, offer := range offers {
		for _, u := range offer.Upstreams {
			if u.Box != "" && boxes[u.Box] {
				leaving[u.Name] = true
			}
		}
	}
	return leaving
}
