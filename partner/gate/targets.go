// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"sync"

	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/route"
)

// targetCache holds the route targets of the offers of one view. Its zero value
// is empty.
type targetCache struct {
	mu      sync.Mutex
	view    *config.View
	byOffer map[*config.Offer][]route.Target
}

// ofOffer returns an offer's upstreams: the same slice until the view changes, so
// that route.Table compares no names.
func (c *targetCache) ofOffer(v *config.View, offer *config.Offer) []route.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.byOffer = map[*config.Offer][]route.Target{}
	}
	prepared, ok := c.byOffer[offer]
	if !ok {
		prepared = newTargets(offer)
		c.byOffer[offer] = prepared
	}
	return prepared
}

func newTargets(offer *config.Offer) []route.Target {
	targets := make([]route.Target, len(offer.Upstreams))
	for i, u := range offer.Upstreams {
		targets[i] = route.Target{Name: u.Name, Concurrency: u.Concurrency}
	}
	return targets
}
