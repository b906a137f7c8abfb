// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

// lineInterval is the least time between two lines of one kind on one upstream; what
// changes meanwhile is not logged.
const lineInterval = time.Second

// logPace bounds the lines that are logged of one upstream. The zero value is ready. It
// is safe for concurrent use.
type logPace struct {
	// mu guards last, when an upstream was last logged.
	mu   sync.Mutex
	last map[granitehoist.Upstream]time.Time
}

// allows decides whether a line on an upstream may be logged now: one each
// lineInterval. It forgets the upstreams whose last line is older.
func (p *logPace) allows(u granitehoist.Upstream, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, at := range p.last {
		if now.Sub(at) >= lineInterval {
			delete(p.last, other)
		}
	}
	if _, recent := p.last[u]; recent {
		return false
	}
	if p.last == nil {
		p.last = map[granitehoist.Upstream]time.Time{}
	}
	p.last[u] = now
	return true
}
