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

func (l *atomicTime) set(now time.Time) { l.value.Store(&now) }

// isRecent reports whether the time is at most limit before now.
func (l *atomicTime) isRecent(limit time.Duration, now time.Time) bool {
	at := l.value.Load()
	return at != nil && now.Sub(*at) <= limit
}
