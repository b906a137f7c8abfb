// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ownerOf returns the owner of a prefix: the instance with the highest hash of its ID and
// the prefix (rendezvous hashing). All routers with the same instances determine the same
// owner without communication, and when an instance leaves, only its own prefixes change
// owner. If heavy is set, a slow instance is the owner only if all instances are slow.
// ownerOf returns nil for the hash zero (no prefix) and without instances.
func ownerOf(states []*instanceState, prefixHash uint64, heavy bool) *instanceState {
	if prefixHash == 0 {
		return nil
	}
	var owner *instanceState
	var highest uint64
	for _, s := range states {
		hash := mix(s.idHash ^ prefixHash)
		switch {
		case owner == nil, heavy && owner.slow && !s.slow:
		case heavy && s.slow && !owner.slow, hash <= highest:
			continue
		}
		owner, highest = s, hash
	}
	return owner
}

// mix is the finalizer of MurmurHash3 (A. Appleby), which spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// PrefixHash returns the hash of the parts of a prompt's shared prefix, in order; zero if
// there are none. It is the same on all routers.
func PrefixHash(parts []string) uint64 {
	if len(parts) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, part := range parts {
		// The length separates ("ab", "c") from ("a", "bc").
		writeString(digest, strconv.Itoa(len(part)))
		writeString(digest, part)
	}
	return digest.Sum64()
}

// writeString adds a string to a digest.
func writeString(digest *xxhash.Digest, s string) {
	// The error of xxhash.Digest.WriteString is always nil.
	_, _ = digest.WriteString(s)
}
