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

// Life names one run of an upstream process.
type Life string

// LifeOf returns the name of an upstream's run. born is when it began, in milliseconds
// since 1970, and zero if that is not known. An upstream that restarts may keep its ID;
// its next crash is then a different one.
func LifeOf(id granitehoist.Upstream, born int64) Life {
	if born == 0 {
		return Life(id)
	}
	return Life(string(id) + "@" + strconv.FormatInt(born, 10))
}

// Crash is the crash of an upstream while a request may have been running there.
type Crash struct {
	Life Life `json:"life"`
	// Round is one more than the highest round that the router knew of when it sent
	// the request there; see evidence.
	Round int `json:"round"`
	// Early is the same among early crashes: those before any event of the answer had
	// arrived. It is zero if the crash was not early.
	Early int `json:"early,omitempty"`
	// Cleared says that the request has succeeded since, so that the crash had another
	// cause.
	Cleared bool `json:"cleared,omitempty"`
}

// openRound returns the round of a crash, zero if it is cleared.
func (c Crash) openRound() int {
	if c.Cleared {
		return 0
	}
	return c.Round
}

// evidence is the crashes seen under one request. The zero value is no evidence.
//
// Crashes are counted in rounds, not by their number. Upstreams crash for reasons of
// their own, and a popular request runs on every upstream of a rack that loses power:
// crashes of runs that were sent without knowledge of each other form one round. A
// second round needs the request to be sent again, once the loss has shown itself
// everywhere (SettleTime), and another upstream to crash. A retry at once may meet another
// upstream of the same rack: one loss of power made all the rounds of a refusal within
// 1.5 ms, and a popular innocent request was refused everywhere.
//
// Unrelated crashes mostly hit streams that have already made progress, while a request
// that crashes upstreams does so soon after it starts to run. Early crashes therefore
// have rounds of their own, and fewer of them suffice.
//
// Evidence from several routers is merged by union, so that it may arrive in any order
// and any number of times.
type evidence struct {
	// crashes has one entry for each life, at most maxCrashes: those not cleared first,
	// and of these the highest rounds.
	crashes []Crash
}

// maxCrashes bounds the crashes kept for one request. It is above enoughCrashes, so that
// what suffices for a refusal is never dropped.
const maxCrashes = 8

// openCrashes returns the number of crashes that are not cleared.
func (e *evidence) openCrashes() int {
	open := 0
	for _, c := range e.crashes {
		if !c.Cleared {
			open++
		}
	}
	return open
}

// round returns the highest round that is not cleared, zero if there is none.
func (e *evidence) round() int {
	highest := 0
	for _, c := range e.crashes {
		highest = max(highest, c.openRound())
	}
	return highest
}

// earlyRound returns the highest round of the early crashes that are not cleared, and
// the number of these crashes.
func (e *evidence) earlyRound() (round, crashes int) {
	for _, c := range e.crashes {
		if c.Early == 0 || c.Cleared {
			continue
		}
		round = max(round, c.Early)
		crashes++
	}
	return round, crashes
}

// add merges a crash with those known, and reports whether that changed anything.
func (e *evidence) add(c Crash) bool {
	i := slices.IndexFunc(e.crashes, func(known Crash) bool { return known.Life == c.Life })
	if i < 0 {
		e.crashes = append(e.crashes, c)
		e.trim()
		return slices.Contains(e.crashes, c)
	}
	merged := Crash{
		Life:    c.Life,
		Round:   max(c.Round, e.crashes[i].Round),
		Early:   max(c.Early, e.crashes[i].Early),
		Cleared: c.Cleared || e.crashes[i].Cleared,
	}
	if merged == e.crashes[i] {
		return false
	}
	e.crashes[i] = merged
	e.trim()
	return true
}

// trim sorts the crashes and drops those beyond maxCrashes.
func (e *evidence) trim() {
	slices.SortStableFunc(e.crashes, func(a, b Crash) int { return cmp.Compare(b.openRound(), a.openRound()) })
	if len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[:maxCrashes]
	}
}

// clear clears all crashes, and reports whether that changed anything.
func (e *evidence) clear() bool {
	changed := false
	for i := range e.crashes {
		changed = changed || !e.crashes[i].Cleared
		e.crashes[i].Cleared = true
	}
	return changed
}

// SettleTime is how long after the first crash of a round the next one may begin. A
// request is held that long. Between the crashes of one loss lie some milliseconds, and
// the routers know of each other's within 60 ms (BenchmarkWays); it is above twice that and
// far below the time in which callers give up. Chosen by that, not measured by itself.
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
	// enoughEarly is the number of rounds of early crashes from which a request is
	// refused. With two, an own day of crash waves would have refused 6 to 48 innocent
	// requests of some 4,500; with three it refuses 0 to 3 (deploy/days/upstreams-crash.toml,
	// three seeds on each small site).
	enoughEarly = 3
	// enoughRounds is the same for crashes of any kind. With three instead of five that
	// day refused 0 to 67. The platform allows three more runs after the third crash.
	enoughRounds = 5
	// enoughCrashes is the number of early crashes from which the second round suffices: a
	// request that arrives at many routers at once crashes many upstreams per round. Twice
	// enoughEarly.
	enoughCrashes = 2 * enoughEarly
	// enoughEarlyOfScope is enoughEarly for all requests of a scope: more, since they may
	// have nothing else in common. With the four callers of TestDeadlyWithVariedBodies 8
	// upstreams crash until then.
	enoughEarlyOfScope = 5
)

// enough decides whether the evidence suffices to refuse the request, or all of a scope.
func (e *evidence) enough(ofScope bool) bool {
	early, crashes := e.earlyRound()
	if ofScope {
		return early >= enoughEarlyOfScope
	}
	return early >= enoughEarly || e.round() >= enoughRounds || (early == enoughEarly-1 && crashes >= enoughCrashes)
}
