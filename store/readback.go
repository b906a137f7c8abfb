// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"bytes"

	"granitehoist.example/granitehoist"
)

// readBackResult is the outcome of a write with a lost response, as the key shows it.
type readBackResult int

const (
	// pending means that the write has not taken effect and still may.
	pending readBackResult = iota
	// applied means that the key has the value of the write.
	applied
	// superseded means that another write changed the key, so that this one can no longer
	// take effect. It may have been applied and overwritten. Callers must therefore not
	// overwrite a key before its previous writer has the result of Swap.
	superseded
)

// classifyReadBack returns the outcome of a conditional write, given the state of its key
// after the response was lost. If the key has the value of the write, which is unique to
// it, the write was applied. Otherwise, a version other than the expected one is that of
// another write.
func classifyReadBack(current granitehoist.Entry, change granitehoist.Change) readBackResult {
	switch {
	case bytes.Equal(current.Value, change.Value):
		return applied
	case current.Version != change.Expect:
		return superseded
	}
	return pending
}
