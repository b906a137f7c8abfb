// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"sync/atomic"
	"time"
)

// lastTime is when something last happened. The zero value means never. It
// is safe for concurrent use.
type lastTime struct{ at atomic.Pointer[time.Time] }

func (l *lastTime) set(now time.Time) { l.at.Store(&now) }

// isRecent reports whether it happened at most limit before now.
func (l *lastTime) isRecent(limit time.Duration, now time.Time) bool {
	at := l.at.Load()
	return at != nil && now.Sub(*at) <= limit
}
