// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"sync"
	"time"
)

// avoidedPeers holds the addresses of nodes that are temporarily not called. The zero
// value is ready to use. It is safe for concurrent use.
type avoidedPeers struct {
	// mu guards until.
	mu    sync.Mutex
	until map[string]time.Time
}

// add avoids a node until a time.
func (a *avoidedPeers) add(address string, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[address] = until
}

// contains reports whether a node is avoided at now, and removes it once its time is
// over.
func (a *avoidedPeers) contains(address string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, found := a.until[address]
	if found && !now.Before(until) {
		delete(a.until, address)
	}
	return found && now.Before(until)
}
