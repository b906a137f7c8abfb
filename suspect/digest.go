// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"granitehoist.example/granitehoist"
)

// digestBytes is the length of a Digest. With 128 bits of a keyed hash two
// requests of one fleet are not expected to share a digest, so that none is held
// responsible for another.
const digestBytes = 16

// Digest names a request by what it asks for. The zero value names none.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Facts are what makes two requests the same.
type Facts struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Workspace is empty for requests that need no key.
	Workspace granitehoist.Workspace
	Body      []byte
}

// Scope is a workspace's traffic on a route. A caller who changes the body of each request
// gives each another digest; what they have in common is the scope.
type Scope struct {
	// Workspace is empty on routes that need no key.
	Workspace granitehoist.Workspace
	Route     string
}

// facts returns what names the scope. No request has the same: each has a method.
func (s Scope) facts() *Facts { return &Facts{Target: s.Route, Workspace: s.Workspace} }

// digest returns the digest of the facts.
func (f *Facts) digest(secret *Secret) Digest {
	mac := hmac.New(sha256.New, secret[:])
	addField(mac, []byte(f.Method))
	addField(mac, []byte(f.Host))
	addField(mac, []byte(f.Target))
	addField(mac, []byte(f.Workspace))
	addField(mac, f.Body)
	var d Digest
	copy(d[:], mac.Sum(nil))
	return d
}

// Hash returns a part of the digest as a number, for choices that all routers make
// alike. It is never zero.
func (d Digest) Hash() uint64 { return max(1, binary.BigEndian.Uint64(d[:])) }

// addField adds a field behind its length, which keeps ("ab", "c") and ("a", "bc")
// apart.
func addField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	for _, part := range [][]byte{length[:], field} {
		// A hash takes every write: its error is always nil.
		_, _ = h.Write(part)
	}
}
