// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

// leavingInterval is the polling interval of the platform's list of boxes. It bounds how
// long new requests go to an upstream after the platform lists its box as leaving.
const leavingInterval = 2 * time.Second

// watchLeaving polls the platform's list of boxes until ctx ends and stops new requests to
// upstreams on leaving boxes. While the list can't be read, the last list stays in use.
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
			r.components.table.SetDraining(leavingUpstreams(r.View().Offers(r.self.Partner), boxes))
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

// leavingUpstreams returns the upstreams that get no new requests: the upstreams on boxes
// that the platform lists as leaving. boxes is the platform's list, which may be stale; a
// value is true for a leaving box.
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
