// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"sync"

	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/route"
)

// targetCache caches the route targets of the offers of one view. Its zero value is empty. It
// is safe for concurrent use.
type targetCache struct {
	mu      sync.Mutex
	view    *config.View
	byOffer map[*config.Offer][]route.Target
}

// get returns the targets of an offer. It returns the same slice until the view changes, so
// that route.Table need not compare names.
func (c *targetCache) get(v *config.View, offer *config.Offer) []route.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != v {
		c.view = v
		c.byOffer = map[*config.Offer][]route.Target{}
	}
	targets, ok := c.byOffer[offer]
	if !ok {
		targets = newTargets(offer)
		c.byOffer[offer] = targets
	}
	return targets
}

func newTargets(offer *config.Offer) []route.Target {
	targets := make([]route.Target, len(offer.Upstreams))
	for i, u := range offer.Upstreams {
		targets[i] = route.Target{Name: u.Name, Concurrency: u.Concurrency}
	}
	return targets
}
