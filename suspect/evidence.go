// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"cmp"
	"slices"
	"strconv"

	"granitehoist.example/granitehoist"
)

// Life names one run of an upstream.
type Life string

// LifeOf returns the name of an upstream's run. born is when it began, in milliseconds
// since 1970, and zero if that is not known: an upstream that starts again may keep its
// ID, and its next end is another one then.
func LifeOf(id granitehoist.Upstream, born int64) Life {
	if born == 0 {
		return Life(id)
	}
	return Life(string(id) + "@" + strconv.FormatInt(born, 10))
}

// End says that an upstream ended while a request may have run there.
type End struct {
	Life Life `json:"life"`
	// Round is one more than the latest round that the router knew of when it sent
	// the request there; see evidence.
	Round int `json:"round"`
	// Early is the same among the early ends: those before any event of the answer had
	// arrived. It is zero if this was none.
	Early int `json:"early,omitempty"`
	// Cleared says that the request was answered since: the end had another cause.
	Cleared bool `json:"cleared,omitempty"`
}

// evidence is what speaks against a request. The zero value says nothing against it.
//
// Ends are counted in rounds, not by their number. An upstream may end for a reason of
// its own, and a request that is asked everywhere runs on all that lose power together:
// ends of runs that did not know of each other are one round. For a second round the
// request has to be sent once more and an upstream has to end again; what ended the
// first would have to strike just there.
//
// An upstream that ends for a reason of its own mostly strikes streams that have made
// progress, while a request that ends upstreams does so soon after it begins to run. So
// early ends have rounds of their own, of which fewer are enough.
//
// Evidence of two routers is joined by union, so that it may arrive in any order, more
// than once, and by any way.
type evidence struct {
	// ends has an entry for each life, maxEnds at most: those that are not cleared
	// first, and of these the latest rounds.
	ends []End
}

// maxEnds bounds the ends that are kept of one request, the first in order. It is
// above enoughEnds, so that evidence for a refusal is never lost. Chosen, not measured.
const maxEnds = 8

// openEnds returns the number of ends that no answer has cleared.
func (e *evidence) openEnds() int {
	open := 0
	for _, end := range e.ends {
		if !end.Cleared {
			open++
		}
	}
	return open
}

// round returns the latest round of the ends that are not cleared, zero if there is
// none.
func (e *evidence) round() int {
	latest := 0
	for _, end := range e.ends {
		latest = max(latest, end.openRound())
	}
	return latest
}

// earlyRound returns the latest round of the early ends that are not cleared, and the
// number of these ends.
func (e *evidence) earlyRound() (round, ends int) {
	for _, end := range e.ends {
		if end.Early == 0 || end.Cleared {
			continue
		}
		round = max(round, end.Early)
		ends++
	}
	return round, ends
}

// openRound returns the round of an end, zero if it is cleared.
func (end End) openRound() int {
	if end.Cleared {
		return 0
	}
	return end.Round
}

// add joins an end with those known, and reports whether that changed anything.
func (e *evidence) add(end End) bool {
	i := slices.IndexFunc(e.ends, func(known End) bool { return known.Life == end.Life })
	if i < 0 {
		e.ends = append(e.ends, end)
		e.trim()
		return slices.Contains(e.ends, end)
	}
	joined := End{
		Life:    end.Life,
		Round:   max(end.Round, e.ends[i].Round),
		Early:   max(end.Early, e.ends[i].Early),
		Cleared: end.Cleared || e.ends[i].Cleared,
	}
	if joined == e.ends[i] {
		return false
	}
	e.ends[i] = joined
	e.trim()
	return true
}

// trim puts the ends in order and drops those beyond maxEnds.
func (e *evidence) trim() {
	slices.SortStableFunc(e.ends, func(a, b End) int { return cmp.Compare(b.openRound(), a.openRound()) })
	if len(e.ends) > maxEnds {
		e.ends = e.ends[:maxEnds]
	}
}

// clear clears all ends, and reports whether that changed anything.
func (e *evidence) clear() bool {
	changed := false
	for i := range e.ends {
		changed = changed || !e.ends[i].Cleared
		e.ends[i].Cleared = true
	}
	return changed
}

const (
	// enoughEarly is the round of early ends from which a request is refused. Two are
	// not enough: see docs/design/suspects.md.
	enoughEarly = 3
	// enoughRounds is the same for ends of any kind, of which a request that ends
	// upstreams only after a part of its answer has more. The platform allows three more
	// runs after the third end.
	enoughRounds = 5
	// enoughEnds is the number of early ends from which their second round is enough: a
	// request that comes at many routers at once ends many upstreams a round. Chosen,
	// not measured: twice enoughEarly.
	enoughEnds = 2 * enoughEarly
)

// enough decides whether the evidence is enough to refuse the request.
func (e *evidence) enough() bool {
	early, ends := e.earlyRound()
	return early >= enoughEarly || e.round() >= enoughRounds || (early == enoughEarly-1 && ends >= enoughEnds)
}
