// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"crypto/ed25519"
	"encoding/json"

	"granitehoist.example/granitehoist"
)

// keyPrefix begins the store keys of documents. Each partner has one document.
const keyPrefix = "config/"

// storeKey returns the store key of a partner's document.
func storeKey(p granitehoist.Partner) string { return keyPrefix + string(p) }

// Signed is a signed document, as stored.
type Signed struct {
	Partner granitehoist.Partner `json:"partner"`
	// Text is the TOML document.
	Text string `json:"text"`
	// Serial increases with each document of the partner. The signature covers it, which
	// prevents replay of old documents.
	Serial granitehoist.Serial `json:"serial"`
	// ChangeID is unique to the write. After a lost response it shows whether the stored
	// document is the one that was written. Previous is the ChangeID of the document that
	// this one replaces. It shows that the earlier write took effect, even if its response
	// was lost and its document has been replaced.
	ChangeID string `json:"change_id"`
	Previous string `json:"previous,omitempty"`
	// Signature is the Ed25519 signature over signedBytes by a key of the partner.
	Signature []byte `json:"signature"`
}

// signatureDomain prefixes the signed bytes for domain separation: a signature made for
// another purpose is not valid for a document.
const signatureDomain = "granitehoist document v1\n"

// signedBytes returns the bytes that the signature covers: all fields but Signature.
func (s Signed) signedBytes() []byte {
	s.Signature = nil
	raw, err := json.Marshal(s)
	if err != nil {
		panic("config: signed document does not encode: " + err.Error())
	}
	return append([]byte(signatureDomain), raw...)
}

// Sign sets Signature. It panics if the length of key is invalid.
func (s *Signed) Sign(key ed25519.PrivateKey) {
	s.Signature = ed25519.Sign(key, s.signedBytes())
}

// Trust holds the trusted public keys of each partner.
type Trust map[granitehoist.Partner][]ed25519.PublicKey

// verify decodes a signed document, checks its signature and parses its text. Errors have
// code NotAuthorised or DocumentBad.
func (t Trust) verify(raw []byte) (Signed, *Document, error) {
	var s Signed
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, nil, granitehoist.Wrap(granitehoist.DocumentBad, err, "the stored record can't be read")
	}
	if !t.signedBy(s) {
		return s, nil, granitehoist.Errorf(granitehoist.NotAuthorised, "the signature does not match any trusted key of partner %q", s.Partner)
	}
	d, err := Parse(storeKey(s.Partner), []byte(s.Text))
	if err != nil {
		return s, nil, granitehoist.Errorf(granitehoist.DocumentBad, "%v", err)
	}
	if d.Partner != s.Partner {
		return s, nil, granitehoist.Errorf(granitehoist.DocumentBad, "the document names partner %q but its record names %q", d.Partner, s.Partner)
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
