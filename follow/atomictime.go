// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"sync/atomic"
	"time"
)

// atomicTime is the time of the last occurrence of an event. The zero value means never. It
// is safe for concurrent use.
type atomicTime struct{ value atomic.Pointer[time.Time] }

func (t *atomicTime) set(now time.Time) { t.value.Store(&now) }

// isRecent reports whether the time is at most limit before now.
func (t *atomicTime) isRecent(limit time.Duration, now time.Time) bool {
	at := t.value.Load()
	return at != nil && now.Sub(*at) <= limit
}
