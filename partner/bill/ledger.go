// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Ledger holds an incarnation's charges until they are confirmed. It is safe
// for concurrent use and makes no calls.
type Ledger struct {
	settings LedgerSettings

	// mu guards the fields below.
	mu sync.Mutex
	// seq is the number of the last charge.
	seq uint64
	// pending holds the unconfirmed charges, oldest first.
	pending []Charge
	// open counts the requests that will each make a charge.
	open int
}

// LedgerSettings configure a Ledger.
type LedgerSettings struct {
	Incarnation granitehoist.Incarnation
	// MaxPending bounds the unconfirmed charges, those that open requests will make
	// included; zero stands for DefaultMaxPending.
	MaxPending int
}

// DefaultMaxPending holds about half an hour of charges at 57 requests a second, the
// rate of the busiest box in docs/CAPACITY.md, in some 40 MB.
const DefaultMaxPending = 100_000

// NewLedger returns an empty ledger. It panics if the settings have no
// incarnation.
func NewLedger(s LedgerSettings) *Ledger {
	if s.Incarnation == "" {
		panic("bill: ledger without incarnation")
	}
	defaults.Set(&s.MaxPending, DefaultMaxPending)
	return &Ledger{settings: s}
}

// ReserveRoom makes room for the charge of one request. It returns false if
// unconfirmed charges have reached the limit; the request must not run then. One
// Charge or ReleaseRoom must follow each successful ReserveRoom.
func (l *Ledger) ReserveRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open+len(l.pending) >= l.settings.MaxPending {
		return false
	}
	l.open++
	return true
}

// ReleaseRoom gives up the room of a request that costs nothing.
func (l *Ledger) ReleaseRoom() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Charge enters the charge of a request. It sets the incarnation, the number
// and the time.
func (l *Ledger) Charge(c Charge, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.seq++
	c.Incarnation, c.Seq, c.At = l.settings.Incarnation, l.seq, now
	l.pending = append(l.pending, c)
}

// Next returns the oldest unconfirmed charges, no more than limit of them.
func (l *Ledger) Next(limit int) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(limit, len(l.pending))
	return Batch{Charges: append([]Charge(nil), l.pending[:n]...)}
}

// Confirm removes the charges of a batch that is in the store. Confirming a
// batch again changes nothing.
func (l *Ledger) Confirm(b Batch) {
	if len(b.Charges) == 0 {
		return
	}
	last := b.Charges[len(b.Charges)-1].Seq
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for n < len(l.pending) && l.pending[n].Seq <= last {
		n++
	}
	l.pending = append([]Charge(nil), l.pending[n:]...)
}

// Pending returns the number of unconfirmed charges.
func (l *Ledger) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}
