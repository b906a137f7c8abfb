// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "granitehoist.example/granitehoist"

// milliseconds is an estimate of the time that a request loses at an instance. It
// only ranks instances; the exact value does not matter.
type milliseconds float64

// The weights of the parts of a cost.
const (
	// promptTokensPerMS is the prompt tokens that an instance reads in a
	// millisecond. The users' pages give 56.6 and 56.9 for their two sites; the
	// rounder value below both is chosen, not measured.
	promptTokensPerMS = 50.0
	// perRequestMS is the milliseconds by which each request in progress slows a
	// further one. Chosen, not measured; about one step of the users' upstreams,
	// for which their pages give 3.79 and 3.09 ms and more.
	perRequestMS = 4.0
	// smallCapacity is the capacity, in requests at once, below which one more request
	// weighs more, in proportion.
	smallCapacity = 16
	// failureMS is what a request loses at an instance that fails every attempt: the time
	// of the failed attempt and of the retry.
	failureMS = 400.0
	// otherZoneMS is what a request loses on the way to another availability
	// zone. Chosen, not measured; the users' pages give 0.9 and 0.5 ms for one
	// way between zones. It decides only between almost equal instances.
	otherZoneMS = 1.0
	// slowReadingMS is what a heavy prompt costs the streams beside it at a slow instance,
	// beyond that at others: more than the queues of other instances cost at most times.
	slowReadingMS = 300.0
	// otherPaceMS is what a request costs at an instance of the pace that was not drawn
	// for it (prefersSlow): more than the queues of the others cost at most times.
	otherPaceMS = 100.0
	// cacheMissWeight is the extra cost of reading a prefix away from its owner, as
	// a part of the reading time. Chosen, not measured by itself;
	// it came with commit 7965447, whose scores cover several changes.
	cacheMissWeight = 0.5
)

// load is the input from which the cost of an instance is computed.
type load struct {
	// queuedTokens are those of prompts that this router sent to the instance
	// and of which no event has arrived yet. It lacks those of other routers.
	queuedTokens granitehoist.Tokens
	// unreadTokens are those of the request's own prompt that the instance is
	// likely not to have in its cache.
	unreadTokens granitehoist.Tokens
	// unownedPrefixTokens are those of the request's prefix if another instance owns
	// it, or none does; zero at the owner.
	unownedPrefixTokens granitehoist.Tokens
	// inFlight is the number of this router's requests in progress there.
	inFlight int
	// capacity is the number of requests that the instance runs at once; zero if
	// it is unknown.
	capacity int
	// failureRate is the mean of its failures, from 0 to 1.
	failureRate float64
	otherZone   bool
	// slow says that the instance is a slow one of its service, heavy that the
	// prompt is heavy for the streams beside it.
	slow, heavy bool
	// prefersSlow says that slow instances were drawn for the request.
	prefersSlow bool
	// tieBreak is a random number from 0 up to 1 that chooses among instances
	// whose costs differ by less than a millisecond, so that routers which see
	// the same loads do not all choose the same one.
	tieBreak float64
}

// cost estimates in milliseconds what a request loses at an instance. Pick
// chooses the instance with the least. Its terms, in the order in which they are
// added (the order is part of the result, which is rounded at each step):
//
//   - the reading of the queued prompts and of the request's own;
//   - what a prefix costs at an instance that does not own it: it takes memory
//     there, and other routers go on asking the owner for it;
//   - the slowing by the requests in progress;
//   - the expected loss to a failure;
//   - the pauses of the streams there (slow.go);
//   - the way to another availability zone;
//   - up to one millisecond that is random.
func (l *load) cost() milliseconds {
	cost := float64(l.queuedTokens+l.unreadTokens) / promptTokensPerMS
	cost += cacheMissWeight * float64(l.unownedPrefixTokens) / promptTokensPerMS
	cost += perRequestMS * float64(l.inFlight) * l.capacityScale()
	cost += failureMS * l.failureRate
	switch {
	case l.slow && l.heavy:
		cost += slowReadingMS
	case !l.heavy && l.slow != l.prefersSlow:
		cost += otherPaceMS
	}
	if l.otherZone {
		cost += otherZoneMS
	}
	return milliseconds(cost + l.tieBreak)
}

// capacityScale returns how much more a request in progress slows an instance of
// small capacity. An unknown capacity counts as large.
func (l *load) capacityScale() float64 {
	if l.capacity <= 0 || l.capacity >= smallCapacity {
		return 1
	}
	return smallCapacity / float64(l.capacity)
}
