// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package store

import (
	"bytes"

	"granitehoist.example/granitehoist"
)

// readBack is what the state of a key says about a write whose answer was lost.
type readBack int

const (
	// notYet says that the write has had no effect so far, and still may.
	notYet readBack = iota
	// tookEffect says that the key has the value of the write.
	tookEffect
	// otherWriter says that another write changed the key. This one can no longer
	// take effect. It may have done so and been overwritten, which the key does not
	// show. So others must not overwrite a key before the writer that called Swap
	// has its result.
	otherWriter
)

// judgeReadBack decides what became of a conditional write from the state of its
// key, read after the answer was lost. The value decides first, since it is
// unique to the write. Otherwise any version but the expected one is another
// writer's: the store never makes a write whose condition does not hold.
func judgeReadBack(current granitehoist.Entry, change granitehoist.Change) readBack {
	switch {
	case bytes.Equal(current.Value, change.Value):
		return tookEffect
	case current.Version != change.Expect:
		return otherWriter
	}
	return notYet
}
