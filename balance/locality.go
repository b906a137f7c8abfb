// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math"
	"time"

	"granitehoist.example/granitehoist"
)

// A fleet may span several regions whose network delays differ widely. The cost of an
// instance in another region includes the measured round trips (roundTrips) and
// Settings.CrossRegionPenalty. Zones of the router's own region cost crossZoneMS, as do all
// zones if there is only one region.

const (
	// defaultRegionRoundTrip is the assumed round-trip time to another region until
	// minRoundTrips samples exist.
	defaultRegionRoundTrip = 50 * time.Millisecond
	// minRoundTrips is the number of samples from which a round-trip time is known. A
	// single one may be delayed by load.
	minRoundTrips = 3
	// roundTripWindow is how long the least round-trip time is kept at least. Routes of the
	// network change rarely, while load, which raises single samples, changes quickly.
	roundTripWindow = 10 * time.Second
)

// ObserveConnect records the time to establish a connection to the instance, which is one
// round trip and some load.
func (l *Lease) ObserveConnect(took time.Duration, now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.table.locality.isRemote(l.Zone) {
		l.table.locality.observe(l.Zone, took, now)
	}
}

// locality holds a router's view of the distances to other zones. It is guarded by the
// lock of its table.
type locality struct {
	zone    granitehoist.AvailabilityZone
	regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// penalty is Settings.CrossRegionPenalty.
	penalty time.Duration
	// several reports that there is more than one region.
	several bool
	// roundTrips holds the round-trip times by zone of other regions.
	roundTrips map[granitehoist.AvailabilityZone]*roundTrip
}

func newLocality(s Settings) locality {
	return locality{zone: s.Zone, regions: s.Regions, penalty: s.CrossRegionPenalty, several: hasSeveralRegions(s.Regions), roundTrips: map[granitehoist.AvailabilityZone]*roundTrip{}}
}

// hasSeveralRegions reports whether zones lie in more than one region.
func hasSeveralRegions(regions map[granitehoist.AvailabilityZone]granitehoist.Region) bool {
	var first granitehoist.Region
	for _, region := range regions {
		switch {
		case first == "":
			first = region
		case region != first:
			return true
		}
	}
	return false
}

// isRemote reports whether a zone lies in another region than the router. A zone whose
// region is unknown, or the router's own unknown zone, counts as near.
func (l *locality) isRemote(zone granitehoist.AvailabilityZone) bool {
	if !l.several {
		return false
	}
	own, other := l.regions[l.zone], l.regions[zone]
	return own != "" && other != "" && own != other
}

// near returns the instances in the router's own region, in the order of states; states
// itself if there is only one region.
func (l *locality) near(states []*instanceState) []*instanceState {
	if !l.several {
		return states
	}
	near := make([]*instanceState, 0, len(states))
	for _, s := range states {
		if !l.isRemote(s.Zone) {
			near = append(near, s)
		}
	}
	return near
}

// far returns the instances in other regions, in the order of states.
func (l *locality) far(states []*instanceState) []*instanceState {
	if !l.several {
		return nil
	}
	var far []*instanceState
	for _, s := range states {
		if l.isRemote(s.Zone) {
			far = append(far, s)
		}
	}
	return far
}

// nearestWay returns the delay by the network of one round trip to the nearest other region.
func (l *locality) nearestWay() milliseconds {
	nearest := milliseconds(math.Inf(1))
	for zone := range l.regions {
		if l.isRemote(zone) {
			nearest = min(nearest, l.delay(zone, 1))
		}
	}
	return nearest
}

// prefixOwner returns the owner of the query's prefix. It is the owner among all choices if
// the prefix takes longer to read than the round trip to that owner, and otherwise the owner
// among the choices in the router's own region, which is the same instance if the owner of
// all is in that region. An owner per region reads the prefix once more, but saves a round
// trip each time.
func (t *Table) prefixOwner(choices []*instanceState, q *Query, tokensPerMS float64) *instanceState {
	owner := ownerOf(choices, q.PrefixHash, q.heavy)
	if owner == nil || !t.locality.isRemote(owner.Zone) {
		return owner
	}
	way := inMilliseconds(t.locality.roundTripTo(owner.Zone))
	if float64(q.PrefixTokens)/tokensPerMS > way {
		return owner
	}
	if nearOwner := ownerOf(t.locality.near(choices), q.PrefixHash, q.heavy); nearOwner != nil {
		return nearOwner
	}
	return owner
}

// observe records a sample of the round-trip time to a zone.
func (l *locality) observe(zone granitehoist.AvailabilityZone, sample time.Duration, now time.Time) {
	r := l.roundTrips[zone]
	if r == nil {
		r = &roundTrip{}
		l.roundTrips[zone] = r
	}
	r.observe(sample, now)
}

// roundTripTo returns the round-trip time to a zone of another region.
func (l *locality) roundTripTo(zone granitehoist.AvailabilityZone) time.Duration {
	if r := l.roundTrips[zone]; r != nil && r.samples >= minRoundTrips {
		return r.least()
	}
	return defaultRegionRoundTrip
}

// delay returns the delay by the network for a request that waits for a number of round
// trips, and for a request to another region the penalty.
func (l *locality) delay(zone granitehoist.AvailabilityZone, roundTrips int) milliseconds {
	switch {
	case l.isRemote(zone):
		return milliseconds(inMilliseconds(time.Duration(max(1, roundTrips))*l.roundTripTo(zone) + l.penalty))
	case zone != l.zone:
		return crossZoneMS
	}
	return 0
}

// roundTrip estimates a round-trip time by the least sample of the current and the previous
// window. Load delays some samples, so that their mean would follow load. The zero value
// has no samples.
type roundTrip struct {
	samples           int
	current, previous time.Duration
	windowStart       time.Time
}

// observe records a sample. A sample that is not positive is ignored.
func (r *roundTrip) observe(sample time.Duration, now time.Time) {
	switch {
	case sample <= 0:
		return
	case r.samples == 0:
		r.windowStart, r.current, r.previous = now, sample, sample
	case now.Sub(r.windowStart) >= roundTripWindow:
		r.windowStart, r.previous, r.current = now, r.current, sample
	}
	r.samples++
	r.current = min(r.current, sample)
}

// least returns the estimate, zero without samples.
func (r *roundTrip) least() time.Duration { return min(r.current, r.previous) }
