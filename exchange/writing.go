// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// writtenGrace is how long the end of an exchange waits for the result of the
	// writing goroutine, which may arrive after the answer. Without a wait such a
	// connection was closed instead of reused (commit 6d43b45, once in a run under
	// the race detector). The length is chosen, not measured.
	writtenGrace = 5 * time.Millisecond
	// lastPieceBytes is the size of the last piece of a request, which is written by a
	// call of its own. Most requests are smaller and written with one call.
	lastPieceBytes = 64 << 10
)

// writing is the progress of writing a request. One goroutine writes, another
// calls complete.
type writing struct {
	// lastBegun says that the writing of the last piece has begun.
	lastBegun atomic.Bool
	// ended holds the result of the writing once it has ended.
	ended chan error
}

// newWriting returns a writing that has not begun.
func newWriting() *writing { return &writing{ended: make(chan error, 1)} }

// send writes a message to a connection, the last piece separately. If the peer does
// not read, the earlier part fills the socket buffers and the last piece is not
// begun.
func (w *writing) send(to io.Writer, message []byte) error {
	if early := len(message) - lastPieceBytes; early > 0 {
		if _, err := to.Write(message[:early]); err != nil {
			return err
		}
		message = message[early:]
	}
	w.lastBegun.Store(true)
	_, err := to.Write(message)
	return err
}

// complete reports, at the end of an exchange, whether the request was written to
// its end. If the last piece has not begun, the upstream answered early. Otherwise
// it waits up to writtenGrace for the result of the writing.
func (w *writing) complete() bool {
	if !w.lastBegun.Load() {
		return false
	}
	select {
	case err := <-w.ended:
		return err == nil
	case <-time.After(writtenGrace):
		return false
	}
}
