// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// readMembers returns the members whose entries are under a prefix. It returns an error if
// any entry cannot be decoded, since ignoring a router that may serve would be unsafe.
func readMembers(ctx context.Context, s granitehoist.Store, prefix string) ([]Member, error) {
	entries, _, err := s.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var members []Member
	for _, e := range entries {
		var m Member
		if err := json.Unmarshal(e.Value, &m); err != nil {
			return nil, eris.Wrapf(err, "fleet: decode entry %s", e.Key)
		}
		members = append(members, m)
	}
	return members, nil
}

// maxDeleteAttempts is the maximum number of attempts of deleteKey. A lost response or a
// conflicting write needs another attempt.
const maxDeleteAttempts = 3

// deleteKey deletes a key regardless of its value. It returns nil if the key does not exist.
func deleteKey(ctx context.Context, s granitehoist.Store, key string) error {
	var err error
	for range maxDeleteAttempts {
		var current granitehoist.Entry
		current, err = s.Get(ctx, key)
		if err != nil || current.Version == 0 {
			return err
		}
		_, err = s.CompareAndSwap(ctx, granitehoist.Change{Key: key, Expect: current.Version, Delete: true})
		if err == nil {
			return nil
		}
	}
	return err
}
