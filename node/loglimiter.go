// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// logLineInterval is the minimum time between two log lines of one kind on one upstream;
// changes in between are not logged.
const logLineInterval = time.Second

// logLimiter limits the log lines per upstream. The zero value is ready to use. It is
// safe for concurrent use.
type logLimiter struct {
	// mu guards last, which holds the time of each upstream's last log line.
	mu   sync.Mutex
	last map[granitehoist.Upstream]time.Time
}

// allow reports whether a line on an upstream may be logged at now, and if so records it.
// It forgets upstreams whose last line is older than logLineInterval.
func (l *logLimiter) allow(u granitehoist.Upstream, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, at := range l.last {
		if now.Sub(at) >= logLineInterval {
			delete(l.last, other)
		}
	}
	if _, recent := l.last[u]; recent {
		return false
	}
	if l.last == nil {
		l.last = map[granitehoist.Upstream]time.Time{}
	}
	l.last[u] = now
	return true
}
