// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// A cold instance handles only a limited request rate and fails above it. The routers
// enforce the limit without communication: each may use an equal share (coldRateShare). A
// fractional share is rounded at random in each second. Unused quota expires with its
// second: otherwise all routers could send what they have saved at once. An instance whose
// quota is used up is not a candidate, so its prefixes pass to the other candidates
// (owner.go).

const (
	// coldUtilization is the fraction of a cold instance's rate limit that the routers use.
	// It leaves a margin for bursts, since the routers round their shares independently and
	// their seconds are not aligned. In simulated starts of an instance that takes 9.9
	// requests a second, the worst second had 10, 12, 13 and 9 requests with 1, 6, 87 and
	// 295 routers; at 0.75 it had 16, 19, 16 and 10, at 1 20, 22, 19 and 11.
	coldUtilization = 0.5
	// coldWindow is the period to which the quota applies.
	coldWindow = time.Second
	// coldAfterRestore is how long the instances of a zone count as cold after its
	// evacuation ends. Without requests they may have become cold, and the announcement of
	// an instance with ColdFor may arrive one heartbeat and one store poll after the end.
	coldAfterRestore = 2 * time.Second
)

// coldUntil returns when an instance announced at now will be warm; zero if it already
// is.
func coldUntil(coldFor time.Duration, now time.Time) time.Time {
	if coldFor <= 0 {
		return time.Time{}
	}
	return now.Add(coldFor)
}

// isCold reports whether the instance is expected to be cold.
func (s *instanceState) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// coldRateShare returns the request rate, in requests a second, that this router may send
// to a cold instance with the given rate limit; infinity if the limit is zero or negative.
func coldRateShare(limit float64, routers int) float64 {
	if limit <= 0 {
		return math.Inf(1)
	}
	return coldUtilization * limit / float64(max(1, routers))
}

// coldShare is the request rate that this router may send to each cold instance of a
// service, in requests a second (coldRateShare), with the source of random numbers.
type coldShare struct {
	perSecond float64
	random    *rand.Rand
}

// coldQuota is the number of requests that a router may still send to a cold instance in
// the current second. The zero value is that of an instance that has not been cold.
type coldQuota struct {
	// windowOffset is a random shift of the seconds, so that the routers do not refresh
	// their quotas at the same time.
	windowOffset time.Duration
	// currentSecond is the number of the second to which remaining applies, counted from
	// the Unix epoch and shifted by windowOffset.
	currentSecond int64
	remaining     int
}

// admitsWhileCold reports whether this router may send a request to a cold instance now.
func (s *instanceState) admitsWhileCold(share coldShare, now time.Time) bool {
	if math.IsInf(share.perSecond, 1) {
		return true
	}
	return s.coldQuota.refresh(share, now).remaining > 0
}

// refresh draws a new quota if a new second has begun, and returns the quota.
func (q *coldQuota) refresh(share coldShare, now time.Time) *coldQuota {
	if q.currentSecond == 0 {
		q.windowOffset = time.Duration(share.random.Int64N(int64(coldWindow)))
	}
	second := now.Add(q.windowOffset).UnixNano() / int64(coldWindow)
	if second != q.currentSecond {
		integer, fraction := math.Modf(share.perSecond)
		q.currentSecond, q.remaining = second, int(integer)
		if share.random.Float64() < fraction {
			q.remaining++
		}
	}
	return q
}

// consume counts a sent request.
func (q *coldQuota) consume() { q.remaining-- }
