// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"strconv"
	"time"
)

// An instance in need names in its answers how many requests a second it takes from all
// routers together, for as long as it says so. A router that knows of a limit sends the
// instance nothing without a permit (permit.go): no router sees what the others send, so
// that whatever each sends by itself is multiplied by their number.
//
// This file decides what a router believes of the limit. A statement that tightens it (a
// limit where there was none, or a lower one) holds from when its answer arrived. One
// that relaxes it (a higher limit, or none) holds from when the request of that answer was
// sent: the answer may have been under way before the limit was named.

// Rate is a number of requests a second.
type Rate float64

// RateStatement is what one answer says of the rate that its instance takes from all
// routers together. The zero value says nothing.
type RateStatement struct {
	// Named says that the answer names Rate.
	Named bool
	Rate  Rate
	// Unreadable says that it states something which is no rate.
	Unreadable bool
	// Own says that the answer is surely the instance's own, so that one which names
	// no rate says that there is no limit.
	Own bool
}

// Stated reports whether the answer states anything, readable or not.
func (s RateStatement) Stated() bool { return s.Named || s.Unreadable }

// String returns the rate, "unreadable", or "none".
func (s RateStatement) String() string {
	switch {
	case s.Named:
		return strconv.FormatFloat(float64(s.Rate), 'g', -1, 64)
	case s.Unreadable:
		return "unreadable"
	}
	return "none"
}

// knownLimit is what a router believes of the limit of one life of an instance. The zero
// value is that of an instance that has named none.
type knownLimit struct {
	named bool
	rate  Rate
	// asOf is when it held.
	asOf time.Time
	// version is the table's when this router itself saw the limit begin or end; zero if
	// it has that from others.
	version uint64
}

// after decides what is believed after an answer that arrived now to a request that was
// sent at sent.
func (k knownLimit) after(s RateStatement, sent, now time.Time) knownLimit {
	switch {
	case s.Unreadable, !s.Named && !s.Own:
		return k
	case s.Named && (!k.named || s.Rate <= k.rate):
		return knownLimit{named: true, rate: s.Rate, asOf: now, version: k.version}
	case sent.Before(k.asOf):
		return k
	}
	return knownLimit{named: s.Named, rate: s.Rate, asOf: sent, version: k.version}
}

// merged decides what is believed after another router told what it believes: whichever
// held later.
func (k knownLimit) merged(other knownLimit) knownLimit {
	if !other.asOf.After(k.asOf) {
		return k
	}
	return knownLimit{named: other.named, rate: other.rate, asOf: other.asOf}
}

// LimitChange tells that a router learned of a limit, of another rate, or of the end.
type LimitChange struct {
	Instance
	// Named says that there is a limit, of Rate; without it the limit has ended.
	Named bool
	Rate  Rate
	// Observed says that an answer to this router told so, and not another router.
	Observed bool
}
