// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
)

// DialResult is the outcome of an attempt to open a connection.
type DialResult string

// The results of dials.
const (
	// DialSucceeded means that the connection was established.
	DialSucceeded DialResult = "ok"
	// DialRefused means that the address refused or reset the connection.
	DialRefused DialResult = "refused"
	// DialTimedOut means that the address did not respond in time.
	DialTimedOut DialResult = "timeout"
	// DialCancelled means that the caller gave up before the connection was established.
	DialCancelled DialResult = "cancelled"
	// DialFailed is any other failure, for example of a local resource.
	DialFailed DialResult = "failed"
)

// DialResultOf returns the result of a dial that ended with err.
func DialResultOf(err error) DialResult {
	var timeout net.Error
	switch {
	case err == nil:
		return DialSucceeded
	case errors.Is(err, context.Canceled):
		return DialCancelled
	case errors.Is(err, syscall.ECONNREFUSED), ClosedByPeer(err):
		return DialRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimedOut
	}
	return DialFailed
}
