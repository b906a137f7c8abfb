// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Lease is an instance chosen for one attempt. It is to be ended by Done.
type Lease struct {
	Instance
	// Owner says that requests with the same beginning have their home here.
	Owner bool
	// Load is the number of this router's requests in progress there before.
	Load         int
	table        *Table
	member       *member
	unreadTokens granitehoist.Tokens
}

// PromptRead says that the prompt has been read: the first event has come.
func (l *Lease) PromptRead() {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	l.member.prefill -= l.unreadTokens
	l.unreadTokens = 0
}

// Done ends an attempt.
func (l *Lease) Done(r Result, now time.Time) {
	l.PromptRead()
	t, m := l.table, l.member
	t.mu.Lock()
	defer t.mu.Unlock()
	m.inFlight--
	switch r {
	case Good:
		m.failuresInRow = 0
		m.failureRate -= m.failureRate * failureWeight
	case Failed:
		m.failureRate += (1 - m.failureRate) * failureWeight
	case Refused:
		m.ejectedUntil = now.Add(t.settings.Ejection / refusedDivisor)
	case Broken:
		m.failuresInRow++
		m.failureRate += (1 - m.failureRate) * failureWeight
		if m.failuresInRow >= ejectAfterFailures {
			m.ejectedUntil = now.Add(min(maxEjection, t.settings.Ejection<<min(m.failuresInRow-ejectAfterFailures, maxEjectionDoublings)))
		}
	case Moved:
		m.ejectedUntil = now.Add(maxEjection)
	case Unclear:
	}
}
