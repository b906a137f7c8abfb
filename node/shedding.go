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

// The load balancer assigns callers to boxes by a hash, so that one box may get many
// times the share of another and more traffic than its link carries. Such a box reports
// that it is not ready and asks its callers to reconnect, so that they reach other boxes.
// Refusing requests instead would not relieve the link, since their bodies would still
// arrive.
//
// The load is measured as the bytes on the connections of callers and upstreams per
// linkInterval, relative to the configured bandwidth of the link.
const (
	// shedAboveLoad is the load, as a fraction of the link's bandwidth, above which a box
	// starts to shed. It leaves room for loans and calls to the store. Without shedding, a
	// box that received 1.17 of 1.25 MB/s for ten seconds served none of its requests. The
	// bounds were not varied.
	shedAboveLoad = 0.82
	// stopSheddingBelowLoad is the load, as a fraction of the link's bandwidth, below
	// which a box stops shedding. The gap to shedAboveLoad keeps returning callers from
	// filling the link again at once.
	stopSheddingBelowLoad = 0.5
	// minSheddingTime is the minimum duration of shedding. The load balancer checks once
	// a second and removes a box after two failed health checks, so that a shorter period
	// would have no effect.
	minSheddingTime = 3 * time.Second
	// minSheddingInterval is the minimum time from the end of shedding to the next start:
	// two health checks of the load balancer.
	minSheddingInterval = 2 * time.Second
	// linkInterval is the time between two readings of the link meter.
	linkInterval = 500 * time.Millisecond
	// linkWindowIntervals is the number of intervals over which the load is averaged, so
	// that a burst within one interval does not cause shedding.
	linkWindowIntervals = 2
)

// linkMonitor decides whether a box sheds callers. The zero value never sheds, since it
// has no capacity. It is not safe for concurrent use.
type linkMonitor struct {
	// capacity is the link's bandwidth in bytes per second. If it is zero, the box never
	// sheds.
	capacity float64
	// readings holds the last linkWindowIntervals readings.
	readings []linkmeter.Reading
	shedding bool
	// changedAt is when shedding last changed.
	changedAt time.Time
}

// observe adds a reading and reports whether the box sheds callers from then on.
func (m *linkMonitor) observe(r linkmeter.Reading) bool {
	m.readings = append(m.readings, r)
	if len(m.readings) <= linkWindowIntervals || m.capacity <= 0 {
		return m.shedding
	}
	load := r.Rate(m.readings[0]) / m.capacity
	m.readings = m.readings[1:]
	sinceChange := r.At.Sub(m.changedAt)
	switch {
	case !m.shedding && load > shedAboveLoad && sinceChange >= minSheddingInterval:
		m.shedding, m.changedAt = true, r.At
	case m.shedding && load < stopSheddingBelowLoad && sinceChange >= minSheddingTime:
		m.shedding, m.changedAt = false, r.At
	}
	return m.shedding
}

const (
	// bitsPerByte and bitsPerMbit convert Mbit/s to bytes per second.
	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// watchLink reads the meter each linkInterval and updates n.shedding, until ctx ends.
func (n *Node) watchLink(ctx context.Context) {
	var watch linkMonitor
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		linkMbps := n.live.Load().linkMbps
		watch.capacity = linkMbps * bitsPerMbit / bitsPerByte
		before := watch.shedding
		after := watch.observe(n.components.linkMeter.Read(n.clock()))
		if before == after {
			continue
		}
		n.shedding.Store(after)
		n.log.Warn(event.Shedding, zap.Bool("on", after), zap.Float64("link_mbps", linkMbps), zap.Int("active", n.components.forwarder.Active()))
	}
}
