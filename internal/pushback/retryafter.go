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

// maxRetryAfterSeconds bounds a Retry-After, so that it fits a time.Duration.
const maxRetryAfterSeconds = 1e9

// RetryAfter returns the longest Retry-After of a header, and zero if it has none. Only
// finite numbers of seconds above zero count, fractions included. HTTP dates are ignored,
// since the clock skew between two machines may exceed the delay.
func RetryAfter(h http.Header) time.Duration {
	longest := 0.0
	for _, text := range h.Values("Retry-After") {
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err == nil && !math.IsNaN(value) && !math.IsInf(value, 0) {
			longest = max(longest, value)
		}
	}
	return time.Duration(min(longest, maxRetryAfterSeconds) * float64(time.Second))
}

// IsOverload reports whether an HTTP status (429 or 503) rejects the request, so that its
// Retry-After applies to further requests to the upstream.
func IsOverload(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
