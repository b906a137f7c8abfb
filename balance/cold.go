// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// A cold instance bears only some requests a second, and falls over at more. The
// routers keep that bound together without asking each other: each has an equal share
// of it, whatever its own traffic is. In a large fleet the share is a small part of a
// request: then a random draw decides, for each second anew, whether a router may send
// the instance one. What is not used is not saved, since a hot prefix that comes to all
// routers at once would find a request saved at each of them. While an instance gets no
// more, its prefixes are owned by the next in rank (owner.go).

const (
	// coldPart is the part of what cold instances bear that the routers use, since
	// their draws and phases differ. In the simulation of TestColdInstanceBesideHotPrefix
	// the instance bears 9.9 requests a second and the users allow 19.85. In its worst
	// second of 100 starts it got 10, 12, 13 and 9 with 1, 6, 87 and 295 routers at this
	// value, 16, 19, 16 and 10 at three quarters, 20, 22, 19 and 11 at the whole.
	coldPart = 0.5
	// coldWindow is the time to which the bound applies.
	coldWindow = time.Second
	// restoredCold is for how long the instances of a zone count as cold when its
	// evacuation is withdrawn: they may have become cold, and a router may learn of
	// that later than of the withdrawal, by a heartbeat of an instance (1.2 s on the
	// users' sites) and the time between two watches of the store (0.5 s).
	restoredCold = 2 * time.Second
)

// coldUntil returns when an instance that announced itself now will be warm, zero if
// it is.
func coldUntil(coldFor time.Duration, now time.Time) time.Time {
	if coldFor <= 0 {
		return time.Time{}
	}
	return now.Add(coldFor)
}

// isCold reports whether an instance is expected to be cold.
func (s *instanceState) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// shareOfCold decides how many requests a second a router may send to each cold
// instance, of those that one bears; infinitely many if bears is zero.
func shareOfCold(bears float64, routers int) float64 {
	if bears <= 0 {
		return math.Inf(1)
	}
	return coldPart * bears / float64(max(1, routers))
}

// coldShare is a router's share of what each cold instance of a service bears.
type coldShare struct {
	perSecond float64
	random    *rand.Rand
}

// coldAdmission is how many requests a router may still send to a cold instance in the
// present second. The zero value is that of an instance which has not been cold.
type coldAdmission struct {
	// phase shifts the seconds of the instance at this router, so that the routers
	// do not all begin theirs together.
	phase time.Duration
	// second numbers the second for which left was drawn.
	second int64
	left   int
}

// admitsCold decides whether a cold instance may get a request of this router now.
func (s *instanceState) admitsCold(share coldShare, now time.Time) bool {
	if math.IsInf(share.perSecond, 1) {
		return true
	}
	return s.admitted.at(share, now).left > 0
}

// at returns the admission after a draw for the second that it is now, if that has not
// been drawn for.
func (a *coldAdmission) at(share coldShare, now time.Time) *coldAdmission {
	if a.second == 0 {
		a.phase = time.Duration(share.random.Int64N(int64(coldWindow)))
	}
	second := now.Add(a.phase).UnixNano() / int64(coldWindow)
	if second != a.second {
		whole, part := math.Modf(share.perSecond)
		a.second, a.left = second, int(whole)
		if share.random.Float64() < part {
			a.left++
		}
	}
	return a
}

// take counts a request that was sent.
func (a *coldAdmission) take() { a.left-- }
