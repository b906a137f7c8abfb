// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Update holds the changes under a prefix after a version of the store. PackedUpdate is its
// wire form.
type Update struct {
	Prefix string
	// HasCopy says that the sender has a copy of the prefix. If it is false, the other
	// fields are meaningless.
	HasCopy bool
	// Version is the store's version of the receiver's copy after the update.
	Version granitehoist.Version
	// Complete says that Entries holds all keys under the prefix, so that any other key is
	// deleted. Otherwise Entries holds the changed and deleted keys.
	Complete bool
	Entries  []granitehoist.Entry
	// Age is the time since Version was last known to be the store's newest version.
	Age time.Duration
}
