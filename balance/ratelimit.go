// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"strconv"
	"time"
)

// An overloaded instance states in its responses how many requests a second it accepts
// from all routers together. Routers that know of a limit need a permit (permit.go) for
// each request, because a router does not see the requests of other routers.
//
// This file maintains a router's view of the limit (knownLimit). A view states the limit
// that was in force at one time, asOf:
//
//   - A response that does not relax the limit (a first, an equal or a lower rate) always
//     replaces the view; asOf is its arrival.
//   - A response that relaxes the limit (a higher rate, or none) may have been sent before
//     the limit was set. It replaces the view only if its request was sent at asOf of the
//     current view or later; the new asOf is the time of the request.

// Rate is a number of requests a second.
type Rate float64

// RateFeedback is the rate information in one response: the rate that the instance
// accepts from all routers together. The zero value carries no information.
type RateFeedback struct {
	// HasRate reports that the response states Rate.
	HasRate bool
	Rate    Rate
	// Unreadable reports that the response states an invalid rate.
	Unreadable bool
	// FromInstance reports that the response certainly comes from the instance, so that the
	// absence of a rate means that there is no limit.
	FromInstance bool
}

// Stated reports whether the response states a rate, valid or not.
func (f RateFeedback) Stated() bool { return f.HasRate || f.Unreadable }

// String returns the rate, "unreadable", or "none".
func (f RateFeedback) String() string {
	switch {
	case f.HasRate:
		return strconv.FormatFloat(float64(f.Rate), 'g', -1, 64)
	case f.Unreadable:
		return "unreadable"
	}
	return "none"
}

// knownLimit is a router's view of the rate limit of one incarnation of an instance. The
// zero value is that of an instance that never set a limit.
type knownLimit struct {
	limited bool
	rate    Rate
	// asOf is the time at which the limit, or its absence, was in force.
	asOf time.Time
	// version is the table's updateVersion when a response to this router set or lifted
	// the limit; zero if the information came from another router.
	version uint64
}

// withResponse returns the view after a response that arrived at now to a request sent at
// sent.
func (k knownLimit) withResponse(f RateFeedback, sent, now time.Time) knownLimit {
	switch {
	case f.Unreadable, !f.HasRate && !f.FromInstance:
		return k
	case f.HasRate && (!k.limited || f.Rate <= k.rate):
		return knownLimit{limited: true, rate: f.Rate, asOf: now, version: k.version}
	case sent.Before(k.asOf):
		return k
	}
	return knownLimit{limited: f.HasRate, rate: f.Rate, asOf: sent, version: k.version}
}

// merged returns the view after another router reported its view: the one with the later
// asOf.
func (k knownLimit) merged(other knownLimit) knownLimit {
	if !other.asOf.After(k.asOf) {
		return k
	}
	return knownLimit{limited: other.limited, rate: other.rate, asOf: other.asOf}
}

// LimitChange reports that a rate limit was set, changed or lifted.
type LimitChange struct {
	Instance
	// Limited reports that there is a limit of Rate; otherwise the limit was lifted.
	Limited bool
	Rate    Rate
	// Observed reports that the information came from a response to this router, not from
	// another router.
	Observed bool
}
