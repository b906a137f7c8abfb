// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// predecessor holds the final rows of the incarnation that an incarnation has replaced on its
// box, so that a restored record need not count with its ceiling. The zero value knows
// none.
type predecessor struct {
	incarnation granitehoist.Incarnation
	rows        map[granitehoist.Workspace]Row
}

// observe remembers the rows of the incarnation that self replaces in a record, unless the
// store was restored since they were written.
func (p *predecessor) observe(r *Record, box granitehoist.Box, self granitehoist.Incarnation) {
	previous, found := r.Boxes[box]
	if !found || previous == self {
		return
	}
	if previous != p.incarnation {
		*p = predecessor{incarnation: previous, rows: map[granitehoist.Workspace]Row{}}
	}
	for w, account := range r.Accounts {
		if row, found := account.Rows[previous]; found && !row.isStale(r.era) {
			p.rows[w] = row
		}
	}
}

// complete replaces the rows of the incarnation in a restored record by its final ones.
func (p *predecessor) complete(r *Record) {
	for w, account := range r.Accounts {
		row, found := account.Rows[p.incarnation]
		final, known := p.rows[w]
		if found && known && row.isStale(r.era) {
			// The bound belongs to the era in which the row was written.
			final.Era, final.Bound = r.era, UseBound{}
			account.reveal(func() { account.Rows[p.incarnation] = final })
		}
	}
}
