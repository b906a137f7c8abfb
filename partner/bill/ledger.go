// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Ledger holds an incarnation's charges until they are confirmed. It does no I/O and is
// safe for concurrent use.
type Ledger struct {
	settings LedgerSettings

	// mu guards the fields below.
	mu sync.Mutex
	// seq is the sequence number of the last charge.
	seq uint64
	// pending holds the unconfirmed charges, oldest first.
	pending []Charge
	// reserved counts the requests that hold a reservation.
	reserved int
}

// LedgerSettings configure a Ledger.
type LedgerSettings struct {
	Incarnation granitehoist.Incarnation
	// MaxPending bounds the sum of unconfirmed charges and reservations; zero means
	// DefaultMaxPending.
	MaxPending int
}

// DefaultMaxPending bounds the memory of a ledger to about 40 MB (docs/CAPACITY.md).
const DefaultMaxPending = 100_000

// NewLedger returns an empty ledger. It panics if the incarnation is empty.
func NewLedger(s LedgerSettings) *Ledger {
	if s.Incarnation == "" {
		panic("bill: LedgerSettings.Incarnation is empty")
	}
	defaults.Set(&s.MaxPending, DefaultMaxPending)
	return &Ledger{settings: s}
}

// ReserveSlot reserves capacity for the charge of one request. It returns false if
// MaxPending is reached, and the request must then not run. Each successful ReserveSlot
// must be followed by one Charge or ReleaseSlot.
func (l *Ledger) ReserveSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserved+len(l.pending) >= l.settings.MaxPending {
		return false
	}
	l.reserved++
	return true
}

// ReleaseSlot releases the reservation of a request that makes no charge.
func (l *Ledger) ReleaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
}

// Charge appends the charge of a request and releases its reservation. It sets
// Incarnation, Seq and At.
func (l *Ledger) Charge(c Charge, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved--
	l.seq++
	c.Incarnation, c.Seq, c.At = l.settings.Incarnation, l.seq, now
	l.pending = append(l.pending, c)
}

// Next returns up to limit unconfirmed charges, oldest first. They stay in the ledger
// until Confirm.
func (l *Ledger) Next(limit int) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(limit, len(l.pending))
	return Batch{Charges: append([]Charge(nil), l.pending[:n]...)}
}

// Confirm removes the charges of a batch that is in the store. It is idempotent.
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
