// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package route

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// point is a position of a member on the hash ring. member is an index into
// servicePool.members.
type point struct {
	hash   uint64
	member int32
}

const (
	// pointsPerMember is the number of virtual nodes of each member. More points make
	// the members' shares of the ring more even.
	pointsPerMember = 32
	// maxRingPoints is the most points that are examined for one request. If no member at
	// these points is available, choose falls back to leastLoaded and scan.
	maxRingPoints = 64
	// loadSlack is how far a member's load may exceed the average, as a fraction of
	// it, before requests with affinity go to the next member on the ring.
	loadSlack = 0.25
)

// newRing returns the points of members in ascending order of their hashes. The
// hashes depend only on the members' names, so that every router has the same ring.
func newRing(members []*member) []point {
	ring := make([]point, 0, len(members)*pointsPerMember)
	for i, m := range members {
		for n := range pointsPerMember {
			hash := xxhash.Sum64String(string(m.Name) + "#" + strconv.Itoa(n))
			ring = append(ring, point{hash, int32(i)})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	return ring
}

// loadLimit returns the number of requests that one member may have in flight from
// this router before requests with affinity go to the next member on the ring. This is
// the average over all members after one more request, raised by loadSlack, rounded down
// and increased by one. members must be positive.
func loadLimit(inFlight, members int) int {
	average := float64(inFlight+1) / float64(members)
	return int(average*(1+loadSlack)) + 1
}
