// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recentCrashRetention is how long a crash is kept after this router learned of it.
	recentCrashRetention = 5 * time.Second
	// maxRecentCrashes is the maximum number of crashes kept. It exceeds the number of
	// upstreams that a router is connected to.
	maxRecentCrashes = 4096
	// maxReportedCrashes is the maximum number of crashes in one message.
	maxReportedCrashes = 64
	// massFailureCrashes is the number of upstreams that have to crash within
	// massFailureWindow for a mass failure, such as a loss of power. One suspect request
	// crashes fewer upstreams within massFailureWindow: all routers send the request to the
	// same upstream, or to one of two while the routers see different sets of upstreams.
	// The crashes of a simulated loss of power were known within 6 ms, in one process.
	massFailureWindow  = 50 * time.Millisecond
	massFailureCrashes = 4
	// rollingFailureCrashes is the number of unattributed crashes that have to become known
	// within rollingFailureWindow of a round for a rolling failure: a mass failure whose
	// crashes are spread over time, or are learned of late.
	rollingFailureWindow  = time.Second
	rollingFailureCrashes = 3
	// maxFirstRound is the longest time for which a request that crashes upstreams may crash
	// more of them in its first round, by runs that began before its first crash was known.
	maxFirstRound = time.Second
)

// recentCrashes holds the upstream incarnations that crashed recently, under any request.
// The zero value is empty and ready to use. The lock of its table guards it.
type recentCrashes struct {
	byIncarnation map[Incarnation]recentCrash
}

// recentCrash holds when one incarnation crashed.
type recentCrash struct {
	// knownAt is when this router learned of the crash. observedAt is when this router
	// observed the crash, and zero if it only received a report. Reports may be late, so
	// that only observedAt is used as the time of the crash.
	knownAt, observedAt time.Time
	// observedVersion is the table's version when this router observed the crash, and zero
	// if it knew of the crash before.
	observedVersion uint64
	// attributed says that a suspect request ran on the incarnation and crashed it in a round
	// after the first.
	attributed bool
}

// record adds a crash. observed says that this router observed it itself.
func (c *recentCrashes) record(incarnation Incarnation, observed bool, now time.Time) {
	if c.byIncarnation == nil {
		c.byIncarnation = map[Incarnation]recentCrash{}
	}
	crash, known := c.byIncarnation[incarnation]
	switch {
	case !known && len(c.byIncarnation) >= maxRecentCrashes:
		return
	case !known:
		crash.knownAt = now
	}
	if observed && crash.observedAt.IsZero() {
		crash.observedAt = now
	}
	c.byIncarnation[incarnation] = crash
}

// setObservedVersion sets the version of the table at which this router observed the crash of
// a known incarnation. It does nothing if the incarnation is unknown.
func (c *recentCrashes) setObservedVersion(incarnation Incarnation, version uint64) {
	crash, known := c.byIncarnation[incarnation]
	if !known {
		return
	}
	crash.observedVersion = version
	c.byIncarnation[incarnation] = crash
}

// observedAfter returns the incarnations whose crash this router observed after a version of
// the table: the maxReportedCrashes most recent ones, most recent first.
func (c *recentCrashes) observedAfter(version uint64) []Incarnation {
	var newer []Incarnation
	for incarnation, crash := range c.byIncarnation {
		if crash.observedVersion > version {
			newer = append(newer, incarnation)
		}
	}
	slices.SortFunc(newer, func(a, b Incarnation) int {
		return cmp.Compare(c.byIncarnation[b].observedVersion, c.byIncarnation[a].observedVersion)
	})
	return newer[:min(len(newer), maxReportedCrashes)]
}

// inMassFailure reports whether this router observed the crashes of at least
// massFailureCrashes upstreams in the last massFailureWindow, besides those that e explains by
// itself.
func (c *recentCrashes) inMassFailure(e *entry, now time.Time) bool {
	crashes := 0
	for incarnation, crash := range c.byIncarnation {
		if !crash.observedAt.IsZero() && now.Sub(crash.observedAt) <= massFailureWindow && !e.ownsCrash(incarnation) {
			crashes++
		}
	}
	return crashes >= massFailureCrashes
}

// setAttributed sets whether the crash of a known incarnation is attributed to a suspect
// request. It does nothing if the incarnation is unknown.
func (c *recentCrashes) setAttributed(incarnation Incarnation, attributed bool) {
	crash, known := c.byIncarnation[incarnation]
	if !known {
		return
	}
	crash.attributed = attributed
	c.byIncarnation[incarnation] = crash
}

// inRollingFailure reports whether at least rollingFailureCrashes crashes became known within
// rollingFailureWindow of the highest round of e, besides those that the request of e or
// another suspect explains, and more than e explains by itself. Runs at a router that was
// killed or paused leave crashes that nothing explains.
func (c *recentCrashes) inRollingFailure(e *entry) bool {
	unexplained, own := 0, 0
	for incarnation, crash := range c.byIncarnation {
		switch {
		case crash.knownAt.Sub(e.roundAt).Abs() > rollingFailureWindow:
		case e.ownsCrash(incarnation):
			own++
		case crash.attributed, e.explains(incarnation, crash.knownAt):
		default:
			unexplained++
		}
	}
	return unexplained >= rollingFailureCrashes && unexplained > own
}

// isKnown reports whether the crash of an incarnation is known.
func (c *recentCrashes) isKnown(incarnation Incarnation) bool {
	_, known := c.byIncarnation[incarnation]
	return known
}

// knownBefore reports whether the crash of an incarnation was known before t.
func (c *recentCrashes) knownBefore(incarnation Incarnation, t time.Time) bool {
	crash, known := c.byIncarnation[incarnation]
	return known && crash.knownAt.Before(t)
}

// sweep deletes the crashes that have been known for longer than recentCrashRetention.
func (c *recentCrashes) sweep(now time.Time) {
	for incarnation, crash := range c.byIncarnation {
		if now.Sub(crash.knownAt) > recentCrashRetention {
			delete(c.byIncarnation, incarnation)
		}
	}
}
