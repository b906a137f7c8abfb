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

// Current is the document of a partner as it stands in the store.
type Current struct {
	Signed  Signed               `json:"signed"`
	Version granitehoist.Version `json:"version"`
}

// ReadCurrent returns a partner's document from the store; its version is zero
// if there is none.
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

// readBackTries bounds the reads after a write whose answer was lost, until one succeeds.
const readBackTries = 5

// Apply writes a signed document over the one that it names as previous. Its
// errors are *Error: NotAuthorised, DocumentBad, DocumentConflict if another
// document came between, StoreDown if nothing was written, and
// DocumentUnsettled if it is not known whether it was.
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
	return signed, settle(ctx, s, signed)
}

func conflict(current, ours Signed) error {
	return granitehoist.Errorf(granitehoist.DocumentConflict, "serial %d stands in the store; this document is serial %d and follows another", current.Serial, ours.Serial)
}

// settle finds out whether a write that got no answer, or a conflict, took
// effect. If the store still has the document before ours, that is not known: the
// write may take effect seconds later (granitehoist.ErrUnknown), and another read
// right away would not settle it.
func settle(ctx context.Context, s granitehoist.Store, ours Signed) error {
	current, err := readBack(ctx, s, ours.Partner)
	switch {
	case err != nil:
		return unsettled(ours, err)
	case current.Signed.ChangeID == ours.ChangeID, current.Signed.Previous == ours.ChangeID:
		return nil
	case current.Signed.Serial >= ours.Serial:
		return conflict(current.Signed, ours)
	}
	return unsettled(ours, nil)
}

// readBack returns the result of the first read that succeeds, or the error of the
// last of readBackTries.
func readBack(ctx context.Context, s granitehoist.Store, p granitehoist.Partner) (Current, error) {
	var current Current
	var err error
	for range readBackTries {
		if current, err = ReadCurrent(ctx, s, p); err == nil {
			return current, nil
		}
	}
	return Current{}, err
}

// unsettled returns a DocumentUnsettled. cause is why the document could not be
// read back, or nil.
func unsettled(ours Signed, cause error) error {
	return granitehoist.Wrap(granitehoist.DocumentUnsettled, cause, fmt.Sprintf("serial %d of partner %s", ours.Serial, ours.Partner))
}
