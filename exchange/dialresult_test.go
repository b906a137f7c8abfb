// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestDialResult guards against failed dials that are counted under the wrong cause.
func TestDialResult(t *testing.T) {
	for want, err := range map[DialResult]error{
		DialSucceeded: nil,
		DialRefused:   &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)},
		DialTimedOut:  &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded},
		DialCancelled: &net.OpError{Op: "dial", Err: context.Canceled},
		DialFailed:    errors.New("too many open files"),
	} {
		if got := DialResultOf(err); got != want {
			t.Errorf("DialResultOf(%v) = %s, want %s", err, got, want)
		}
	}
	if got := DialResultOf(syscall.ECONNRESET); got != DialRefused {
		t.Errorf("a reset counts as %s, want %s", got, DialRefused)
	}
}
