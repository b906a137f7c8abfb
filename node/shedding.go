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

// This file decides whether a box sheds its callers. The balancer gives each box
// a share of the callers by a hash, so that one box may get many times the share
// of another, and more than its link carries. Such a box reports that it is not
// ready and asks its callers to reconnect, so that they reach other boxes.
//
// The inputs are readings of the bytes that passed over the callers' and the
// upstreams' connections, one each linkInterval, and the link's rate from the
// settings. Refusing requests early instead was not tried: their bodies would
// still arrive.
//
// Measured on tuul-hire-grown quiet-1: a box received 1.17 of 1.25 MB/s for ten
// seconds and served none of its requests; shedding at these bounds raised the
// day from 0.598 to 0.666 (docs/design/platform.md, "Full links"). The bounds
// themselves were not varied.
const (
	// shedAboveLoad is the load, as a share of the link's rate, above which a box begins
	// to shed: below a full link, so that loans and calls to the store still pass.
	shedAboveLoad = 0.82
	// stopSheddingBelowLoad is the load, as a share of the link's rate, below which a box
	// stops shedding: far enough below shedAboveLoad that the callers who return don't
	// fill the link again at once.
	stopSheddingBelowLoad = 0.5
	// minSheddingTime is the least time of shedding. The balancer asks once a
	// second and takes a box out after two answers without a 200, so that a
	// shorter time would not reach it.
	minSheddingTime = 3 * time.Second
	// minSheddingPause is the least time from one shedding to the next: the balancer's two
	// questions, one second apart.
	minSheddingPause = 2 * time.Second
	// linkInterval is the time between two readings of the link.
	linkInterval = 500 * time.Millisecond
	// linkWindow is the number of intervals over which the load is averaged. Two are one
	// second, so that a burst of a single interval does not shed.
	linkWindow = 2
)

// linkWatch decides whether a box sheds callers. The zero value never sheds,
// since it has no capacity. It is not safe for concurrent use.
type linkWatch struct {
	// capacity is the link's rate in bytes a second; zero if the settings don't
	// give it: the box then never sheds.
	capacity float64
	// readings holds the last linkWindow readings.
	readings []linkmeter.Reading
	shedding bool
	// changedAt is when shedding last changed.
	changedAt time.Time
}

// observe adds a reading and reports whether the box should shed callers from the
// reading's time on.
func (w *linkWatch) observe(r linkmeter.Reading) bool {
	w.readings = append(w.readings, r)
	if len(w.readings) <= linkWindow || w.capacity <= 0 {
		return w.shedding
	}
	load := r.Rate(w.readings[0]) / w.capacity
	w.readings = w.readings[1:]
	sinceChange := r.At.Sub(w.changedAt)
	switch {
	case !w.shedding && load > shedAboveLoad && sinceChange >= minSheddingPause:
		w.shedding, w.changedAt = true, r.At
	case w.shedding && load < stopSheddingBelowLoad && sinceChange >= minSheddingTime:
		w.shedding, w.changedAt = false, r.At
	}
	return w.shedding
}

const (
	// bitsPerByte and bitsPerMbit turn the link's rate from Mbit/s into bytes a
	// second.
	bitsPerByte = 8
	// bitsPerMbit is a unit, see bitsPerByte.
	bitsPerMbit = 1e6
)

// watchLink reads the meter each linkInterval and stores in n.shedding whether
// this box sheds callers, until ctx ends.
func (n *Node) watchLink(ctx context.Context) {
	var watch linkWatch
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
		after := watch.observe(n.parts.meter.Read(n.clock()))
		if before == after {
			continue
		}
		n.shedding.Store(after)
		n.log.Warn(event.Shedding, zap.Bool("on", after), zap.Float64("link_mbps", linkMbps), zap.Int("active", n.parts.forwarder.Active()))
	}
}
