// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/route"
)

// overallError returns the result of several attempts. uncertain is the error of an earlier
// attempt that may have run, nil if there is none, and last is the newest error. The
// error of an attempt that did not run doesn't replace uncertain.
func overallError(uncertain, last error) error {
	if uncertain != nil && granitehoist.CodeOf(last).Info().Execution == granitehoist.NotRun {
		return uncertain
	}
	return last
}

// finalError returns the result for a caller that may have disconnected. A disconnection
// cancels the running attempt. An error after which the request may have run becomes
// CallerGone; the error of a request that did not run keeps its code.
func finalError(err error, disconnected bool) error {
	if err == nil || !disconnected || granitehoist.CodeOf(err).Info().Execution == granitehoist.NotRun {
		return err
	}
	return granitehoist.Wrap(granitehoist.CallerGone, err, "")
}

// requestedBackoff returns the time for which the upstream of a refused attempt asked for no
// further requests, zero if it named none.
func requestedBackoff(err error) time.Duration {
	var e *granitehoist.Error
	if !errors.As(err, &e) || e.Code != granitehoist.UpstreamRefused {
		return 0
	}
	return e.RetryAfter
}

// upstreamResult classifies an attempt for the selection of upstreams. A request that the
// upstream rejects as malformed is no failure of the upstream. An attempt that failed after
// its caller disconnected or its deadline passed is inconclusive.
func upstreamResult(err error, contextDone bool) route.Result {
	code := granitehoist.CodeOf(err)
	switch {
	case err == nil, code == granitehoist.BadRequest:
		return route.Succeeded
	case contextDone, code == granitehoist.CallerGone:
		return route.Inconclusive
	}
	return route.Failed
}
