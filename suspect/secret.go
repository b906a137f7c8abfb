// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
)

// secretBytes is the length of a Secret.
const secretBytes = 32

// Secret keys the digests of a fleet: who does not have it can't try out requests
// until one has a digest that stands in a log. All routers of a fleet share it, since
// they have to give a request the same digest.
type Secret [secretBytes]byte

// NewSecret returns a random secret. It panics if random fails, since no safe secret
// can be made then.
func NewSecret(random io.Reader) Secret {
	var s Secret
	if _, err := io.ReadFull(random, s[:]); err != nil {
		panic("suspect: random source failed: " + err.Error())
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error says that the text is
// no secret, and does not hold it.
func (s *Secret) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != secretBytes {
		return eris.Errorf("suspect: a secret of %d digits", len(text))
	}
	if _, err := hex.Decode(s[:], text); err != nil {
		return eris.New("suspect: a secret with other signs than hexadecimal digits")
	}
	return nil
}

// SetSecret sets the secret that the fleet shares. The first one stays: digests that
// are known were made with it.
func (t *Table) SetSecret(s Secret) { t.secret.CompareAndSwap(nil, &s) }

// Secret returns the secret that the fleet shares, and nil until it is known.
func (t *Table) Secret() *Secret { return t.secret.Load() }

// Digest returns the digest of a request, and false as long as the secret is not
// known: requests can't be recognised then.
func (t *Table) Digest(f *Facts) (Digest, bool) {
	secret := t.secret.Load()
	if secret == nil {
		return Digest{}, false
	}
	return f.digest(secret), true
}

// ScopeDigest returns the digest of a scope, and false while the secret is not known.
func (t *Table) ScopeDigest(s Scope) (Digest, bool) { return t.Digest(s.facts()) }
