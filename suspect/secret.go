// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

import (
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
)

// secretBytes is the length of a Secret in bytes.
const secretBytes = 32

// Secret is the HMAC key of a fleet's digests. It prevents anyone without it from guessing
// the request behind a logged digest. All routers of a fleet share it, so that they compute
// the same digests.
type Secret [secretBytes]byte

// NewSecret returns a secret read from random. It panics if reading fails.
func NewSecret(random io.Reader) Secret {
	var s Secret
	if _, err := io.ReadFull(random, s[:]); err != nil {
		panic("suspect: random source failed: " + err.Error())
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(s[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error unless text is
// the hexadecimal form of a secret; the error does not contain the text.
func (s *Secret) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != secretBytes {
		return eris.Errorf("suspect: secret has %d digits instead of %d", len(text), 2*secretBytes)
	}
	if _, err := hex.Decode(s[:], text); err != nil {
		return eris.New("suspect: secret contains characters that are not hexadecimal digits")
	}
	return nil
}

// SetSecret sets the fleet's secret. Later calls have no effect, since the digests in the
// table depend on the first secret.
func (t *Table) SetSecret(s Secret) { t.secret.CompareAndSwap(nil, &s) }

// Secret returns the fleet's secret, and nil until it is set.
func (t *Table) Secret() *Secret { return t.secret.Load() }

// Digest returns the digest of a request, and false while no secret is set.
func (t *Table) Digest(k *RequestKey) (Digest, bool) {
	secret := t.secret.Load()
	if secret == nil {
		return Digest{}, false
	}
	return k.digest(secret), true
}

// ScopeDigest returns the digest of a scope, and false while no secret is set.
func (t *Table) ScopeDigest(s Scope) (Digest, bool) { return t.Digest(s.requestKey()) }
