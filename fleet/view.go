// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"granitehoist.example/granitehoist"
)

// Member is the entry of a router in the store. The JSON names "place" and "peers" stay for
// compatibility.
type Member struct {
	Box         granitehoist.Box              `json:"box"`
	Incarnation granitehoist.Incarnation      `json:"incarnation"`
	Partner     granitehoist.Partner          `json:"partner"`
	Region      granitehoist.Region           `json:"region"`
	Zone        granitehoist.AvailabilityZone `json:"place"`
	// PeerAddress is the TCP address, host:port, for calls between routers.
	PeerAddress string `json:"peers"`
	// Leaving says that the router is stopping and takes no roles.
	Leaving bool `json:"leaving,omitempty"`
}

// Peer returns the incarnation and address for calls to the member.
func (m Member) Peer() granitehoist.Peer {
	return granitehoist.Peer{Incarnation: m.Incarnation, Address: m.PeerAddress}
}

// View is an immutable list of members. The zero value is empty.
type View struct {
	members []Member
}

// NewView returns a view of the members, sorted by incarnation.
func NewView(members []Member) View {
	sorted := append([]Member(nil), members...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Incarnation < sorted[j].Incarnation })
	return View{members: sorted}
}

// Members returns the members sorted by incarnation. The caller must not change the slice.
func (v View) Members() []Member { return v.members }

// InRegion returns the members of a region.
func (v View) InRegion(r granitehoist.Region) []Member {
	var members []Member
	for _, m := range v.members {
		if m.Region == r {
			members = append(members, m)
		}
	}
	return members
}

// RoleHolder returns the member of a region that acts in a role, by rendezvous hashing
// (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
// It returns false if the region has no members or all of them are leaving.
func (v View) RoleHolder(r granitehoist.Region, role string) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	for _, m := range v.members {
		if m.Region != r || m.Leaving {
			continue
		}
		weight := xxhash.Sum64String(role + "\x00" + string(m.Incarnation))
		if !found || weight > bestWeight {
			best, bestWeight, found = m, weight, true
		}
	}
	return best, found
}
