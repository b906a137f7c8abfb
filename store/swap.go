// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"context"
	"errors"

	"granitehoist.example/granitehoist"
)

// maxReadBacks is the maximum number of times that Swap reads the key of a write with a lost
// response.
const maxReadBacks = 3

// Create writes a key that must not exist and returns its version. If the response is lost,
// Create reads the key back and compares the value, which must be unique to this write. It
// returns ErrConflict if the key has another value, ErrUnavailable if the store rejected the
// first attempt to write, and ErrUnknown if the outcome cannot be determined.
func Create(ctx context.Context, s granitehoist.Store, key string, value []byte) (granitehoist.Version, error) {
	return Swap(ctx, s, granitehoist.Change{Key: key, Value: value})
}

// Swap makes a conditional write and returns the key's new version. change.Value must be
// unique to this write, and change must not be a deletion. Lost responses and errors are
// handled as in Create.
func Swap(ctx context.Context, s granitehoist.Store, change granitehoist.Change) (granitehoist.Version, error) {
	version, err := s.CompareAndSwap(ctx, change)
	if err == nil || errors.Is(err, granitehoist.ErrUnavailable) || errors.Is(err, granitehoist.ErrConflict) {
		return version, err
	}
	for range maxReadBacks {
		entry, readErr := s.Get(ctx, change.Key)
		if readErr != nil {
			// Read again. After the last attempt the outcome stays unknown.
			continue
		}
		switch classifyReadBack(entry, change) {
		case applied:
			return entry.Version, nil
		case superseded:
			return 0, granitehoist.ErrConflict
		case pending:
		}
		// The write is pending. Repeating it is safe, since at most one write with the
		// same condition can succeed.
		version, err = s.CompareAndSwap(ctx, change)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, granitehoist.ErrUnavailable) {
			// The store rejected this attempt; an earlier one may still take effect.
			return 0, granitehoist.ErrUnknown
		}
	}
	// A conflict in the last attempt may be with an earlier attempt that took effect late.
	return 0, granitehoist.ErrUnknown
}
