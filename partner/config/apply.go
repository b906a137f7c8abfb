// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"granitehoist.example/granitehoist"
)

// Current is a partner's document as stored, with the version of its store entry.
type Current struct {
	Signed  Signed               `json:"signed"`
	Version granitehoist.Version `json:"version"`
}

// ReadCurrent reads a partner's document from the store. Version is zero if there is
// none. Its errors are *granitehoist.Error with code StoreDown or DocumentBad.
func ReadCurrent(ctx context.Context, s granitehoist.Store, p granitehoist.Partner) (Current, error) {
	e, err := s.Get(ctx, storeKey(p))
	if err != nil {
		return Current{}, granitehoist.Wrap(granitehoist.StoreDown, err, "")
	}
	c := Current{Version: e.Version}
	if e.Version == 0 {
		return c, nil
	}
	if err := json.Unmarshal(e.Value, &c.Signed); err != nil {
		return Current{}, granitehoist.Wrap(granitehoist.DocumentBad, err, "the stored record can't be read")
	}
	return c, nil
}

// maxReadBacks bounds the attempts to read a document after a write of unknown outcome.
const maxReadBacks = 5

// Apply stores raw, the JSON of a Signed, in place of the partner's current document. Its
// Previous must be the ChangeID of the current document, and its Serial one more than the
// Serial of the current document. Applying the current document again changes nothing.
// Errors are *granitehoist.Error with code NotAuthorised, DocumentBad, DocumentConflict if
// another document was written first, StoreDown if nothing was written, or
// DocumentUnsettled if the outcome of the write is unknown.
func Apply(ctx context.Context, s granitehoist.Store, t Trust, raw []byte) (Signed, error) {
	signed, _, err := t.verify(raw)
	if err != nil {
		return signed, err
	}
	current, err := ReadCurrent(ctx, s, signed.Partner)
	if err != nil {
		return signed, err
	}
	if current.Signed.ChangeID == signed.ChangeID {
		return signed, nil
	}
	if signed.Previous != current.Signed.ChangeID || signed.Serial != current.Signed.Serial+1 {
		return signed, conflict(current.Signed, signed)
	}
	_, err = s.CompareAndSwap(ctx, granitehoist.Change{Key: storeKey(signed.Partner), Value: raw, Expect: current.Version})
	switch {
	case err == nil:
		return signed, nil
	case errors.Is(err, granitehoist.ErrUnavailable):
		return signed, granitehoist.Wrap(granitehoist.StoreDown, err, "")
	}
	return signed, resolveWrite(ctx, s, signed)
}

// conflict returns a DocumentConflict error that names both serials.
func conflict(current, applied Signed) error {
	return granitehoist.Errorf(granitehoist.DocumentConflict, "the store holds serial %d; this document has serial %d and does not follow it", current.Serial, applied.Serial)
}

// resolveWrite determines whether a write that failed with a conflict or an unknown
// outcome took effect. If the store still holds the previous document, the outcome stays
// unknown, since the write may take effect seconds later (granitehoist.ErrUnknown).
func resolveWrite(ctx context.Context, s granitehoist.Store, applied Signed) error {
	current, err := readBack(ctx, s, applied.Partner)
	switch {
	case err != nil:
		return unsettled(applied, err)
	case current.Signed.ChangeID == applied.ChangeID, current.Signed.Previous == applied.ChangeID:
		return nil
	case current.Signed.Serial >= applied.Serial:
		return conflict(current.Signed, applied)
	}
	return unsettled(applied, nil)
}

// readBack returns the first successful read, or the last error after maxReadBacks.
func readBack(ctx context.Context, s granitehoist.Store, p granitehoist.Partner) (Current, error) {
	var current Current
	var err error
	for range maxReadBacks {
		if current, err = ReadCurrent(ctx, s, p); err == nil {
			return current, nil
		}
	}
	return Current{}, err
}

// unsettled returns a DocumentUnsettled error. cause is the error of reading the document
// back, or nil.
func unsettled(applied Signed, cause error) error {
	return granitehoist.Wrap(granitehoist.DocumentUnsettled, cause, fmt.Sprintf("serial %d of partner %s", applied.Serial, applied.Partner))
}
