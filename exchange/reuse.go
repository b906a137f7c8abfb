// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keepAliveMargin is taken off what an upstream tells, for the way there.
const keepAliveMargin = 400 * time.Millisecond

// keepAlive returns how long the upstream keeps the connection, zero if it does
// not tell.
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
