// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// writeResultGrace is how long the end of an exchange waits for the result of the
	// writing goroutine, which may arrive after the response. Without the wait a connection
	// whose request was written completely could be closed needlessly. The length was not
	// measured.
	writeResultGrace = 5 * time.Millisecond
	// finalChunkBytes is the size of the last chunk of a request, which is written
	// separately. Most requests are smaller and are written with one call.
	finalChunkBytes = 64 << 10
)

// writeProgress tracks the writing of a request. One goroutine calls send, another calls
// complete.
type writeProgress struct {
	// finalChunkStarted is set before the last chunk is written.
	finalChunkStarted atomic.Bool
	// result receives the result of send. It has room for one value.
	result chan error
}

// newWriteProgress returns the progress of a request that has not been sent.
func newWriteProgress() *writeProgress { return &writeProgress{result: make(chan error, 1)} }

// send writes a message, the last chunk separately. If the peer does not read, the preceding
// bytes fill the socket buffers and the last chunk is not started.
func (w *writeProgress) send(to io.Writer, message []byte) error {
	if early := len(message) - finalChunkBytes; early > 0 {
		if _, err := to.Write(message[:early]); err != nil {
			return err
		}
		message = message[early:]
	}
	w.finalChunkStarted.Store(true)
	_, err := to.Write(message)
	return err
}

// complete reports whether the whole request was written. It returns false at once if the
// last chunk has not been started, which means that the upstream responded before it had
// read the request. Otherwise it waits up to writeResultGrace for the result of send.
func (w *writeProgress) complete() bool {
	if !w.finalChunkStarted.Load() {
		return false
	}
	select {
	case err := <-w.result:
		return err == nil
	case <-time.After(writeResultGrace):
		return false
	}
}
