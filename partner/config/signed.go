// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"crypto/ed25519"
	"encoding/json"

	"granitehoist.example/granitehoist"
)

// keyPrefix begins the store's keys of documents. Each partner has one.
const keyPrefix = "config/"

// storeKey returns the store's key of a partner's document.
func storeKey(p granitehoist.Partner) string { return keyPrefix + string(p) }

// Signed is a document as the store has it.
type Signed struct {
	Partner granitehoist.Partner `json:"partner"`
	// Text is the TOML document.
	Text string `json:"text"`
	// Serial grows with each document of the partner. It is part of what is
	// signed, so an old document can't be put in force again by anyone
	// without the partner's key.
	Serial granitehoist.Serial `json:"serial"`
	// ChangeID is unique to the write, so that a write whose answer was lost
	// is recognised when it is read back; Previous is the one before, so that
	// it is recognised even after another write followed.
	ChangeID string `json:"change_id"`
	Previous string `json:"previous,omitempty"`
	// Signature is by the partner's key over signedBytes.
	Signature []byte `json:"signature"`
}

// signatureDomain begins what is signed, so that no signature over something else
// can pass for one over a document.
const signatureDomain = "granitehoist document v1\n"

// signedBytes returns what the signature covers: all fields but the signature.
func (s Signed) signedBytes() []byte {
	s.Signature = nil
	raw, err := json.Marshal(s)
	if err != nil {
		panic("config: signed document does not encode: " + err.Error())
	}
	return append([]byte(signatureDomain), raw...)
}

// Sign sets the signature. It panics if the key has a wrong length.
func (s *Signed) Sign(key ed25519.PrivateKey) {
	s.Signature = ed25519.Sign(key, s.signedBytes())
}

// Trust holds the public keys of each partner.
type Trust map[granitehoist.Partner][]ed25519.PublicKey

// verify checks a stored document's signature and reads it. It returns an
// error with code NotAuthorised or DocumentBad.
func (t Trust) verify(raw []byte) (Signed, *Document, error) {
	var s Signed
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, nil, granitehoist.Wrap(granitehoist.DocumentBad, err, "the stored record can't be read")
	}
	if !t.signedBy(s) {
		return s, nil, granitehoist.Errorf(granitehoist.NotAuthorised, "no trusted key of partner %q made the signature", s.Partner)
	}
	d, err := Parse(storeKey(s.Partner), []byte(s.Text))
	if err != nil {
		return s, nil, granitehoist.Errorf(granitehoist.DocumentBad, "%v", err)
	}
	if d.Partner != s.Partner {
		return s, nil, granitehoist.Errorf(granitehoist.DocumentBad, "the document is of partner %q and its record of %q", d.Partner, s.Partner)
	}
	return s, d, nil
}

// signedBy reports whether a trusted key of the document's partner signed it.
func (t Trust) signedBy(s Signed) bool {
	message := s.signedBytes()
	for _, key := range t[s.Partner] {
		if ed25519.Verify(key, message, s.Signature) {
			return true
		}
	}
	return false
}
