// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// seenResolution is the resolution of Member.LastSeen in seconds. A report that would change
// only LastSeen, by less than this, needs no write. It is well below inDoubtAfter.
const seenResolution = int64(reportInterval / time.Second)

// applyReports merges the reports of a message into the record. It returns false if the
// message must be refused: its incarnation has closed, or it names grants that the region
// never made.
func (r *RegionRecord) applyReports(s SyncParams, now time.Time) bool {
	if r.Members[s.Incarnation].Closed {
		// Accept a closing message that is repeated since its response was lost.
		return s.Closing
	}
	for _, report := range s.Reports {
		if !r.acceptsReport(s.Incarnation, report) {
			return false
		}
	}
	for _, report := range s.Reports {
		r.mergeReport(s.Incarnation, report)
		if s.Closing {
			r.revokeUnseenGrants(s.Incarnation, report)
		}
	}
	member := Member{Box: s.Box, LastSeen: r.Members[s.Incarnation].LastSeen}
	if now.Unix()-member.LastSeen >= seenResolution {
		member.LastSeen = now.Unix()
	}
	if s.Closing && r.holdsNothing(s.Incarnation) {
		r.retire(s.Incarnation)
		member.Closed = true
	}
	r.Members[s.Incarnation] = member
	return true
}

// acceptsReport reports whether the region has made the grants that a report names. It
// returns false for a report that arrives after its incarnation's row was added to Retired,
// since the report's totals would be counted twice.
func (r *RegionRecord) acceptsReport(i granitehoist.Incarnation, report Report) bool {
	var granted granitehoist.Tokens
	if a, ok := r.Accounts[report.Budget]; ok {
		granted = a.Rows[i].Totals.Granted
	}
	return report.Totals.Granted <= granted
}

// mergeReport merges the report of one budget into the incarnation's row.
func (r *RegionRecord) mergeReport(i granitehoist.Incarnation, report Report) {
	a := r.account(report.Budget)
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
func (r *RegionRecord) revokeUnseenGrants(i granitehoist.Incarnation, report Report) {
	a := r.account(report.Budget)
	row := a.Rows[i]
	row.Totals.Granted = report.Totals.Granted
	a.Rows[i] = row
}

// account returns the account of a budget and creates it if needed.
func (r *RegionRecord) account(k granitehoist.BudgetID) *RegionAccount {
	a, ok := r.Accounts[k]
	if !ok {
		a = &RegionAccount{}
		r.Accounts[k] = a
	}
	if a.Rows == nil {
		a.Rows = map[granitehoist.Incarnation]Row{}
	}
	return a
}

// holdsNothing reports whether an incarnation holds no tokens of any budget.
func (r *RegionRecord) holdsNothing(i granitehoist.Incarnation) bool {
	for _, a := range r.Accounts {
		if a.Rows[i].Totals.Held() != 0 {
			return false
		}
	}
	return true
}

// retire removes an incarnation's rows and keeps their sums.
func (r *RegionRecord) retire(i granitehoist.Incarnation) {
	for _, a := range r.Accounts {
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
func (r *RegionRecord) grant(k granitehoist.BudgetID, reports map[granitehoist.Incarnation]Report, split Split, now time.Time) map[granitehoist.Incarnation]Reply {
	a := r.account(k)
	ids := sortedKeys(reports)
	claims := make([]*claim, len(ids))
	for n, id := range ids {
		claims[n] = a.newClaim(a.Rows[id], reports[id])
	}
	live, rate := r.liveTokens(a, now)
	available := live
	if a.Limit == 0 {
		// The root has recalled all tokens of the region.
		available = 0
	}
	remaining := live + a.RemainingElsewhere + a.Returned - a.Confirmed
	reserve := min(idleReserve(remaining, len(a.Rows)), available/granitehoist.Tokens(max(1, len(a.Rows))))
	allocate(claims, supply{grantable: a.Stock(), total: available, rate: rate, idleReserve: reserve}, split.withDefaults())
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

// liveTokens returns the region's tokens that are not in doubt, stock included, and the
// forecast spending rate of their holders in tokens per second.
func (r *RegionRecord) liveTokens(a *RegionAccount, now time.Time) (granitehoist.Tokens, float64) {
	total := a.Stock()
	var rate float64
	for _, id := range sortedKeys(a.Rows) {
		if now.Sub(time.Unix(r.Members[id].LastSeen, 0)) > inDoubtAfter {
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
	// Spent is the total charged in the region. Live is the number of tokens in the region
	// that are not in doubt, stock included.
	Spent, Live granitehoist.Tokens
	// Rate is the region's forecast spending rate in tokens per second.
	Rate float64
	// Largest is the largest maximum cost of a request. LargestSum adds up the largest
	// maximum cost at each box.
	Largest, LargestSum granitehoist.Tokens
	// Least, Need and Want are numbers of tokens. Least is what the smallest waiting
	// request lacks beyond the region's stock, and Need is what all waiting requests lack.
	// Want is all that the region asks for, Need included.
	Least, Need, Want granitehoist.Tokens
}

// prepareReport returns the region's report of a budget. It then deducts the stock beyond
// the root's limit as returned, unless the stock can serve some of the waiting requests but
// not all. The report does not contain this return, since the record must be written first;
// the next one does.
func (r *RegionRecord) prepareReport(k granitehoist.BudgetID, split Split, now time.Time) RegionReport {
	a := r.account(k)
	live, rate := r.liveTokens(a, now)
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
func (r *RegionRecord) hasUnconfirmedReturns() bool {
	for _, a := range r.Accounts {
		if a.Returned > a.Confirmed {
			return true
		}
	}
	return false
}

// applyReply merges the root's reply into the record.
func (r *RegionRecord) applyReply(reply regionReply, now time.Time) {
	a := r.account(reply.Budget)
	a.ReportedAt = now.Unix()
	a.Confirmed = max(a.Confirmed, reply.Returned)
	a.Received = max(a.Received, reply.Granted)
	a.Limit = reply.Limit
	a.RemainingElsewhere = reply.RemainingElsewhere
}
