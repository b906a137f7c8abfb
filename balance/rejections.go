// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"
)

// An instance may state how many requests a second it can reject for lack of capacity; it
// crashes if it has to reject more (Feedback.RejectionLimit). Each router keeps to its part
// of this limit. A request counts against the part from its choice until the instance has
// shown that it accepted it, and for rejectionWindow if it was rejected. An instance whose
// part is used up is deferred.
//
// Nothing bounds the requests that the instance accepts: a router whose requests are
// accepted at once sends as many as before. While no instance of the service rejects any, a
// router with a part below one may send one request at a time that fits into its part of
// the capacity.

const (
	// rejectionWindow is the time for which a rejection counts. It is longer than the second
	// of the limit by the delays of the network.
	rejectionWindow = 1100 * time.Millisecond
	// rejectionShare is the fraction of the limit that the routers use together while an
	// instance rejects requests. The rest is a margin for routers that start or that do not
	// know the limit yet.
	rejectionShare = 0.5
	// rejectionMemory is the time after a rejection for which rejectionShare applies.
	rejectionMemory = 5 * time.Second
	// hearingDelay is the time after the choice of an instance from which a sign of life may
	// show that the request was accepted. An instance rejects a request as soon as it reads
	// it, but a new connection takes some round trips. Two signs are needed, hearingDelay
	// apart, since an instance that was suspended sends old data first.
	hearingDelay = 50 * time.Millisecond
)

// rejections holds the rejection limit of one incarnation of an instance and what this
// router has used of it. The zero value has no limit. It is guarded by the lock of its
// table.
type rejections struct {
	// limit is the limit that the instance stated last, zero if none. statedAt is when it
	// arrived.
	limit    int
	statedAt time.Time
	// version is the table's updateVersion when a response to this router stated the limit;
	// zero if another router did.
	version uint64
	// answered is set once a response of the instance to this router has arrived.
	answered bool
	// times holds the rejections within rejectionWindow, oldest first, lastAt the latest.
	times  []time.Time
	lastAt time.Time
	// unconfirmed holds the requests that the instance has not shown to have accepted, in
	// the order of their choice.
	unconfirmed []*Lease
}

// limitOr returns the limit to keep to. An instance that has not responded to this router
// yet has that of its service, zero if no instance of it states one.
func (r *rejections) limitOr(ofService int) int {
	if r.answered || r.limit > 0 {
		return r.limit
	}
	return ofService
}

// serviceRejections summarizes the rejections of a service's instances.
type serviceRejections struct {
	// limit is the lowest limit that an instance states, zero if none does.
	limit int
	// rejecting reports that an instance rejected a request a short while ago. The others
	// are then nearly full as well, since the routers balance their load.
	rejecting bool
}

// rejections returns the summary of the service at now.
func (s *serviceState) rejections(now time.Time) serviceRejections {
	var all serviceRejections
	for _, i := range s.instances {
		limit := i.rejections.limit
		if limit > 0 && (all.limit == 0 || limit < all.limit) {
			all.limit = limit
		}
		all.rejecting = all.rejecting || (limit > 0 && i.rejections.isRejecting(now))
	}
	return all
}

// endRejectionLimits ends the limits that instances stated before a time at which another
// one no longer stated its own. An instance to which they still apply states its limit
// again with its next response.
func (s *serviceState) endRejectionLimits(statedBefore time.Time) {
	for _, i := range s.instances {
		if i.rejections.statedAt.Before(statedBefore) {
			i.rejections.limit, i.rejections.version = 0, 0
		}
	}
}

// rejectionPart returns how many requests a router may let an instance reject within
// rejectionWindow. limit is the instance's limit, at least one, routers the number of
// routers that share it. rejecting says that the instance rejected a request a short while
// ago. draw is a number in [0, 1) that differs between routers.
//
// The fraction of a part is a chance of one request more: that of all routers together is
// then the share on average.
func rejectionPart(limit, routers int, rejecting bool, draw float64) int {
	part := float64(limit) / float64(max(1, routers))
	if part >= 1 && !rejecting {
		return int(part)
	}
	part *= rejectionShare
	whole := math.Floor(part)
	if draw < part-whole {
		whole++
	}
	return int(whole)
}

// isScarce reports whether a limit allows less than one rejection for each router. The
// routers then tell each other which instances reject requests.
func isScarce(limit, routers int) bool { return rejectionShare*float64(limit) < float64(routers) }

// part returns this router's part of a limit at now. seed identifies the router and the
// instance. The draw of rejectionPart changes with every rejectionWindow.
func (r *rejections) part(limit, routers int, seed uint64, now time.Time) int {
	return rejectionPart(limit, routers, r.isRejecting(now), drawOf(seed, rejectionRound(now)))
}

// isRejecting reports whether the instance rejected a request of any router, as far as this
// one knows, within rejectionMemory.
func (r *rejections) isRejecting(now time.Time) bool { return r.rejectingFor(now) > 0 }

// rejectingFor returns how long the instance still counts as rejecting requests.
func (r *rejections) rejectingFor(now time.Time) time.Duration {
	if r.lastAt.IsZero() {
		return 0
	}
	return max(0, rejectionMemory-now.Sub(r.lastAt))
}

// rejectionRound numbers the consecutive periods of rejectionWindow.
func rejectionRound(now time.Time) uint64 { return uint64(now.UnixNano() / int64(rejectionWindow)) }

// drawOf returns a number in [0, 1) that depends on both arguments only.
func drawOf(seed, round uint64) float64 {
	// The finalizer of SplitMix64.
	x := seed + round*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return float64(x>>11) / (1 << 53)
}

// used returns how much of its part this router uses at now.
func (r *rejections) used(now time.Time) int {
	for len(r.times) > 0 && now.Sub(r.times[0]) >= rejectionWindow {
		r.times = r.times[1:]
	}
	return len(r.times) + len(r.unconfirmed)
}

// holdsBack reports whether a request must not be sent to the instance now: it might be
// rejected, and this router's part is used up or a waiting request takes precedence.
func (s *instanceState) holdsBack(c *constraints) bool {
	if c.rejections.limit == 0 {
		return false
	}
	limit := s.rejections.limitOr(c.rejections.limit)
	if limit == 0 {
		return false
	}
	if !c.firstInQueue {
		return true
	}
	part := s.rejections.part(limit, c.routers, c.seed^s.idHash, c.now)
	if part == 0 && !c.rejections.rejecting && (s.inFlight+1)*c.routers <= s.concurrency() {
		// If all routers send as many, the instance has room for all of them.
		part = 1
	}
	return s.rejections.used(c.now) >= part
}

// retryIn returns the time until this router may use its part again, zero if unknown.
func (r *rejections) retryIn(now time.Time) time.Duration {
	switch {
	case len(r.unconfirmed) > 0:
		return 0
	case len(r.times) > 0:
		return max(0, r.times[0].Add(rejectionWindow).Sub(now))
	}
	// The next round may draw a part.
	return rejectionWindow - time.Duration(now.UnixNano()%int64(rejectionWindow))
}

// rejectionUse is how the request of a lease counts against its router's part of a rejection
// limit.
type rejectionUse struct {
	// limited reports that the instance had a rejection limit when it was chosen, scarce
	// that the limit was scarce (isScarce).
	limited, scarce bool
	// unconfirmed reports that the request counts because the instance has not shown yet
	// that it accepted it. heardAt is the first sign of life after the choice.
	unconfirmed bool
	heardAt     time.Time
}

// track counts a request against this router's part of a limit.
func (r *rejections) track(l *Lease) {
	l.use.unconfirmed = true
	r.unconfirmed = append(r.unconfirmed, l)
}

// confirm ends the count of a request whose outcome is known, and reports whether it was
// counted.
func (r *rejections) confirm(l *Lease) bool {
	if !l.use.unconfirmed {
		return false
	}
	l.use.unconfirmed = false
	for i, other := range r.unconfirmed {
		if other == l {
			r.unconfirmed = append(r.unconfirmed[:i:i], r.unconfirmed[i+1:]...)
			break
		}
	}
	return true
}

// reject records a rejection, or a request whose outcome will not be known.
func (r *rejections) reject(now time.Time) {
	r.times = append(r.times, now)
	r.lastAt = now
}

// hear records a sign of life of the instance, and reports whether it confirmed a request.
func (r *rejections) hear(now time.Time) bool {
	kept := r.unconfirmed[:0]
	for _, l := range r.unconfirmed {
		switch {
		case l.use.heardAt.IsZero() && now.Sub(l.picked) >= hearingDelay:
			l.use.heardAt = now
		case !l.use.heardAt.IsZero() && now.Sub(l.use.heardAt) >= hearingDelay:
			l.use.unconfirmed = false
			continue
		}
		kept = append(kept, l)
	}
	confirmed := len(kept) < len(r.unconfirmed)
	clear(r.unconfirmed[len(kept):])
	r.unconfirmed = kept
	return confirmed
}
