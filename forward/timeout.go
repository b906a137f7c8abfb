// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import "time"

// maxTimeout is the maximum timeout of a request, and the default if neither the route
// nor the caller states one.
const maxTimeout = 60 * time.Second

// effectiveTimeout returns the timeout of a request, from its arrival to the end of its
// response: the minimum of the timeouts of the route and the caller and of maxTimeout.
// Zero and negative values mean no timeout.
func effectiveTimeout(route, caller time.Duration) time.Duration {
	timeout := maxTimeout
	for _, stated := range [...]time.Duration{route, caller} {
		if stated > 0 {
			timeout = min(timeout, stated)
		}
	}
	return timeout
}
