// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/event"
)

// MethodLend asks a neighbour for a loan.
const MethodLend = "escrow.lend"

// LendParams asks for tokens that requests of the borrower wait for.
type LendParams struct {
	Borrower  granitehoist.Incarnation `json:"borrower"`
	Workspace granitehoist.Workspace   `json:"workspace"`
	// Need is what one request lacks, Want what would serve for a while.
	Need granitehoist.Tokens `json:"need"`
	Want granitehoist.Tokens `json:"want"`
	// Rate is what the borrower spends in tokens a second.
	Rate granitehoist.Tokens `json:"rate"`
	// Idle is what the borrower owns beside its requests.
	Idle granitehoist.Tokens `json:"idle,omitempty"`
}

// LendResult tells the sum of all loans of the lender to the borrower. It only
// grows, so that a reply which is lost is made good by the next one.
type LendResult struct {
	Total granitehoist.Tokens `json:"total"`
	// InTouch says that the store answered the lender a short while ago.
	// The others then tell what it knows: what is left in the store, what is
	// left there and idle anywhere, and what the fleet spends a second.
	InTouch        bool                `json:"in_touch,omitempty"`
	StoreRemaining granitehoist.Tokens `json:"rest,omitempty"`
	LeftAnywhere   granitehoist.Tokens `json:"left,omitempty"`
	FleetRate      granitehoist.Tokens `json:"rate,omitempty"`
}

// Lend serves a neighbour: it takes tokens off what this ledger owns.
func (l *Ledger) Lend(p LendParams, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	a.demand.noteBorrower(p, now)
	loan := lending{free: a.owned.free(), need: p.Need, want: p.Want, waiting: len(a.waiters) > 0, closing: l.closing}.loan()
	if loan > 0 {
		a.owned.lend(p.Borrower, loan)
	}
	return l.lendResult(a, p.Borrower, now)
}

// lendResult tells a borrower of its loans and of what is known here.
func (l *Ledger) lendResult(a *account, borrower granitehoist.Incarnation, now time.Time) LendResult {
	result := LendResult{Total: a.owned.lent[borrower]}
	if !a.fleet.record.valid || !l.contact.isInTouch(now) {
		return result
	}
	result.InTouch = true
	result.StoreRemaining = max(0, a.fleet.record.remaining)
	result.LeftAnywhere = result.StoreRemaining + max(0, a.owned.unreserved()) + a.fleet.record.idleElsewhere + a.demand.borrowersIdle(borrower, now)
	result.FleetRate = granitehoist.Tokens(a.demand.rate.value(now) + a.demand.borrowersRate(now))
	return result
}

// lendReserved turns a reservation into a loan.
func (l *Ledger) lendReserved(p LendParams, bound granitehoist.Tokens, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	a.demand.noteBorrower(p, now)
	a.owned.lendReserved(p.Borrower, bound)
	return l.lendResult(a, p.Borrower, now)
}

// Borrowed takes in a lender's reply, and reports whether it brought tokens.
func (l *Ledger) Borrowed(w granitehoist.Workspace, lender granitehoist.Incarnation, r LendResult, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if r.InTouch {
		l.contact.answeredAnyone(now)
		a.fleet.lender = lenderView{remaining: r.StoreRemaining, left: r.LeftAnywhere, at: now, valid: true}
		a.demand.fleetRate = float64(r.FleetRate)
	}
	brought := a.owned.borrow(lender, r.Total)
	if brought {
		l.wake(a, now)
	}
	if r.InTouch {
		l.refuse(a, now)
	}
	return brought
}

const (
	// borrowAfter is how long a sync may take before neighbours are asked as well.
	// Chosen, not measured (f7eef06).
	borrowAfter = 20 * time.Millisecond
	// maxLenders bounds the neighbours that are asked for one shortage. Chosen, not
	// measured (e36d45a).
	maxLenders = 12
)

// borrow asks neighbours, one after the other, until no request waits.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil {
		return
	}
	for i, lender := range s.lenders() {
		short := s.settings.Ledger.waitersLacks(s.settings.Clock())
		if len(short) == 0 || i >= maxLenders || ctx.Err() != nil {
			return
		}
		for _, missing := range short {
			s.borrowFrom(ctx, lender, missing)
		}
	}
}

// avoidTime is how long a neighbour that did not answer is left out.
const avoidTime = 1500 * time.Millisecond

// avoid leaves a neighbour out for a while.
func (s *Syncer) avoid(lender granitehoist.Peer) {
	s.avoiding.Lock()
	defer s.avoiding.Unlock()
	s.avoided[lender.Address] = s.settings.Clock().Add(avoidTime)
}

// lenders returns the neighbours that may lend, without those that did not
// answer a short while ago unless all did not.
func (s *Syncer) lenders() []granitehoist.Peer {
	if s.settings.Lenders == nil {
		return nil
	}
	all := s.settings.Lenders()
	now := s.settings.Clock()
	s.avoiding.Lock()
	defer s.avoiding.Unlock()
	var answering []granitehoist.Peer
	for _, lender := range all {
		if now.After(s.avoided[lender.Address]) {
			answering = append(answering, lender)
		}
	}
	if len(answering) == 0 {
		return all
	}
	return answering
}

// borrowFrom asks one neighbour for one loan, and reports whether it is in touch
// with the store.
func (s *Syncer) borrowFrom(ctx context.Context, lender granitehoist.Peer, missing shortage) bool {
	ctx, cancel := context.WithTimeout(ctx, missing.timeout())
	defer cancel()
	params := LendParams{Borrower: s.settings.Ledger.settings.Incarnation, Workspace: missing.workspace, Need: missing.need, Want: missing.want, Rate: missing.rate, Idle: missing.idle}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, lender, MethodLend, params, &result); err != nil {
		s.avoid(lender)
		return false
	}
	if result.InTouch && !s.settings.Writes() {
		s.settings.Ledger.noteRelayAnswer(s.settings.Clock())
	}
	if s.settings.Ledger.Borrowed(missing.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan, zap.String("workspace", string(missing.workspace)), zap.String("lender", string(lender.Incarnation)), zap.Int64("total", int64(result.Total)))
	}
	return result.InTouch
}

// ServeLend answers a neighbour's call of MethodLend. A relay that owns too
// little asks the store.
func (s *Syncer) ServeLend(ctx context.Context, p LendParams) (LendResult, error) {
	p.Want = max(p.Want, p.Need)
	if p.Need <= 0 || !s.settings.Serves() {
		return s.settings.Ledger.Lend(p, s.settings.Clock()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayWait)
	defer cancel()
	if s.reserve(ctx, p.Workspace, claim{bound: p.Want, priority: granitehoist.MaxPriority, loan: true}) != Granted {
		return s.settings.Ledger.Lend(p, s.settings.Clock()), nil
	}
	return s.settings.Ledger.lendReserved(p, p.Want, s.settings.Clock()), nil
}
