// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// relayWait is how long a relay may hold a call while it has no change to report.
	relayWait = 400 * time.Millisecond
	// maxRelayAge is the age above which a relay's copy, or the router's own, no longer
	// counts as that of the store. It is above relayWatchWait, so a relay that reaches the
	// store stays below it.
	maxRelayAge = 1500 * time.Millisecond
	// relayTries is the number of relays that a step asks before it asks the store itself.
	relayTries = 2
	// avoidRelayFor is how long a relay is left out after it failed.
	avoidRelayFor = 2 * time.Second
	// avoidOldRelayFor is how long a relay is left out whose copy is old. It is shorter:
	// such a relay finds out soon that the store is back, and asking it costs the store
	// nothing.
	avoidOldRelayFor = 500 * time.Millisecond
	// silentFor is how long a relay's word counts that the store does not answer it: as
	// long as a relay that failed is left out.
	silentFor = avoidRelayFor
	// minSilentRelays is how many relays must say so for the store to count as away: one
	// or two of a zone may be cut off together.
	minSilentRelays = 3
	// relayWatchWait bounds the watches of a router that is a relay itself, so that its
	// copy stays below maxRelayAge.
	relayWatchWait = time.Second
	// relayFor is how long a router counts as a relay after another router called Updates.
	relayFor = 5 * time.Second
)

// relayVerdict says how far a relay's answer can be used.
type relayVerdict int

const (
	// relayFailed says that there is no answer, or none about the prefix.
	relayFailed relayVerdict = iota
	// relayOld says that the changes can be applied, but that the relay's copy is
	// too old to stand for the store.
	relayOld
	// relayFresh says that the answer can stand for one of the store.
	relayFresh
)

// judgeRelay decides whether a relay's answer about a prefix can stand for the
// store's. A relay that can't reach the store still answers; only the age of its
// copy shows that.
func judgeRelay(update Update, err error, prefix string) relayVerdict {
	switch {
	case err != nil || !update.HasCopy || update.Prefix != prefix:
		return relayFailed
	case update.Age > maxRelayAge:
		return relayOld
	}
	return relayFresh
}

// shouldHold decides whether a relay holds a call until something changes. It
// answers at once if there is a change to report. It also does so if its copy is
// missing or old, so that the caller can ask another relay.
func shouldHold(update Update, wait time.Duration) bool {
	return wait > 0 && len(update.Entries) == 0 && update.HasCopy && update.Age <= maxRelayAge
}

// relayChoice chooses the relay that a router asks next. The zero value works.
// It is not safe for concurrent use.
type relayChoice struct {
	// turn counts the relays considered, so that each is asked in turn.
	turn int
	// seen has what each relay last answered that was not usable, by its address.
	seen map[string]relayFailure
}

// relayFailure is an answer of a relay that could not stand for the store's.
type relayFailure struct {
	verdict relayVerdict
	at      time.Time
}

// avoids reports whether the relay is still left out.
func (r relayFailure) avoids(now time.Time) bool {
	if r.verdict == relayOld {
		return now.Sub(r.at) <= avoidOldRelayFor
	}
	return now.Sub(r.at) <= avoidRelayFor
}

// next returns the next relay in turn that did not fail a short while ago, and
// false if there is none.
func (c *relayChoice) next(relays []granitehoist.Peer, now time.Time) (granitehoist.Peer, bool) {
	for range relays {
		c.turn++
		relay := relays[c.turn%len(relays)]
		if failure, failed := c.seen[relay.Address]; !failed || !failure.avoids(now) {
			return relay, true
		}
	}
	return granitehoist.Peer{}, false
}

// note records that a relay's answer was not fresh, which keeps next from returning
// it for a while.
func (c *relayChoice) note(relay granitehoist.Peer, verdict relayVerdict, now time.Time) {
	if c.seen == nil {
		c.seen = map[string]relayFailure{}
	}
	c.seen[relay.Address] = relayFailure{verdict: verdict, at: now}
}

// allSaySilent reports whether the relays agree that the store is away: at least
// minSilentRelays, or all if there are fewer, said so within silentFor.
func (c *relayChoice) allSaySilent(relays []granitehoist.Peer, now time.Time) bool {
	silent := 0
	for _, relay := range relays {
		failure, failed := c.seen[relay.Address]
		if failed && failure.verdict == relayOld && now.Sub(failure.at) <= silentFor {
			silent++
		}
	}
	return silent > 0 && silent >= min(minSilentRelays, len(relays))
}
