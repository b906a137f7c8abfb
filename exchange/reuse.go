// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is subtracted from the time for which an upstream reports to keep a
// connection, so that no request is sent just as it closes. The report is at least 1 s, so
// at least 0.6 s remain.
const keepAliveMargin = 400 * time.Millisecond

// idlePeriod says how long an idle connection is expected to stay open.
type idlePeriod struct {
	// since is when the connection became idle.
	since time.Time
	// until is when it must no longer be used.
	until time.Time
	// reported says that the upstream reported how long it keeps it.
	reported bool
}

// newIdlePeriod decides how long a connection that became idle now is kept:
// keepAlive as the upstream reported it, which is zero if it did not, but no
// longer than idleTimeout.
func newIdlePeriod(keepAlive, idleTimeout time.Duration, now time.Time) idlePeriod {
	period := idlePeriod{since: now, reported: keepAlive > 0}
	if !period.reported {
		keepAlive = idleTimeout
	}
	period.until = now.Add(min(keepAlive, idleTimeout))
	return period
}

// reusable decides whether an idle connection may serve a request that allows
// maxIdle. If the upstream reported how long it keeps the connection, the request
// may use it until then, whatever maxIdle is. Otherwise the upstream may close it at
// any time, just as the request is sent. A request that must not run twice can't be
// repeated then, so its maxIdle is shorter than that of a repeatable one.
func (p idlePeriod) reusable(maxIdle time.Duration, now time.Time) bool {
	if !now.Before(p.until) {
		return false
	}
	return p.reported || now.Sub(p.since) <= maxIdle
}

// keepAlive returns how long the upstream keeps the connection of an answer with
// the given header, less keepAliveMargin. It returns zero if the header does not
// state it, or not as a positive integer of seconds.
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
