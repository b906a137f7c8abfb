// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Update is what changed under a prefix after a version of the store.
type Update struct {
	Prefix string `json:"prefix"`
	// HasCopy is false if the sender has no copy of the prefix yet; the other fields
	// mean nothing then.
	HasCopy bool `json:"known"`
	// At is the store's version that the receiver's copy has after the update.
	At granitehoist.Version `json:"at"`
	// Complete says that Entries are all keys under the prefix, so that every
	// other key is deleted. Otherwise they are the changed and the deleted ones.
	Complete bool                 `json:"whole,omitempty"`
	Entries  []granitehoist.Entry `json:"entries,omitempty"`
	// Age is the time since At was last confirmed as the store's newest version, in
	// nanoseconds on the wire.
	Age time.Duration `json:"age"`
}
