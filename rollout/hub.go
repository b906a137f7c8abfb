// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// hub collects the reports of other routers on one order. The zero value works. It is not
// safe for concurrent use.
type hub struct {
	// evidence holds the latest evidence of each incarnation, those that ended included.
	evidence map[granitehoist.Incarnation]Evidence
	// latest holds the last report of each box.
	latest map[granitehoist.Box]receivedReport
	// passive holds the routers that should not lead, and stopped those that send nothing to
	// the target, by their own word.
	passive, stopped map[granitehoist.Box]bool
}

// receivedReport is a report without its evidence.
type receivedReport struct {
	state    State
	inFlight int
	at       time.Time
}

// add records a report that arrived at now.
func (h *hub) add(r ReportParams, now time.Time) {
	if h.evidence == nil {
		h.evidence = map[granitehoist.Incarnation]Evidence{}
		h.latest = map[granitehoist.Box]receivedReport{}
	}
	h.evidence[r.Incarnation] = r.Evidence
	h.setPassive(r.Box, r.Passive)
	if r.State != nil {
		h.setStopped(r.Box, r.State.Stopped)
		h.latest[r.Box] = receivedReport{state: *r.State, inFlight: r.InFlight, at: now}
	}
}

// setPassive records whether a router should not lead.
func (h *hub) setPassive(box granitehoist.Box, passive bool) {
	if !passive {
		delete(h.passive, box)
		return
	}
	if h.passive == nil {
		h.passive = map[granitehoist.Box]bool{}
	}
	h.passive[box] = true
}

// setStopped records whether a router sends nothing to the target. A stop is never taken back,
// except by a router that has started anew.
func (h *hub) setStopped(box granitehoist.Box, stopped bool) {
	if h.stopped == nil {
		h.stopped = map[granitehoist.Box]bool{}
	}
	h.stopped[box] = stopped
}

// unaware returns the routers that this one tells of a stop at once, since they may not know
// of it: the first hubCount in rank share the fleet. It returns none for the others.
func (h *hub) unaware(ranked []Member, self granitehoist.Box) []Member {
	position := slices.IndexFunc(ranked, func(m Member) bool { return m.Box == self })
	if position >= hubCount {
		return nil
	}
	var members []Member
	for i, m := range ranked {
		if i%hubCount == position && !h.stopped[m.Box] {
			members = append(members, m)
		}
	}
	return members
}

// total returns the sum of a router's own evidence and that of the reports.
func (h *hub) total(own Evidence) Evidence {
	var sum Evidence
	sum.Add(own)
	for _, e := range h.evidence {
		sum.Add(e)
	}
	return sum
}

// oldest returns the age of the oldest report among the last ones of all boxes, zero
// without any.
func (h *hub) oldest(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range h.latest {
		oldest = max(oldest, now.Sub(r.at))
	}
	return oldest
}

// missing returns the routers without a report that is at most maxAge old.
func (h *hub) missing(members []Member, maxAge time.Duration, now time.Time) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool {
		r, found := h.latest[m.Box]
		return found && now.Sub(r.at) <= maxAge
	})
}

// progress counts the routers in members that carry out state s or a stop, by reports not
// older than maxAge. gone reports whether a router has ended.
func (h *hub) progress(members []Member, s State, gone func(Member) bool, maxAge time.Duration, now time.Time) FleetProgress {
	f := FleetProgress{Members: len(members)}
	for _, m := range members {
		r, found := h.latest[m.Box]
		recent := found && now.Sub(r.at) <= maxAge
		if recent && r.state.Stopped {
			f.Stopped++
		}
		switch {
		case recent && r.state.Stage == s.Stage && r.state.Step == s.Step:
			f.Reported++
			if r.inFlight == 0 {
				f.Idle++
			}
		case gone(m):
			f.Gone++
		}
	}
	return f
}
