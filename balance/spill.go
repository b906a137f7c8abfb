// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"
)

// A region whose instances are lost, full or slow spills a part of its requests to other
// regions. A router sees only its own requests in progress, but the delays of their
// responses are caused by the load of all routers. Each router therefore compares the
// delays of the attempts in its own region with those in other regions, and adjusts the
// part that it spills. The routers of a region see about the same delays and spill about
// the same part, without messages.

const (
	// delayWeight is the weight of a new sample in the moving averages of delays.
	delayWeight = 0.1
	// spillFactor and spillMarginMS say how much longer the delay in the router's own region
	// must be than that in other regions before requests are spilled: by the factor, the way
	// and the margin. Both averages come from few samples, whose deviation grows with the
	// delay.
	spillFactor   = 1.5
	spillMarginMS = 50.0
	// spillFullMS is the excess delay at which the spilled part changes fastest.
	spillFullMS = 200.0
	// spillPerSecond is the largest change of the spilled part per second. It is slow
	// compared with the time until a change shows in the averages.
	spillPerSecond = 0.2
	// maxSpill bounds the spilled part, so that the delays in the router's own region
	// remain known.
	maxSpill = 0.8
	// farDelayMemory is how long the average delay in other regions holds without a new
	// sample, and farDelayHalfLife the time in which it halves from then on, since it is not
	// measured while nothing crosses.
	farDelayMemory   = 5 * time.Second
	farDelayHalfLife = 2 * time.Second
	// maxSpillInterval bounds the time for which one sample changes the spilled part.
	maxSpillInterval = time.Second
)

// spillState is a router's view of the delays of one service by region. The zero value
// spills nothing.
type spillState struct {
	// near and far are the average delays in the router's own and in other regions, beyond
	// the prefill and the way.
	near, far milliseconds
	// farAt is when far was measured, updatedAt when share was updated.
	farAt, updatedAt time.Time
	// share is the part of the requests that is spilled, from 0 to maxSpill.
	share float64
}

// observe records the delay of an attempt. way is the delay by the network to the nearest
// other region.
func (s *spillState) observe(delay milliseconds, remote bool, way milliseconds, now time.Time) {
	if remote {
		s.far = s.farDelay(now)
		s.far += delayWeight * (max(0, delay) - s.far)
		s.farAt = now
	} else {
		s.near += delayWeight * (max(0, delay) - s.near)
	}
	s.adjust(way, now)
}

// farDelay returns the average delay in other regions, reduced if it was measured long ago.
func (s *spillState) farDelay(now time.Time) milliseconds {
	unmeasured := max(0, now.Sub(s.farAt)-farDelayMemory)
	return s.far * milliseconds(math.Exp2(-unmeasured.Seconds()/farDelayHalfLife.Seconds()))
}

// adjust changes the spilled part in proportion to the excess delay in the router's own
// region.
func (s *spillState) adjust(way milliseconds, now time.Time) {
	elapsed := min(now.Sub(s.updatedAt), maxSpillInterval)
	s.updatedAt = now
	excess := (s.near - spillFactor*s.farDelay(now) - way - spillMarginMS) / spillFullMS
	s.share += spillPerSecond * elapsed.Seconds() * float64(max(-1, min(1, excess)))
	s.share = max(0, min(maxSpill, s.share))
}

// observeDelay records the delay of the lease's attempt for the spill of its service. The
// caller holds the table's lock.
func (l *Lease) observeDelay(delay milliseconds, now time.Time) {
	locality := &l.table.locality
	if locality.several {
		l.service.spill.observe(delay, locality.isRemote(l.Zone), locality.nearestWay(), now)
	}
}

// spill returns the choices of a query: those in other regions if a random draw decides
// that the query is spilled, otherwise all. It draws only while the service spills requests
// and there are choices in the router's own and in other regions, and not for a query with a
// Pin. The caller holds mu.
func (t *Table) spill(service *serviceState, q *Query, choices []*instanceState) []*instanceState {
	if q.Pin != 0 || service.spill.share == 0 {
		return choices
	}
	far := t.locality.far(choices)
	if len(far) == 0 || len(far) == len(choices) || t.random.Float64() >= service.spill.share {
		return choices
	}
	q.spilled = true
	return far
}
