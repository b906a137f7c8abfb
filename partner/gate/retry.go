// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import "sync"

// Retries are bounded to a part of the requests, so that a failing service is
// not loaded further by them.
const (
	retryPart = 0.1
	retryMost = 20.0
)

// retryBudget counts the retries that may be made: some at the start, and then
// a part of the requests.
type retryBudget struct {
	mu      sync.Mutex
	allowed float64
}

// request adds a request's part.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowed = min(retryMost, b.allowed+retryPart)
}

// retry takes one retry, if one is allowed.
func (b *retryBudget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.allowed < 1 {
		return false
	}
	b.allowed--
	return true
}
