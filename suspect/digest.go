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

// digestBytes is the length of a Digest in bytes. At 128 bits, collisions between requests
// of one fleet are negligible.
const digestBytes = 16

// Digest identifies a request or a scope by its content. The zero value identifies none.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// RequestKey holds the fields that identify a request. Two requests with equal fields
// count as the same.
type RequestKey struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Workspace is empty for requests that need no API key.
	Workspace granitehoist.Workspace
	Body      []byte
}

// Scope identifies all requests of a workspace on a route. It detects callers that vary the
// body: each of their requests has another digest, but all have the same scope.
type Scope struct {
	// Workspace is empty on routes that need no API key.
	Workspace granitehoist.Workspace
	Route     string
}

// requestKey returns the fields whose digest identifies the scope. They differ from the
// fields of any request because Method is empty.
func (s Scope) requestKey() *RequestKey { return &RequestKey{Target: s.Route, Workspace: s.Workspace} }

// digest returns the HMAC-SHA-256 of the request key, truncated to digestBytes.
func (k *RequestKey) digest(secret *Secret) Digest {
	mac := hmac.New(sha256.New, secret[:])
	writeField(mac, []byte(k.Method))
	writeField(mac, []byte(k.Host))
	writeField(mac, []byte(k.Target))
	writeField(mac, []byte(k.Workspace))
	writeField(mac, k.Body)
	var d Digest
	copy(d[:], mac.Sum(nil))
	return d
}

// Hash returns the first eight bytes of the digest as a number, and one instead of zero.
// Routers with the same secret return the same number.
func (d Digest) Hash() uint64 { return max(1, binary.BigEndian.Uint64(d[:])) }

// writeField writes a field prefixed by its length, so that ("ab", "c") and ("a", "bc")
// hash differently.
func writeField(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	for _, part := range [][]byte{length[:], field} {
		// hash.Hash never returns an error from Write.
		_, _ = h.Write(part)
	}
}
