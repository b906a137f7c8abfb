// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ownerOf returns the member with the highest hash of its id and the affinity.
func ownerOf(members []*member, affinity uint64) *member {
	if affinity == 0 {
		return nil
	}
	var owner *member
	var highest uint64
	for _, m := range members {
		if hash := mix(m.seed ^ affinity); owner == nil || hash > highest {
			owner, highest = m, hash
		}
	}
	return owner
}

// mix spreads the bits of a number (the finalizer of MurmurHash3, A. Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// PrefixHash returns the hash of a prompt's shared parts.
func PrefixHash(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(part)
	}
	return digest.Sum64()
}
