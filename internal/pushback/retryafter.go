// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pushback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxSeconds is the longest time that is told apart, about 30 years.
const maxSeconds = 1e9

// RetryAfter returns the longest of the times that a header's Retry-After names as finite
// numbers of seconds above zero, and zero if it names none. Dates, which HTTP allows as well,
// are not read: the clocks of two machines may differ by more than the time meant.
func RetryAfter(h http.Header) time.Duration {
	longest := 0.0
	for _, text := range h.Values("Retry-After") {
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err == nil && !math.IsNaN(value) && !math.IsInf(value, 0) {
			longest = max(longest, value)
		}
	}
	return time.Duration(min(longest, maxSeconds) * float64(time.Second))
}

// TurnsAway reports whether an upstream that answers with a status turns the request away,
// so that the time in its answer is how long it wants no other.
func TurnsAway(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
