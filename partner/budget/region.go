// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// seenResolution is the resolution of Member.LastSeen in seconds. It saves writing the record
// for reports that change nothing else, and is well below inDoubtAfter.
const seenResolution = int64(reportInterval / time.Second)

// applyReports merges the reports of a message into the record. It returns false if the
// message must be refused: its incarnation has closed, or it names grants that the region
// never made.
func (p *RegionRecord) applyReports(s SyncParams, now time.Time) bool {
	if p.Members[s.Incarnation].Closed {
		// Accept a closing message that is repeated since its answer was lost.
		return s.Closing
	}
	for _, report := range s.Reports {
		if !p.acceptsReport(s.Incarnation, report) {
			return false
		}
	}
	for _, report := range s.Reports {
		p.mergeReport(s.Incarnation, report)
		if s.Closing {
			p.revokeUnseenGrants(s.Incarnation, report)
		}
	}
	member := Member{Box: s.Box, LastSeen: p.Members[s.Incarnation].LastSeen}
	if now.Unix()-member.LastSeen >= seenResolution {
		member.LastSeen = now.Unix()
	}
	if s.Closing && p.holdsNothing(s.Incarnation) {
		p.retire(s.Incarnation)
		member.Closed = true
	}
	p.Members[s.Incarnation] = member
	return true
}

// acceptsReport reports whether the record has made the grants that a report names. This
// refuses messages that arrive after their incarnation's row was removed, which would
// otherwise be counted twice.
func (p *RegionRecord) acceptsReport(i granitehoist.Incarnation, report Report) bool {
	var granted granitehoist.Tokens
	if a, ok := p.Accounts[report.Budget]; ok {
		granted = a.Rows[i].Totals.Granted
	}
	return report.Totals.Granted <= granted
}

// mergeReport merges the report of one budget into the incarnation's row.
func (p *RegionRecord) mergeReport(i granitehoist.Incarnation, report Report) {
	a := p.account(report.Budget)
	row := a.Rows[i]
	row.Totals = row.Totals.merge(report.Totals)
	row.Rate = report.Rate
	row.Largest = report.Largest
	row.Need = max(0, report.Need-row.Totals.Granted)
	row.Least = min(row.Need, max(0, report.Least-row.Totals.Granted))
	a.Rows[i] = row
}

// revokeUnseenGrants undoes grants that an incarnation had not seen when it closed. A
// closed incarnation accepts no grant.
func (p *RegionRecord) revokeUnseenGrants(i granitehoist.Incarnation, report Report) {
	a := p.account(report.Budget)
	row := a.Rows[i]
	row.Totals.Granted = report.Totals.Granted
	a.Rows[i] = row
}

// account returns the account of a budget and creates it if needed.
func (p *RegionRecord) account(k granitehoist.BudgetID) *RegionAccount {
	a, ok := p.Accounts[k]
	if !ok {
		a = &RegionAccount{}
		p.Accounts[k] = a
	}
	if a.Rows == nil {
		a.Rows = map[granitehoist.Incarnation]Row{}
	}
	return a
}

// holdsNothing reports whether an incarnation holds no tokens of any budget.
func (p *RegionRecord) holdsNothing(i granitehoist.Incarnation) bool {
	for _, a := range p.Accounts {
		if a.Rows[i].Totals.Held() != 0 {
			return false
		}
	}
	return true
}

// retire removes an incarnation's rows and keeps their sums.
func (p *RegionRecord) retire(i granitehoist.Incarnation) {
	for _, a := range p.Accounts {
		row, ok := a.Rows[i]
		if !ok {
			continue
		}
		a.Retired = a.Retired.add(row.Totals)
		delete(a.Rows, i)
	}
}

// add returns the sum of each total.
func (t Totals) add(u Totals) Totals {
	return Totals{
		Granted:  t.Granted + u.Granted,
		Returned: t.Returned + u.Returned,
		Spent:    t.Spent + u.Spent,
		Lent:     t.Lent + u.Lent,
		Borrowed: t.Borrowed + u.Borrowed,
	}
}

// grant divides the stock of one budget among the reports about it and raises the grants of
// their rows. applyReports must have been called with them. The replies may be sent only
// after the record is written.
func (p *RegionRecord) grant(k granitehoist.BudgetID, reports map[granitehoist.Incarnation]Report, split Split, now time.Time) map[granitehoist.Incarnation]Reply {
	a := p.account(k)
	ids := sortedKeys(reports)
	claims := make([]*claim, len(ids))
	for n, id := range ids {
		claims[n] = a.newClaim(a.Rows[id], reports[id])
	}
	live, rate := p.liveTokens(a, now)
	available := live
	if a.Limit == 0 {
		// The root has recalled all tokens of the region.
		available = 0
	}
	remaining := live + a.RemainingElsewhere + a.Returned - a.Confirmed
	reserve := min(idleReserve(remaining, len(a.Rows)), available/granitehoist.Tokens(max(1, len(a.Rows))))
	allocate(claims, supply{stock: a.Stock(), total: available, rate: rate, idleReserve: reserve}, split.withDefaults())
	replies := make(map[granitehoist.Incarnation]Reply, len(ids))
	for n, id := range ids {
		row := a.Rows[id]
		row.Totals.Granted += claims[n].grant
		row.Need = max(0, row.Need-claims[n].grant)
		row.Least = min(row.Need, row.Least)
		a.Rows[id] = row
		replies[id] = Reply{Budget: k, Granted: row.Totals.Granted, Target: claims[n].limit, Remaining: remaining}
		if reports[id].Need > row.Totals.Granted {
			replies[id] = withLenders(replies[id], a, id)
		}
	}
	return replies
}

// maxLenders bounds the lenders named in a reply, and so the calls of a box for one budget.
const maxLenders = 3

// withLenders adds the incarnations with the largest holdings, other than the requester,
// to a reply.
func withLenders(r Reply, a *RegionAccount, requester granitehoist.Incarnation) Reply {
	for _, id := range sortedKeys(a.Rows) {
		if id != requester && a.Rows[id].Totals.Held() > 0 {
			r.Lenders = append(r.Lenders, id)
		}
	}
	sort.SliceStable(r.Lenders, func(i, j int) bool {
		return a.Rows[r.Lenders[i]].Totals.Held() > a.Rows[r.Lenders[j]].Totals.Held()
	})
	r.Lenders = r.Lenders[:min(maxLenders, len(r.Lenders))]
	return r
}

// newClaim converts the totals of a report to amounts beyond the row's grants.
func (a *RegionAccount) newClaim(row Row, report Report) *claim {
	return &claim{
		held:       row.Totals.Held(),
		need:       max(0, report.Need-row.Totals.Granted),
		least:      max(0, report.Least-row.Totals.Granted),
		want:       max(0, report.Want-row.Totals.Granted),
		rate:       row.Rate,
		largest:    row.Largest,
		largestSum: row.Largest,
	}
}

// liveTokens returns the region's tokens that are not in doubt, and the forecast of their
// holders in tokens per second.
func (p *RegionRecord) liveTokens(a *RegionAccount, now time.Time) (granitehoist.Tokens, float64) {
	total := a.Stock()
	var rate float64
	for _, id := range sortedKeys(a.Rows) {
		if now.Sub(time.Unix(p.Members[id].LastSeen, 0)) > inDoubtAfter {
			continue
		}
		total += a.Rows[id].Totals.Held()
		rate += a.Rows[id].Rate
	}
	return total, rate
}

// RegionReport is a region's report of one budget to the root, and its demand.
type RegionReport struct {
	Budget granitehoist.BudgetID
	// Received is the total of the root's grants that the region has seen. Returned is the
	// total that the region has returned.
	Received, Returned granitehoist.Tokens
	// Spent is the total charged in the region. Live is what the region has that is not
	// in doubt.
	Spent, Live granitehoist.Tokens
	// Rate is the region's forecast in tokens per second.
	Rate float64
	// Largest is the largest bound of a request. LargestSum is the sum of the largest
	// bounds of all boxes.
	Largest, LargestSum granitehoist.Tokens
	// Least, Need and Want are as in Report, but in addition to what the region has.
	Least, Need, Want granitehoist.Tokens
}

// prepareReport returns the region's report of a budget. It then deducts the stock beyond
// the root's limit as returned, unless the stock can serve some of the waiting requests but
// not all. The report does not contain this return, since the record must be written first;
// the next one does.
func (p *RegionRecord) prepareReport(k granitehoist.BudgetID, split Split, now time.Time) RegionReport {
	a := p.account(k)
	live, rate := p.liveTokens(a, now)
	report := RegionReport{Budget: k, Spent: a.Spent(), Rate: rate}
	for _, id := range sortedKeys(a.Rows) {
		row := a.Rows[id]
		report.Need += row.Need
		report.Largest = max(report.Largest, row.Largest)
		report.LargestSum += row.Largest
		if row.Least > 0 && (report.Least == 0 || row.Least < report.Least) {
			report.Least = row.Least
		}
	}
	stock := a.Stock()
	least := report.Least
	report.Need = max(0, report.Need-stock)
	report.Least = min(report.Need, max(0, report.Least-stock))
	report.Live = live
	report.Received, report.Returned = a.Received, a.Returned
	target := max(tokensFor(rate, split.withDefaults().forRegions().Cover), idleReserveRequests*report.LargestSum)
	report.Want = max(report.Need, target-report.Live)
	if report.Need == 0 || stock < least {
		a.returnStockSurplus(live)
	}
	return report
}

// hasUnconfirmedReturns reports whether the root has yet to confirm returned tokens.
func (p *RegionRecord) hasUnconfirmedReturns() bool {
	for _, a := range p.Accounts {
		if a.Returned > a.Confirmed {
			return true
		}
	}
	return false
}

// applyReply merges the root's reply into the record.
func (p *RegionRecord) applyReply(r regionReply, now time.Time) {
	a := p.account(r.Budget)
	a.ReportedAt = now.Unix()
	a.Confirmed = max(a.Confirmed, r.Returned)
	a.Received = max(a.Received, r.Granted)
	a.Limit = r.Limit
	a.RemainingElsewhere = r.RemainingElsewhere
}
