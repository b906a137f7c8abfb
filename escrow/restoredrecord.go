// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import "granitehoist.example/granitehoist"

// restoreFrom adds what a record has lost, since the store was restored, as far as it is in
// a later record that this router knows from an earlier era; nil means none. What was
// returned or ended in between may count twice until the rows are written again; nothing
// counts less than once.
func (r *Record) restoreFrom(known *Record) {
	for _, account := range r.Accounts {
		account.noteEra(r.era)
	}
	if known == nil || known.era >= r.era {
		return
	}
	for box, incarnation := range known.Boxes {
		if _, found := r.Boxes[box]; !found {
			r.Boxes[box] = incarnation
		}
	}
	r.mergeConfirmed(known)
	for w, account := range known.Accounts {
		restored := r.account(w)
		restored.reveal(func() { restored.merge(account) })
	}
}

// noteEra makes an account of an earlier era count with its ceiling.
func (a *StoredAccount) noteEra(era granitehoist.Era) {
	if a.Era >= era {
		return
	}
	a.Era = era
	a.Unconfirmed = max(0, a.Ceiling-a.net())
}

// reveal changes rows by what the store had lost. That is part of Unconfirmed, so that
// Outstanding does not sink, and rises only by what exceeds that.
func (a *StoredAccount) reveal(change func()) {
	before := a.net()
	change()
	a.Unconfirmed = max(0, a.Unconfirmed-(a.net()-before))
}

// confirmAll clears Unconfirmed once all incarnations have written their rows in the era.
func (a *StoredAccount) confirmAll(era granitehoist.Era) {
	for _, row := range a.Rows {
		if row.isStale(era) {
			return
		}
	}
	a.Unconfirmed = 0
}

// limitUnconfirmed limits Unconfirmed to what is left of the prepaid total.
func (a *StoredAccount) limitUnconfirmed(limit granitehoist.Tokens) {
	a.Unconfirmed = min(a.Unconfirmed, max(0, limit-a.net()))
}

// merge adds the newer rows of a later state of the account.
func (a *StoredAccount) merge(later *StoredAccount) {
	a.EndedNet = max(a.EndedNet, later.EndedNet)
	for incarnation, row := range later.Rows {
		a.Rows[incarnation] = a.Rows[incarnation].merge(row)
	}
}

// merge returns the newer state of two rows of one incarnation, whose totals only grow.
func (r Row) merge(other Row) Row {
	merged := r
	if other.Granted > r.Granted || other.Returned > r.Returned {
		merged = other
	}
	merged.Era = max(r.Era, other.Era)
	return merged
}

// isStale reports whether a row may lack grants to its incarnation: the store was restored
// after the incarnation had written it.
func (r Row) isStale(era granitehoist.Era) bool { return r.Era < era }
