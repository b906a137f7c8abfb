// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"granitehoist.example/granitehoist"
)

// Incarnation identifies one incarnation of an upstream process: a restart begins a new one.
type Incarnation string

// IncarnationOf returns the incarnation of an upstream. startedMS is its start time in
// milliseconds since the Unix epoch, and zero if unknown. The start time
// distinguishes the incarnations of an upstream that keeps its ID over a restart.
func IncarnationOf(id granitehoist.Upstream, startedMS int64) Incarnation {
	if startedMS == 0 {
		return Incarnation(id)
	}
	return Incarnation(string(id) + "@" + strconv.FormatInt(startedMS, 10))
}

// Crash is the crash of an upstream while a request may have been running there. The JSON
// names stay for compatibility.
type Crash struct {
	// Incarnation is the incarnation of the upstream.
	Incarnation Incarnation `json:"life"`
	// Round is the round of the crash; see evidence. Usually it is one more than the highest
	// round that the router knew of when it sent the request (Observation.toCrash).
	Round int `json:"round"`
	// EarlyRound is the round of the crash among the early crashes alone, which happen before
	// the first event of the response arrives. It is zero if the crash was not early.
	EarlyRound int `json:"early,omitempty"`
	// Cleared says that the crash is attributed to another cause, since the request
	// succeeded later or many upstreams crashed at once.
	Cleared bool `json:"cleared,omitempty"`
	// With holds the digests of the parts of the prompt, sorted, if the evidence is against
	// one of them: the crash is evidence against all of them together. Of several requests
	// that ran on the upstream it holds the parts that all of them have.
	With []Digest `json:"with,omitempty"`
}

// equal reports whether two crashes are equal.
func (c Crash) equal(other Crash) bool {
	return c.Incarnation == other.Incarnation && c.Round == other.Round && c.EarlyRound == other.EarlyRound &&
		c.Cleared == other.Cleared && slices.Equal(c.With, other.With)
}

// unclearedRound returns the round of the crash, and zero if it is cleared.
func (c Crash) unclearedRound() int {
	if c.Cleared {
		return 0
	}
	return c.Round
}

// evidence is the set of crashes under one request. The zero value is empty.
//
// Crashes form one round if each of the attempts was sent by a router that did not know of
// any crash of that round. They may have a common cause other than the request, for example
// a loss of power. Early crashes are also counted in early rounds. Fewer early rounds suffice
// for a refusal, since unrelated crashes mostly hit streams in progress. Evidence of several
// routers is merged by union, in any order.
type evidence struct {
	// crashes has at most one entry for each incarnation and maxCrashes in total, ordered
	// by descending uncleared round.
	crashes []Crash
}

// maxCrashes is the maximum number of crashes kept for one request. It exceeds
// roundsToRefuse, so that one crash of each round that a refusal needs can be kept.
const maxCrashes = 8

// unclearedCrashes returns the number of crashes that are not cleared.
func (e *evidence) unclearedCrashes() int {
	count := 0
	for _, c := range e.crashes {
		if !c.Cleared {
			count++
		}
	}
	return count
}

// round returns the highest round that is not cleared, and zero if there is none.
func (e *evidence) round() int {
	highest := 0
	for _, c := range e.crashes {
		highest = max(highest, c.unclearedRound())
	}
	return highest
}

// earlyRound returns the highest early round that is not cleared, and zero if there is none.
func (e *evidence) earlyRound() int {
	highest := 0
	for _, c := range e.crashes {
		if !c.Cleared {
			highest = max(highest, c.EarlyRound)
		}
	}
	return highest
}

// index returns the index of the crash of an incarnation, and -1 if there is none.
func (e *evidence) index(incarnation Incarnation) int {
	return slices.IndexFunc(e.crashes, func(c Crash) bool { return c.Incarnation == incarnation })
}

// has reports whether the evidence has a crash of an incarnation.
func (e *evidence) has(incarnation Incarnation) bool { return e.index(incarnation) >= 0 }

// add merges a crash into the evidence and reports whether the evidence changed.
func (e *evidence) add(c Crash) bool {
	i := e.index(c.Incarnation)
	if i < 0 {
		e.crashes = append(e.crashes, c)
		e.trim()
		return slices.ContainsFunc(e.crashes, c.equal)
	}
	merged := Crash{
		Incarnation: c.Incarnation,
		Round:       max(c.Round, e.crashes[i].Round),
		EarlyRound:  max(c.EarlyRound, e.crashes[i].EarlyRound),
		Cleared:     c.Cleared || e.crashes[i].Cleared,
		With:        intersection(c.With, e.crashes[i].With),
	}
	if merged.equal(e.crashes[i]) {
		return false
	}
	e.crashes[i] = merged
	e.trim()
	return true
}

// trim sorts the crashes and drops those beyond maxCrashes.
func (e *evidence) trim() {
	slices.SortStableFunc(e.crashes, func(a, b Crash) int { return cmp.Compare(b.unclearedRound(), a.unclearedRound()) })
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[:maxCrashes]
	}
}

// clear clears all crashes and reports whether the evidence changed.
func (e *evidence) clear() bool {
	changed := false
	for i := range e.crashes {
		changed = changed || !e.crashes[i].Cleared
		e.crashes[i].Cleared = true
	}
	return changed
}

// SettleTime is the least time from the first crash of a round to the start of the next
// one. A suspect request is held that long, so that crashes with a common cause form one
// round. It exceeds the time in which crashes are reported to all routers and is far below
// usual client timeouts.
const SettleTime = 150 * time.Millisecond

// clearRound clears the crashes of one round.
func (e *evidence) clearRound(round int) {
	for i := range e.crashes {
		if e.crashes[i].Round == round {
			e.crashes[i].Cleared = true
		}
	}
}

const (
	// earlyRoundsToRefuse is the number of early rounds from which a request is refused.
	// Under waves of crashes that no request caused, two rounds would have refused 6 to 48
	// of some 4,500 innocent requests; three refuse 0 to 3
	// (deploy/days/upstreams-crash.toml).
	earlyRoundsToRefuse = 3
	// roundsToRefuse is the number of rounds from which a request is refused. It is higher
	// than earlyRoundsToRefuse, since late crashes are more often unrelated to the request.
	// Three rounds would have refused 0 to 67 of those requests.
	roundsToRefuse = 5
	// scopeEarlyRoundsToRefuse is the number of early rounds from which a scope is refused.
	// It is higher than earlyRoundsToRefuse, since a scope also covers unrelated requests.
	// With four callers, eight upstreams crash until then.
	scopeEarlyRoundsToRefuse = 5
	// partEarlyRoundsToRefuse and partRoundsToRefuse are the numbers of rounds from which
	// requests with a part are refused that no request is known to have succeeded with.
	partEarlyRoundsToRefuse = 3
	partRoundsToRefuse      = 6
	// provenEarlyRoundsToRefuse is the number of early rounds for a part that requests have
	// succeeded with. Such a part is common, so that failures of power meet it again and
	// again.
	provenEarlyRoundsToRefuse = 6
)

// sufficient reports whether the evidence suffices to refuse what it is against.
func (e *evidence) sufficient(s subject) bool {
	early := e.earlyRound()
	switch {
	case s.kind == KindScope:
		return early >= scopeEarlyRoundsToRefuse
	case s.kind == KindPart && s.proven:
		return early >= provenEarlyRoundsToRefuse
	case s.kind == KindPart:
		return early >= partEarlyRoundsToRefuse || e.round() >= partRoundsToRefuse
	}
	return early >= earlyRoundsToRefuse || e.round() >= roundsToRefuse
}
