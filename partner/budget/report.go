// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// Intervals between reports of one account while no request waits for tokens.
const (
	// reportInterval is the longest time between two reports of an account that holds
	// tokens or has changed.
	reportInterval = 10 * time.Second
	// shortfallInterval is the time between two reports of an account that holds less
	// than half of its target or limit.
	shortfallInterval = time.Second
)

// Reports returns the reports that are due, in order of their budgets. urgent is true if
// requests, on this box or another, may wait for the replies, or if the Ledger is closed.
// Reports deducts the surplus of each reported account. If a report is lost, the totals in
// the next report include that surplus.
func (l *Ledger) Reports(now time.Time) (reports []Report, urgent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, a := range l.accounts {
		if !a.isReportDue(l.closing, now) {
			continue
		}
		surplus := a.hasUrgentSurplus()
		report := l.report(k, a, now)
		reports = append(reports, report)
		urgent = urgent || surplus || report.Need > report.Totals.Granted
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Budget < reports[j].Budget })
	return reports, urgent || l.closing
}

// isReportDue reports whether the account should be reported now. A report is due
//   - at once if the box is closing, if requests wait for tokens, or if the box has a surplus
//     for which requests at other boxes may wait;
//   - after shortfallInterval if the free tokens are below half of the target;
//   - after reportInterval otherwise, if the account has changed or holds tokens.
func (a *account) isReportDue(closing bool, now time.Time) bool {
	elapsed := now.Sub(a.reportedAt)
	switch {
	case closing || len(a.demand.waiters) > 0 || a.hasUrgentSurplus():
		return true
	case a.reply.received && a.free() < a.reply.target/2:
		return elapsed >= shortfallInterval
	}
	return elapsed >= reportInterval && (a.changed || a.totals.Held() != 0)
}

// report deducts the account's surplus as returned and builds its report.
func (l *Ledger) report(k granitehoist.BudgetID, a *account, now time.Time) Report {
	a.returnSurplus(l.closing)
	a.reportedAt = now
	granted := a.totals.Granted
	report := Report{
		Budget:  k,
		Totals:  a.totals,
		Rate:    a.demand.spending.rate(now),
		Largest: a.demand.largest,
		Want:    granted,
		Need:    granted,
		Least:   granted,
	}
	if l.closing {
		return report
	}
	shortfall := a.demand.waiting() - a.free()
	headroom := max(tokensFor(report.Rate, l.split(k).Cover), idleReserveRequests*a.demand.largest)
	report.Need += max(0, shortfall)
	report.Least += max(0, a.demand.smallestWaiting()-a.free())
	report.Want += max(0, shortfall+headroom)
	return report
}

// Apply processes the replies to reports. Grants are totals, so a delayed or duplicated
// reply grants nothing twice. Each reply replaces the target, the remaining tokens and the
// lenders.
func (l *Ledger) Apply(reports []Report, replies []Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reported := make(map[granitehoist.BudgetID]Totals, len(reports))
	for _, report := range reports {
		reported[report.Budget] = report.Totals
	}
	for _, r := range replies {
		a := l.account(r.Budget)
		if !l.closing {
			a.totals.Granted = max(a.totals.Granted, r.Granted)
		}
		a.reply = lastReply{received: true, receivedAt: now, target: r.Target, remaining: r.Remaining, lenders: r.Lenders}
		a.serveWaiters()
		a.rejectWaiters()
		before := reported[r.Budget]
		before.Granted = a.totals.Granted
		a.changed = a.totals != before || len(a.demand.waiters) > 0
	}
}
