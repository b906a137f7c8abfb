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
}

// LendResult tells the sum of all loans of the lender to the borrower. It only
// grows, so that a reply which is lost is made good by the next one.
type LendResult struct {
	Total granitehoist.Tokens `json:"total"`
}

// lendPart of its free tokens is what a lender parts with if that is less than
// the need, which several lenders then serve together, or more.
const lendPart = 0.5

// Lend serves a neighbour: it takes tokens off what this ledger owns. What it
// lends counts as its own demand.
func (l *Ledger) Lend(p LendParams, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	free := a.free()
	if !l.closing && p.Need > 0 && free > 0 && len(a.waiters) == 0 {
		give := min(p.Want, granitehoist.Tokens(lendPart*float64(free)))
		if free >= p.Need {
			give = max(p.Need, give)
		}
		a.lend(p.Borrower, max(0, give), now)
	}
	return LendResult{Total: a.lent[p.Borrower]}
}

func (a *account) lend(borrower granitehoist.Incarnation, give granitehoist.Tokens, now time.Time) {
	if a.lent == nil {
		a.lent = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	a.lent[borrower] += give
	a.rate.add(give, now)
}

// lendReserved turns a reservation into a loan.
func (l *Ledger) lendReserved(p LendParams, bound granitehoist.Tokens, now time.Time) LendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(p.Workspace)
	a.reserved -= bound
	a.lend(p.Borrower, bound, now)
	return LendResult{Total: a.lent[p.Borrower]}
}

// Borrowed takes in a lender's reply, and reports whether it brought tokens.
func (l *Ledger) Borrowed(w granitehoist.Workspace, lender granitehoist.Incarnation, r LendResult, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(w)
	if r.Total <= a.borrowed[lender] {
		return false
	}
	if a.borrowed == nil {
		a.borrowed = map[granitehoist.Incarnation]granitehoist.Tokens{}
	}
	a.borrowed[lender] = r.Total
	a.wake(l.outageLeft(now))
	return true
}

// shortage is what requests of a workspace wait for.
type shortage struct {
	workspace granitehoist.Workspace
	need      granitehoist.Tokens
	want      granitehoist.Tokens
}

// shortages returns the workspaces for which requests wait.
func (l *Ledger) shortages(now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var short []shortage
	for w, a := range l.accounts {
		if len(a.waiters) == 0 || a.frozen {
			continue
		}
		first := a.waiters[0].bound
		for _, waiting := range a.waiters {
			first = min(first, waiting.bound)
		}
		var sum granitehoist.Tokens
		for _, waiting := range a.waiters {
			sum += waiting.bound
		}
		free := max(0, a.owned())
		short = append(short, shortage{
			workspace: w,
			need:      max(1, first-free),
			want:      sum - free + granitehoist.Tokens(a.rate.value(now)*loanCover.Seconds()),
		})
	}
	return short
}

// Times of borrowing.
const (
	// loanCover is how long a loan should last.
	loanCover = 2 * time.Second
	// borrowAfter is how long a sync may take before neighbours are asked.
	borrowAfter = 20 * time.Millisecond
	lendTimeout = 50 * time.Millisecond
	// lendersAtMost bounds the neighbours that are asked for one shortage.
	lendersAtMost = 12
)

// borrow asks neighbours, one after the other, until no request waits.
func (s *Syncer) borrow(ctx context.Context) {
	if s.settings.Caller == nil || s.settings.Lenders == nil {
		return
	}
	for i, lender := range s.settings.Lenders() {
		short := s.settings.Ledger.shortages(s.settings.Clock())
		if len(short) == 0 || i >= lendersAtMost || ctx.Err() != nil {
			return
		}
		for _, missing := range short {
			s.borrowFrom(ctx, lender, missing)
		}
	}
}

func (s *Syncer) borrowFrom(ctx context.Context, lender granitehoist.Peer, missing shortage) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	params := LendParams{Borrower: s.settings.Ledger.settings.Incarnation, Workspace: missing.workspace, Need: missing.need, Want: missing.want}
	var result LendResult
	if err := s.settings.Caller.Call(ctx, lender, MethodLend, params, &result); err != nil {
		return
	}
	if s.settings.Ledger.Borrowed(missing.workspace, lender.Incarnation, result, s.settings.Clock()) {
		s.settings.Log.Info(event.BudgetLoan, zap.String("workspace", string(missing.workspace)), zap.String("lender", string(lender.Incarnation)), zap.Int64("total", int64(result.Total)))
	}
}

// ServeLend answers a neighbour's call of MethodLend. A keeper that owns too
// little asks the store.
func (s *Syncer) ServeLend(ctx context.Context, p LendParams) (LendResult, error) {
	before := s.settings.Ledger.lentTo(p.Workspace, p.Borrower)
	result := s.settings.Ledger.Lend(p, s.settings.Clock())
	if result.Total > before || p.Need <= 0 || !s.settings.Keeps() {
		return result, nil
	}
	ctx, cancel := context.WithTimeout(ctx, keeperWait)
	defer cancel()
	if s.reserve(ctx, p.Workspace, p.Need, granitehoist.MaxPriority) != Granted {
		return result, nil
	}
	return s.settings.Ledger.lendReserved(p, p.Need, s.settings.Clock()), nil
}

func (l *Ledger) lentTo(w granitehoist.Workspace, borrower granitehoist.Incarnation) granitehoist.Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.account(w).lent[borrower]
}

// lows returns the workspaces whose holding is low or for which requests wait.
// A router that does not read the record takes the whole budget for what is
// left.
func (l *Ledger) lows(routers int, now time.Time) []shortage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var low []shortage
	for w, a := range l.accounts {
		rest := a.rest
		if !a.known {
			rest = a.limit
		}
		target := a.target(rest, routers, l.settings.Cover, now)
		free := max(0, a.owned())
		var waiting granitehoist.Tokens
		for _, each := range a.waiters {
			waiting += each.bound
		}
		if a.frozen || (waiting == 0 && float64(free) >= refillBelow*float64(target)) {
			continue
		}
		want := max(1, target+waiting-free)
		low = append(low, shortage{workspace: w, need: min(want, max(1, waiting)), want: want})
	}
	return low
}

// replenish fills the holdings from keepers, and reports whether no request
// waits any more.
func (s *Syncer) replenish(ctx context.Context) bool {
	lenders := s.settings.Lenders()
	for _, lender := range lenders[:min(len(lenders), keepersAsked)] {
		for _, missing := range s.settings.Ledger.lows(s.settings.Routers(), s.settings.Clock()) {
			s.borrowFrom(ctx, lender, missing)
		}
		if len(s.settings.Ledger.lows(s.settings.Routers(), s.settings.Clock())) == 0 {
			break
		}
	}
	return s.settings.Ledger.replenished()
}

// replenished notes that keepers were asked, and reports whether nothing is
// left that only the record can settle.
func (l *Ledger) replenished() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	settled := true
	for _, a := range l.accounts {
		a.changed = false
		settled = settled && !a.frozen && len(a.waiters) == 0
	}
	return settled
}

// Bounds of asking keepers.
const (
	keepersAsked = 3
	// keeperWait is how long a keeper waits for the store on behalf of a
	// neighbour.
	keeperWait = 45 * time.Millisecond
)
