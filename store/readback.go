// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"bytes"

	"granitehoist.example/granitehoist"
)

// readBackResult is the outcome of a write whose response was lost, as determined by reading
// the key back.
type readBackResult int

const (
	// pending means that the write has not taken effect but may still do so.
	pending readBackResult = iota
	// applied means that the key has the value of the write.
	applied
	// superseded means that another write changed the key, so that this write can no longer
	// take effect. This write may also have been applied and then overwritten. Callers must
	// therefore not overwrite a key before its previous writer has the result of Swap.
	superseded
)

// classifyReadBack returns the outcome of a conditional write, given the state of its key
// after the response was lost. If the key has the value of the write, which is unique to
// the write, the write was applied. Otherwise, a version other than the expected one comes
// from another write.
func classifyReadBack(current granitehoist.Entry, change granitehoist.Change) readBackResult {
	switch {
	case bytes.Equal(current.Value, change.Value):
		return applied
	case current.Version != change.Expect:
		return superseded
	}
	return pending
}
