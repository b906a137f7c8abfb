// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import "time"

// maxTimeout is the longest that any request is held, and so the timeout of one for which
// neither its caller nor its route states one.
const maxTimeout = 60 * time.Second

// timeoutOf decides how long a request may take in all, from its arrival to the
// end of its answer: the shortest of what its route states, what its caller
// states and maxTimeout. An answer after the route's timeout counts as late, and
// after the caller's nobody waits for it. A time that is zero or negative was not
// stated. The route's time is as old as the configuration in force.
func timeoutOf(route, caller time.Duration) time.Duration {
	timeout := maxTimeout
	for _, stated := range [...]time.Duration{route, caller} {
		if stated > 0 {
			timeout = min(timeout, stated)
		}
	}
	return timeout
}
