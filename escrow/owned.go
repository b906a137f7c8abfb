// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"granitehoist.example/granitehoist"
)

// owned is what one incarnation owns of a workspace's tokens. Ledger.mu guards it.
//
// The conservation rule: every token of the prepaid total is in one place. This
// incarnation has
//
//	granted + sum(borrowed) - returned - sum(lent) = spent + reserved + unreserved
//
// tokens. unreserved is computed from the other terms, which only the methods below change.
// Every other term except reserved is a total that only grows; settle and lendReserved
// reduce reserved. Only unreserved can be negative: requests that use more than their
// maximum cost reduce it. Nothing more is reserved until grants or loans have made it
// positive. The tests check the rule on random histories (CheckConservation in
// export_test.go).
type owned struct {
	// granted and returned are the totals of this incarnation's row. granted includes a
	// grant only after the store has confirmed it. returned includes a return already
	// before it is written. A lost write therefore neither creates tokens nor lets
	// returned ones be spent.
	granted  granitehoist.Tokens
	returned granitehoist.Tokens
	// spent is the sum of the tokens that settled requests used. reserved is the sum of
	// the maximum costs of unsettled requests and of loans that are about to be lent.
	spent    granitehoist.Tokens
	reserved granitehoist.Tokens
	// lent and borrowed are the totals of all loans, by the incarnation of the other
	// router. lentSum and borrowedSum are their sums, kept because a holder lends to
	// many routers.
	lent        map[granitehoist.Incarnation]granitehoist.Tokens
	borrowed    map[granitehoist.Incarnation]granitehoist.Tokens
	lentSum     granitehoist.Tokens
	borrowedSum granitehoist.Tokens
	// limit is the prepaid total in force.
	limit granitehoist.Tokens
	// limitUnconfirmed is set if the limit was reduced and the record has not been read
	// since: the new limit may no longer cover the unreserved tokens.
	limitUnconfirmed bool
}

// unreserved returns the tokens that this incarnation owns and has neither spent nor
// reserved. It can be negative.
func (o *owned) unreserved() granitehoist.Tokens {
	return o.granted - o.returned - o.spent - o.reserved + o.borrowedSum - o.lentSum
}

// free returns the tokens that a request may reserve.
func (o *owned) free() granitehoist.Tokens {
	if o.limitUnconfirmed {
		return 0
	}
	return o.unreserved()
}

// setLimit sets the prepaid total in force and reports whether it changed. After a
// reduction nothing is free until the record has been read again.
func (o *owned) setLimit(limit granitehoist.Tokens) bool {
	changed := limit != o.limit
	if limit < o.limit {
		o.limitUnconfirmed = true
	}
	o.limit = limit
	return changed
}

// confirmGranted records the total that the store has confirmed as granted. A smaller
// total is an older one and is ignored.
func (o *owned) confirmGranted(total granitehoist.Tokens) {
	o.granted = max(o.granted, total)
}

// returnToStore deducts tokens that are about to be returned to the store.
func (o *owned) returnToStore(tokens granitehoist.Tokens) { o.returned += tokens }

// reserve reserves tokens. The caller has checked that they are free.
func (o *owned) reserve(tokens granitehoist.Tokens) { o.reserved += tokens }

// settle ends a reservation and records the tokens used. It panics if there is no such
// reservation.
func (o *owned) settle(maxCost, used granitehoist.Tokens) {
	if o.reserved < maxCost {
		panic("escrow: settlement without reservation")
	}
	o.reserved -= maxCost
	o.spent += used
}

// lend deducts a loan. It must be called before the response to the borrower is sent.
func (o *owned) lend(to granitehoist.Incarnation, tokens granitehoist.Tokens) {
	if o.lent == nil {
		o.lent = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	o.lent[to] += tokens
	o.lentSum += tokens
}

// lendReserved turns a reservation into a loan.
func (o *owned) lendReserved(to granitehoist.Incarnation, tokens granitehoist.Tokens) {
	o.reserved -= tokens
	o.lend(to, tokens)
}

// borrow records the total of a lender's loans and reports whether it grew. Old messages
// are ignored.
func (o *owned) borrow(from granitehoist.Incarnation, total granitehoist.Tokens) bool {
	if total <= o.borrowed[from] {
		return false
	}
	if o.borrowed == nil {
		o.borrowed = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	o.borrowedSum += total - o.borrowed[from]
	o.borrowed[from] = total
	return true
}
