// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is subtracted from the keep-alive timeout of an upstream, so that no
// request is sent while the upstream closes the connection. The timeout is at least 1 s, so
// that at least 0.6 s remain.
const keepAliveMargin = 400 * time.Millisecond

// idlePeriod is the time for which an idle connection may be reused.
type idlePeriod struct {
	// since is when the connection became idle.
	since time.Time
	// until is when it expires.
	until time.Time
	// reported is set if the upstream sent a keep-alive timeout.
	reported bool
}

// newIdlePeriod returns the idle period of a connection that became idle at now. It lasts
// for keepAlive, the keep-alive timeout of the upstream or zero if it sent none, but no
// longer than idleTimeout.
func newIdlePeriod(keepAlive, idleTimeout time.Duration, now time.Time) idlePeriod {
	period := idlePeriod{since: now, reported: keepAlive > 0}
	if !period.reported {
		keepAlive = idleTimeout
	}
	period.until = now.Add(min(keepAlive, idleTimeout))
	return period
}

// reusable reports whether an idle connection may serve a request with the given maxIdle.
// If the upstream sent a keep-alive timeout, the connection is reusable until p.until.
// Otherwise it must also not have been idle for longer than maxIdle: the upstream may close
// it at any time, and a request that is lost this way can't be repeated unless it is
// idempotent.
func (p idlePeriod) reusable(maxIdle time.Duration, now time.Time) bool {
	if !now.Before(p.until) {
		return false
	}
	return p.reported || now.Sub(p.since) <= maxIdle
}

// keepAlive returns the timeout parameter of the Keep-Alive field, less keepAliveMargin. It
// returns zero unless the parameter is a positive integer of seconds.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return 0
}
