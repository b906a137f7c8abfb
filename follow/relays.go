// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// relayPollTimeout is how long a relay may hold a call while there is no change.
	relayPollTimeout = 400 * time.Millisecond
	// maxRelayAge is the age above which the copy of a relay counts as stale. It exceeds
	// relayWatchTimeout, so that a relay with a working connection to the store is fresh.
	maxRelayAge = 1500 * time.Millisecond
	// maxRelayAttempts bounds the relays that a step polls before it calls the store.
	maxRelayAttempts = 2
	// failedRelayBackoff is how long a relay is left out after it failed.
	failedRelayBackoff = 2 * time.Second
	// staleRelayBackoff is how long a relay with a stale copy is left out. It is shorter
	// than failedRelayBackoff, since the copy is fresh again soon after the store recovers.
	staleRelayBackoff = 500 * time.Millisecond
	// outageReportTTL is how long a stale response counts as a report of a store outage.
	outageReportTTL = failedRelayBackoff
	// minOutageReports is the number of relays that must report an outage for the store to
	// count as unavailable. One or two relays may have lost only their own connection.
	minOutageReports = 3
	// relayWatchTimeout bounds the watches of a relay, so that its copy stays below
	// maxRelayAge.
	relayWatchTimeout = time.Second
	// relayRoleTTL is how long a router counts as a relay after a call of Updates.
	relayRoleTTL = 5 * time.Second
)

// relayResult classifies the response of a relay.
type relayResult int

const (
	// relayFailed means that there is no response, or none with a copy of the prefix.
	relayFailed relayResult = iota
	// relayStale means that the changes can be applied, but that the copy is too old to
	// replace a call to the store.
	relayStale
	// relayFresh means that the response replaces a call to the store.
	relayFresh
)

// classifyRelay classifies the response of a relay for a prefix. A relay that has lost the
// store still responds; only the age of its copy shows the loss.
func classifyRelay(update Update, err error, prefix string) relayResult {
	switch {
	case err != nil || !update.HasCopy || update.Prefix != prefix:
		return relayFailed
	case update.Age > maxRelayAge:
		return relayStale
	}
	return relayFresh
}

// shouldHold reports whether a relay holds a call until a change. It responds at once if
// there are changes, or if its copy is missing or stale, so that the caller can poll another
// relay.
func shouldHold(update Update, wait time.Duration) bool {
	return wait > 0 && len(update.Entries) == 0 && update.HasCopy && update.Age <= maxRelayAge
}

// relaySelector selects relays in round-robin order and leaves out those that failed. The
// zero value is ready to use. It is not safe for concurrent use.
type relaySelector struct {
	// position counts the relays considered; it determines the next one.
	position int
	// failures holds the last unusable response of each relay, by address.
	failures map[string]relayFailure
}

// relayFailure is a response that was not fresh, and when it arrived.
type relayFailure struct {
	result relayResult
	at     time.Time
}

// inBackoff reports whether the relay is still left out.
func (r relayFailure) inBackoff(now time.Time) bool {
	if r.result == relayStale {
		return now.Sub(r.at) <= staleRelayBackoff
	}
	return now.Sub(r.at) <= failedRelayBackoff
}

// next returns the next relay that is not in backoff, and false if there is none.
func (c *relaySelector) next(relays []granitehoist.Peer, now time.Time) (granitehoist.Peer, bool) {
	for range relays {
		c.position++
		relay := relays[c.position%len(relays)]
		if failure, failed := c.failures[relay.Address]; !failed || !failure.inBackoff(now) {
			return relay, true
		}
	}
	return granitehoist.Peer{}, false
}

// recordFailure records a response that was not fresh, which starts the backoff of the relay.
func (c *relaySelector) recordFailure(relay granitehoist.Peer, result relayResult, now time.Time) {
	if c.failures == nil {
		c.failures = map[string]relayFailure{}
	}
	c.failures[relay.Address] = relayFailure{result: result, at: now}
}

// outageReported reports whether the relays agree that the store is unavailable: at least
// minOutageReports of them, or all if there are fewer, were stale within outageReportTTL.
func (c *relaySelector) outageReported(relays []granitehoist.Peer, now time.Time) bool {
	reports := 0
	for _, relay := range relays {
		failure, failed := c.failures[relay.Address]
		if failed && failure.result == relayStale && now.Sub(failure.at) <= outageReportTTL {
			reports++
		}
	}
	return reports > 0 && reports >= min(minOutageReports, len(relays))
}
