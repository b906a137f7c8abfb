// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"errors"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/route"
)

// overallError decides the result of several attempts for the caller:
// once an attempt may have run, a later one that did not run changes nothing.
// uncertain is the error of an earlier attempt that may have run, nil if there is
// none, and last the newest error.
func overallError(uncertain, last error) error {
	if uncertain != nil && granitehoist.CodeOf(last).Info().Fate == granitehoist.NotRun {
		return uncertain
	}
	return last
}

// finalError decides the result of a request whose caller has left. An error after
// which the request may have run becomes CallerGone, since a caller that leaves
// ends the attempt. The error of a request that did not run keeps its code.
func finalError(err error, callerLeft bool) error {
	if err == nil || !callerLeft || granitehoist.CodeOf(err).Info().Fate == granitehoist.NotRun {
		return err
	}
	return granitehoist.Wrap(granitehoist.CallerGone, err, "")
}

// restAsked returns for how long the upstream of an attempt wants no requests: the time that
// it named when it turned the attempt away, zero if it named none.
func restAsked(err error) time.Duration {
	var e *granitehoist.Error
	if !errors.As(err, &e) || e.Code != granitehoist.UpstreamRefused {
		return 0
	}
	return e.RetryAfter
}

// upstreamResult decides how an attempt counts for its upstream in the choice of
// later ones. A request that the upstream could not read is no failure of the
// upstream, and an attempt that ended with its caller or its deadline counts
// neither way.
func upstreamResult(err error, ended bool) route.Result {
	code := granitehoist.CodeOf(err)
	switch {
	case err == nil, code == granitehoist.BadRequest:
		return route.Good
	case ended, code == granitehoist.CallerGone:
		return route.Unclear
	}
	return route.Bad
}
