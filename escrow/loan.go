// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"time"

	"granitehoist.example/granitehoist"
)

// Lend gives a borrower a loan of the size that loanInputs.loan returns, which may be
// zero. A borrower that calls twice gets two loans.
func (l *Ledger) Lend(p LendParams, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	lends := l.role(p.Workspace, a, now).lends()
	loan := loanInputs{
		free: a.free(l.settings.Machine, now), need: p.Need, want: p.Want,
		waiting: len(a.waiters) > 0, closing: l.closing, allOrNothing: lends,
	}.loan()
	if loan > 0 {
		a.owned.lend(p.Borrower, loan)
	}
	if loan > 0 && lends {
		a.demand.rate.add(loan, l.firstRequestAt, now)
	}
	return l.lendResult(p.Workspace, a, p.Borrower, now)
}

// lendResult returns the response to a borrower: the total of its loans and, if this router
// is connected to the store, what it knows of the budget. The caller holds mu.
func (l *Ledger) lendResult(w granitehoist.Workspace, a *account, borrower granitehoist.Incarnation, now time.Time) LendResult {
	result := LendResult{Total: a.owned.lent[borrower]}
	if age := now.Sub(a.fleet.lender.at); l.role(w, a, now) == RoleSubHolder && l.isReportCurrent(a, age) {
		result.StoreConnected = true
		result.StoreRemaining = a.fleet.lender.remaining
		result.TotalRemaining = a.fleet.lender.totalRemaining + max(0, a.owned.unreserved())
		result.Age = age
		return result
	}
	if !a.fleet.record.valid || !l.health.isConnected(now) {
		return result
	}
	result.StoreConnected = true
	result.StoreRemaining = max(0, a.fleet.record.remaining)
	result.TotalRemaining = result.StoreRemaining + max(0, a.owned.unreserved()) + a.fleet.record.idleOfOthers
	return result
}

// isReportCurrent decides whether a sub-holder, which does not read the record itself,
// passes on the last report of its lender. age is the age of that report. The caller holds
// mu.
func (l *Ledger) isReportCurrent(a *account, age time.Duration) bool {
	return a.fleet.lenderIsNewer() && age <= connectedTime && !l.health.isUnresponsive()
}

// lendReserved turns a reservation into a loan.
func (l *Ledger) lendReserved(p LendParams, tokens granitehoist.Tokens, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	a.owned.lendReserved(p.Borrower, tokens)
	return l.lendResult(p.Workspace, a, p.Borrower, now)
}

// RecordLoan records a lender's response, and reports whether it brought tokens. Late or
// duplicate responses bring none.
func (l *Ledger) RecordLoan(w granitehoist.Workspace, lender granitehoist.Incarnation, r LendResult, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if r.StoreConnected {
		l.health.noteResponse(now)
		a.fleet.lender = lenderView{remaining: r.StoreRemaining, totalRemaining: r.TotalRemaining, at: now.Add(-r.Age), valid: true}
	}
	brought := a.owned.borrow(lender, r.Total)
	if brought {
		l.admitWaiters(a, now)
	}
	if r.StoreConnected && a.fleet.isFresh(now) {
		l.refuseAndAdmitWaiters(a, now)
	}
	return brought
}

// borrowedFrom returns the sum of all loans of a lender to this router that have arrived.
func (l *Ledger) borrowedFrom(w granitehoist.Workspace, lender granitehoist.Incarnation) granitehoist.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(w).owned.borrowed[lender]
}

// noteRepayment records a repayment. Repaid tokens were not spent, so a holder deducts
// them from its demand.rate.
func (l *Ledger) noteRepayment(p RepayParams, now time.Time) {
	l.mu.Lock()
	a := l.account(p.Workspace)
	if back := p.Total - a.owned.borrowed[p.Sender]; back > 0 && l.role(p.Workspace, a, now).lends() {
		a.demand.rate.add(-back, l.firstRequestAt, now)
	}
	l.mu.Unlock()
	l.RecordLoan(p.Workspace, p.Sender, LendResult{Total: p.Total}, now)
}

// repay deducts tokens from what this ledger owns and returns the message that transfers
// them to the receiver.
func (l *Ledger) repay(to granitehoist.Incarnation, s surplus, now time.Time) RepayParams {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(s.workspace)
	if give := min(s.tokens, a.free(l.settings.Machine, now)); give > 0 {
		a.owned.lend(to, give)
	}
	return RepayParams{Sender: l.settings.Incarnation, Workspace: s.workspace, Total: a.owned.lent[to]}
}

// report returns a response to a neighbour without a new loan.
func (l *Ledger) report(w granitehoist.Workspace, neighbour granitehoist.Incarnation, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lendResult(w, l.account(w), neighbour, now)
}
