// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"bytes"
	"context"
	"errors"

	"granitehoist.example/granitehoist"
)

// settleTries bounds how often a write whose answer was lost is read back.
const settleTries = 3

// Create writes a key that must not exist. If the answer is lost it reads back
// and compares: value must be unique to this write. It returns ErrConflict if
// the key has another value, and an error that wraps neither ErrConflict nor
// ErrUnavailable if the outcome stays unknown.
func Create(ctx context.Context, s granitehoist.Store, key string, value []byte) (granitehoist.Version, error) {
	return Swap(ctx, s, granitehoist.Change{Key: key, Value: value})
}

// Swap makes a conditional write and settles it as Create does: change.Value
// must be unique to this write.
func Swap(ctx context.Context, s granitehoist.Store, change granitehoist.Change) (granitehoist.Version, error) {
	version, err := s.CompareAndSwap(ctx, change)
	if err == nil || errors.Is(err, granitehoist.ErrUnavailable) || errors.Is(err, granitehoist.ErrConflict) {
		return version, err
	}
	for range settleTries {
		entry, readErr := s.Get(ctx, change.Key)
		if readErr != nil {
			continue
		}
		if bytes.Equal(entry.Value, change.Value) {
			return entry.Version, nil
		}
		if entry.Version != change.Expect {
			return 0, granitehoist.ErrConflict
		}
		// The write has not taken effect yet and still may, so it is made
		// again under the same condition: only one of the two can succeed.
		version, err = s.CompareAndSwap(ctx, change)
		if err == nil || errors.Is(err, granitehoist.ErrUnavailable) {
			return version, err
		}
	}
	// The last refusal may have been by the delayed first write.
	return 0, granitehoist.ErrUnknown
}
