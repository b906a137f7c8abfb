// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "granitehoist.example/granitehoist"

// milliseconds is the estimated delay of a request at an instance, penalties included. It
// serves only to rank instances.
type milliseconds float64

// The weights of the terms of a cost.
const (
	// promptTokensPerMS is the assumed prefill rate of an instance in tokens per
	// millisecond.
	promptTokensPerMS = 50.0
	// perRequestMS is the delay that each request in progress adds to another one, about
	// one decoding step.
	perRequestMS = 4.0
	// smallCapacity is the capacity, in concurrent requests, below which the delay of a
	// request in progress grows in inverse proportion to the capacity.
	smallCapacity = 16
	// failureMS is the delay by a failed attempt: its time and that of the retry.
	failureMS = 400.0
	// crossZoneMS is the network delay to another availability zone of the same region. It
	// decides only between almost equal instances.
	crossZoneMS = 1.0
	// slowPrefillMS is the penalty for a heavy prompt at a slow instance, where its prefill
	// delays concurrent streams most. It usually exceeds the queueing cost of instances
	// that are not slow.
	slowPrefillMS = 300.0
	// nonPreferredSpeedMS is the penalty for a request that is not heavy at an instance of
	// the speed class (slow or not slow) that the request does not prefer (prefersSlow). It
	// usually exceeds the queueing cost of the preferred instances.
	nonPreferredSpeedMS = 100.0
	// cacheMissWeight is the penalty for a prefix at an instance that does not own it, as a
	// fraction of the prefix's prefill time.
	cacheMissWeight = 0.5
)

// load is the input of the cost function for one instance.
type load struct {
	// queuedTokens counts the uncached prompt tokens of this router's attempts at the
	// instance for which no event has arrived yet. Attempts of other routers are unknown.
	queuedTokens granitehoist.Tokens
	// uncachedTokens counts the tokens of the request's prompt that are probably not in
	// the instance's cache.
	uncachedTokens granitehoist.Tokens
	// unownedPrefixTokens is the length of the request's prefix, and zero if the instance
	// owns the prefix.
	unownedPrefixTokens granitehoist.Tokens
	// inFlight is the number of this router's requests in progress at the instance.
	inFlight int
	// capacity is the number of requests that the instance runs at once; zero if unknown.
	capacity int
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate float64
	// networkDelay is the delay by the network (locality.go).
	networkDelay milliseconds
	// slow reports that the instance is slow for its service, heavy that the prompt is
	// heavy (slow.go).
	slow, heavy bool
	// prefersSlow reports that the request prefers slow instances unless it is heavy.
	prefersSlow bool
	// tieBreak is a random number in [0, 1) that separates instances whose costs differ
	// by less than a millisecond, so that routers with the same view do not all choose
	// the same one.
	tieBreak float64
}

// cost returns the estimated cost of a request at an instance. Pick chooses the instance
// with the least cost. The terms, in the order of summation (which affects rounding), are:
//
//   - the prefill of the queued prompts and of the request's uncached tokens;
//   - a penalty at an instance that does not own the prefix: the prefix takes space in
//     that instance's cache, while other routers keep using the owner;
//   - the delay by the requests in progress;
//   - the expected delay by failures;
//   - a penalty for a heavy prompt at a slow instance, or for a request that is not heavy
//     at an instance of the speed class that the request does not prefer (slow.go);
//   - the network delay to another availability zone or region;
//   - up to one millisecond of random tie-break.
func (l *load) cost() milliseconds {
	cost := float64(l.queuedTokens+l.uncachedTokens) / promptTokensPerMS
	cost += cacheMissWeight * float64(l.unownedPrefixTokens) / promptTokensPerMS
	cost += perRequestMS * float64(l.inFlight) * l.capacityScale()
	cost += failureMS * l.failureRate
	switch {
	case l.slow && l.heavy:
		cost += slowPrefillMS
	case !l.heavy && l.slow != l.prefersSlow:
		cost += nonPreferredSpeedMS
	}
	cost += float64(l.networkDelay)
	return milliseconds(cost + l.tieBreak)
}

// capacityScale returns the factor by which a small capacity increases the delay of a
// request in progress. An unknown capacity counts as large.
func (l *load) capacityScale() float64 {
	if l.capacity <= 0 || l.capacity >= smallCapacity {
		return 1
	}
	return smallCapacity / float64(l.capacity)
}
