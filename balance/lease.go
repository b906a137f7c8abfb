// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Lease is an instance chosen for one attempt. Done must be called on it once.
// Its exported fields do not change and show the instance as it was chosen.
type Lease struct {
	Instance
	// Owner says that the instance owns the query's prefix.
	Owner bool
	// Load is the number of this router's requests that were in progress there.
	Load  int
	table *Table
	state *instanceState
	// unreadTokens is the part of the prompt that the instance has yet to read.
	unreadTokens granitehoist.Tokens
}

// PromptRead records that the instance has read the prompt: its first event has
// arrived. Calls after the first change nothing.
func (l *Lease) PromptRead() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.unreadTokens -= l.unreadTokens
	l.unreadTokens = 0
}

// Done ends the attempt and records its result for later choices.
func (l *Lease) Done(r Result, now time.Time) {
	l.PromptRead()
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.state.inFlight--
	l.state.health = l.state.withResult(r, firstEjection, now)
}
