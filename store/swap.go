// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"context"
	"errors"

	"granitehoist.example/granitehoist"
)

// settleTries bounds how often a write whose answer was lost is read back.
const settleTries = 3

// Create writes a key that must not exist and returns its version. If the answer
// is lost it reads the key back and compares, so value must be unique to this
// write. It returns ErrConflict if the key has another value, ErrUnavailable if
// the store refused the first write, and ErrUnknown if it can't find out whether
// the write took effect.
func Create(ctx context.Context, s granitehoist.Store, key string, value []byte) (granitehoist.Version, error) {
	return Swap(ctx, s, granitehoist.Change{Key: key, Value: value})
}

// Swap makes a conditional write and returns the key's new version. It settles a
// lost answer and returns errors as Create does: change.Value must be unique to
// this write, and change must not be a deletion.
func Swap(ctx context.Context, s granitehoist.Store, change granitehoist.Change) (granitehoist.Version, error) {
	version, err := s.CompareAndSwap(ctx, change)
	if err == nil || errors.Is(err, granitehoist.ErrUnavailable) || errors.Is(err, granitehoist.ErrConflict) {
		return version, err
	}
	for range settleTries {
		entry, readErr := s.Get(ctx, change.Key)
		if readErr != nil {
			// The next try reads again. The last one leaves the outcome unknown.
			continue
		}
		switch judgeReadBack(entry, change) {
		case tookEffect:
			return entry.Version, nil
		case otherWriter:
			return 0, granitehoist.ErrConflict
		case notYet:
		}
		// The write has not taken effect but still may. Under the same condition
		// only one of the two can succeed, so it is safe to write again.
		version, err = s.CompareAndSwap(ctx, change)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, granitehoist.ErrUnavailable) {
			// The store refused this write only; the first may still take effect.
			return 0, granitehoist.ErrUnknown
		}
	}
	// A conflict in the last try may come from the delayed first write.
	return 0, granitehoist.ErrUnknown
}
