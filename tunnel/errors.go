// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package tunnel

import (
	"net/http"
	"syscall"

	"github.com/rotisserie/eris"
)

// The errors of Client.Dial for which the server responded. Any other error means that the
// server could not be reached in time.
var (
	// ErrRefused means that the upstream refused the connection of the server. It wraps
	// syscall.ECONNREFUSED.
	ErrRefused = eris.Wrap(syscall.ECONNREFUSED, "tunnel: the upstream refused the connection")
	// ErrTimedOut means that the upstream did not respond to the server.
	ErrTimedOut = eris.New("tunnel: the upstream does not respond")
	// ErrUnknownUpstream means that the server does not know the upstream.
	ErrUnknownUpstream = eris.New("tunnel: the other router does not know the upstream")
	// ErrUnavailable means that the server opens no tunnels now: it stops, has too many, or
	// has no path to the upstreams either.
	ErrUnavailable = eris.New("tunnel: the other router opens no tunnels")
	// ErrBroken is the error of a read from a tunnel that ended without a closing frame, so
	// that it is unknown whether the upstream closed its connection.
	ErrBroken = eris.New("tunnel: the connection to the other router broke")
)

// statuses maps the errors of Client.Dial to HTTP statuses.
var statuses = map[error]int{
	ErrRefused:         http.StatusBadGateway,
	ErrTimedOut:        http.StatusGatewayTimeout,
	ErrUnknownUpstream: http.StatusNotFound,
	ErrUnavailable:     http.StatusServiceUnavailable,
}

// errorOf returns the error for the status of a response to CONNECT, nil for 200.
func errorOf(status int) error {
	if status == http.StatusOK {
		return nil
	}
	for err, s := range statuses {
		if s == status {
			return err
		}
	}
	return eris.Wrapf(ErrUnavailable, "status %d", status)
}
