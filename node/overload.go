// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/linkmeter"
)

// The balancer gives each box a share of the callers by a hash, so that one box
// may get many times the share of another, and more than its link carries. Such
// a box says that it is not ready and asks its callers to connect anew, so that
// they reach other boxes.

// Bounds of shedding callers, as parts of the link's rate.
const (
	shedAboveLoad         = 0.82
	stopSheddingBelowLoad = 0.5
	// minSheddingTime is the least time of shedding: the balancer and the callers
	// notice late.
	minSheddingTime = 3 * time.Second
	// minSheddingPause is the least time from one shedding to the next.
	minSheddingPause = 2 * time.Second
	linkInterval     = 500 * time.Millisecond
	// linkWindow is the number of intervals over which the rate is taken.
	linkWindow = 2
)

// linkWatch decides whether a box sheds callers.
type linkWatch struct {
	// capacity is the link's rate in bytes a second; zero never sheds.
	capacity  float64
	readings  []linkmeter.Reading
	shedding  bool
	changedAt time.Time
}

// observe takes a reading in, and reports whether the box should shed callers.
func (w *linkWatch) observe(r linkmeter.Reading) bool {
	w.readings = append(w.readings, r)
	if len(w.readings) <= linkWindow || w.capacity <= 0 {
		return w.shedding
	}
	load := r.Rate(w.readings[0]) / w.capacity
	w.readings = w.readings[1:]
	lasted := r.At.Sub(w.changedAt)
	switch {
	case !w.shedding && load > shedAboveLoad && lasted >= minSheddingPause:
		w.shedding, w.changedAt = true, r.At
	case w.shedding && load < stopSheddingBelowLoad && lasted >= minSheddingTime:
		w.shedding, w.changedAt = false, r.At
	}
	return w.shedding
}

const bitsPerByte = 8

// watchLink keeps the decision until ctx ends.
func (n *Node) watchLink(ctx context.Context) {
	watch := linkWatch{capacity: n.config.LinkMbps * 1e6 / bitsPerByte}
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := watch.shedding
		after := watch.observe(n.meter.Read(time.Now()))
		if before == after {
			continue
		}
		n.shedding.Store(after)
		n.log.Warn(event.Shedding, zap.Bool("on", after), zap.Float64("link_mbps", n.config.LinkMbps), zap.Int("active", n.path.Active()))
	}
}
