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
	// relayWatchAge, so that a relay with a working connection to the store is fresh.
	maxRelayAge = 1500 * time.Millisecond
	// maxRelayAttempts is the maximum number of relays that a step polls before it calls the
	// store, unless all of them are stale.
	maxRelayAttempts = 2
	// failedRelayBackoff is the backoff of a relay after the result relayFailed: how long the
	// relay is not polled.
	failedRelayBackoff = 2 * time.Second
	// staleRelayBackoff is the backoff of a relay after the result relayStale. It is shorter
	// than failedRelayBackoff, since the copy is fresh again soon after the store recovers.
	staleRelayBackoff = 500 * time.Millisecond
	// outageReportTTL is how long a stale response counts as a report of a store outage.
	outageReportTTL = failedRelayBackoff
	// minOutageReports is the number of relays that must report an outage for the store to
	// count as unavailable; with fewer relays, all of them must. One or two relays may have
	// lost only their own connection.
	minOutageReports = 3
	// relayWatchAge is the age of a relay's copy at which its watches end. It is below
	// maxRelayAge, so that the copy stays fresh while the store responds.
	relayWatchAge = time.Second
	// relayRoleTTL is how long a router counts as a relay after a call of Updates.
	relayRoleTTL = 5 * time.Second
)

// relayResult classifies the response of a relay.
type relayResult int

const (
	// relayFailed means that there is no response, or that the relay has no copy of the
	// prefix, or one of an earlier era of the store.
	relayFailed relayResult = iota
	// relayStale means that the changes are applied, but that the relay's copy is too old
	// for the response to replace a call to the store.
	relayStale
	// relayFresh means that the response replaces a call to the store.
	relayFresh
)

// classifyRelay classifies the response of a relay for a prefix. A relay that has lost the
// store still responds; only the age of its copy shows the loss. era is the era of this
// router's copy.
func classifyRelay(update Update, err error, prefix string, era granitehoist.Era) relayResult {
	switch {
	case err != nil || !update.HasCopy || update.Prefix != prefix || update.Version.Era() < era:
		return relayFailed
	case update.Age > maxRelayAge:
		return relayStale
	}
	return relayFresh
}

// shouldHold reports whether a relay holds a call until a change. The relay responds at once
// if there are changes, or if the relay's copy is missing or stale, so that the caller can
// poll another relay.
func shouldHold(update Update, wait time.Duration) bool {
	return wait > 0 && len(update.Entries) == 0 && update.HasCopy && update.Age <= maxRelayAge
}

// relaySelector selects relays in round-robin order and skips those in backoff. The zero
// value is ready to use. It is not safe for concurrent use.
type relaySelector struct {
	// position counts the relays considered, selected or skipped. It determines the next
	// relay.
	position int
	// failures holds, by address, the last response of each relay that was not fresh.
	failures map[string]relayFailure
}

// relayFailure is a response that was not fresh, and when it arrived.
type relayFailure struct {
	result relayResult
	at     time.Time
}

// inBackoff reports whether the relay is still in the backoff that the response started.
func (r relayFailure) inBackoff(now time.Time) bool {
	if r.result == relayStale {
		return now.Sub(r.at) <= staleRelayBackoff
	}
	return now.Sub(r.at) <= failedRelayBackoff
}

// next returns the next relay that is not in backoff, and false if there is none.
func (s *relaySelector) next(relays []granitehoist.Peer, now time.Time) (granitehoist.Peer, bool) {
	for range relays {
		s.position++
		relay := relays[s.position%len(relays)]
		if failure, failed := s.failures[relay.Address]; !failed || !failure.inBackoff(now) {
			return relay, true
		}
	}
	return granitehoist.Peer{}, false
}

// recordFailure records a response that was not fresh, which starts the backoff of the relay.
func (s *relaySelector) recordFailure(relay granitehoist.Peer, result relayResult, now time.Time) {
	if s.failures == nil {
		s.failures = map[string]relayFailure{}
	}
	s.failures[relay.Address] = relayFailure{result: result, at: now}
}

// outageReported reports whether the relays agree that the store is unavailable: the last
// result that was not fresh is relayStale, at most outageReportTTL ago, for at least
// minOutageReports relays, or for all relays if there are fewer.
func (s *relaySelector) outageReported(relays []granitehoist.Peer, now time.Time) bool {
	reports := 0
	for _, relay := range relays {
		failure, failed := s.failures[relay.Address]
		if failed && failure.result == relayStale && now.Sub(failure.at) <= outageReportTTL {
			reports++
		}
	}
	return reports > 0 && reports >= min(minOutageReports, len(relays))
}
