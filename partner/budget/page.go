// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"sort"
	"time"

	"granitehoist.example/granitehoist"
)

// seenStep is how much older, in seconds, a member's Seen may be than its last
// report. Without it each report would change the page. It is reportInterval, a
// third of doubtAfter.
const seenStep = int64(reportInterval / time.Second)

// takeReport takes the reports of a message into the page. It reports false if the
// message is of an incarnation that has closed, or names grants that this page
// never made.
func (p *Page) takeReport(s SyncParams, now time.Time) bool {
	if p.Members[s.Incarnation].Closed {
		// The answer to the first closing message was lost.
		return s.Closing
	}
	for _, ask := range s.Asks {
		if !p.recognises(s.Incarnation, ask) {
			return false
		}
	}
	for _, ask := range s.Asks {
		p.takeAsk(s.Incarnation, ask)
		if s.Closing {
			p.takeBack(s.Incarnation, ask)
		}
	}
	member := Member{Box: s.Box, Seen: p.Members[s.Incarnation].Seen}
	if now.Unix()-member.Seen >= seenStep {
		member.Seen = now.Unix()
	}
	if s.Closing && p.empty(s.Incarnation) {
		p.fold(s.Incarnation)
		member.Closed = true
	}
	p.Members[s.Incarnation] = member
	return true
}

// recognises reports whether an ask fits what the page has of its incarnation: it
// names no grant that the page did not make. A message that arrives after its
// incarnation's row was removed would otherwise be counted a second time.
func (p *Page) recognises(i granitehoist.Incarnation, ask Ask) bool {
	var granted granitehoist.Tokens
	if a, ok := p.Accounts[ask.Budget]; ok {
		granted = a.Rows[i].Totals.Granted
	}
	return ask.Totals.Granted <= granted
}

// takeAsk takes the report of one budget into the page.
func (p *Page) takeAsk(i granitehoist.Incarnation, ask Ask) {
	a := p.account(ask.Budget)
	row := a.Rows[i]
	row.Totals = row.Totals.merge(ask.Totals)
	row.Rate = ask.Rate
	row.Largest = ask.Largest
	row.Need = max(0, ask.Need-row.Totals.Granted)
	row.Least = min(row.Need, max(0, ask.Least-row.Totals.Granted))
	a.Rows[i] = row
}

// takeBack undoes grants that an incarnation had not seen when it closed. A closed
// purse accepts no grant.
func (p *Page) takeBack(i granitehoist.Incarnation, ask Ask) {
	a := p.account(ask.Budget)
	row := a.Rows[i]
	row.Totals.Granted = ask.Totals.Granted
	a.Rows[i] = row
}

// account returns the page's account of a budget, a new one at the first call.
func (p *Page) account(k granitehoist.BudgetID) *PageAccount {
	a, ok := p.Accounts[k]
	if !ok {
		a = &PageAccount{}
		p.Accounts[k] = a
	}
	if a.Rows == nil {
		a.Rows = map[granitehoist.Incarnation]Row{}
	}
	return a
}

// empty reports whether an incarnation holds nothing of any budget.
func (p *Page) empty(i granitehoist.Incarnation) bool {
	for _, a := range p.Accounts {
		if a.Rows[i].Totals.Held() != 0 {
			return false
		}
	}
	return true
}

// fold removes an incarnation's rows and keeps their sums.
func (p *Page) fold(i granitehoist.Incarnation) {
	for _, a := range p.Accounts {
		row, ok := a.Rows[i]
		if !ok {
			continue
		}
		a.Folded = a.Folded.plus(row.Totals)
		delete(a.Rows, i)
	}
}

// plus returns the sum of each total.
func (t Totals) plus(u Totals) Totals {
	return Totals{
		Granted:  t.Granted + u.Granted,
		Returned: t.Returned + u.Returned,
		Spent:    t.Spent + u.Spent,
		Lent:     t.Lent + u.Lent,
		Borrowed: t.Borrowed + u.Borrowed,
	}
}

// grant divides the stock of one budget among the asks about it and raises the
// grants of their rows. takeReport must have taken in the asks before. A grant is
// given only once the page is written.
func (p *Page) grant(k granitehoist.BudgetID, asks map[granitehoist.Incarnation]Ask, split Split, now time.Time) map[granitehoist.Incarnation]Reply {
	a := p.account(k)
	ids := sorted(asks)
	claims := make([]*claim, len(ids))
	for n, id := range ids {
		claims[n] = a.claimOf(a.Rows[id], asks[id])
	}
	live, rate := p.live(a, now)
	share := live
	if a.Limit == 0 {
		// The root wants everything back.
		share = 0
	}
	left := live + a.Elsewhere + a.Sent - a.Confirmed
	quiet := min(quietShare(left, len(a.Rows)), share/granitehoist.Tokens(max(1, len(a.Rows))))
	allot(claims, supply{stock: a.Stock(), total: share, rate: rate, quiet: quiet}, split.withDefaults())
	replies := make(map[granitehoist.Incarnation]Reply, len(ids))
	for n, id := range ids {
		row := a.Rows[id]
		row.Totals.Granted += claims[n].grant
		row.Need = max(0, row.Need-claims[n].grant)
		row.Least = min(row.Need, row.Least)
		a.Rows[id] = row
		replies[id] = Reply{Budget: k, Granted: row.Totals.Granted, Target: claims[n].limit, Left: left}
		if asks[id].Need > row.Totals.Granted {
			replies[id] = withLenders(replies[id], a, id)
		}
	}
	return replies
}

// maxLenders bounds the lenders that a reply names, and so the calls that a box makes for
// one budget.
const maxLenders = 3

// withLenders names the incarnations other than the asker that hold most.
func withLenders(r Reply, a *PageAccount, asker granitehoist.Incarnation) Reply {
	for _, id := range sorted(a.Rows) {
		if id != asker && a.Rows[id].Totals.Held() > 0 {
			r.Lenders = append(r.Lenders, id)
		}
	}
	sort.SliceStable(r.Lenders, func(i, j int) bool {
		return a.Rows[r.Lenders[i]].Totals.Held() > a.Rows[r.Lenders[j]].Totals.Held()
	})
	r.Lenders = r.Lenders[:min(maxLenders, len(r.Lenders))]
	return r
}

// claimOf states an ask as additions to what the row has been granted.
func (a *PageAccount) claimOf(row Row, ask Ask) *claim {
	return &claim{
		held:       row.Totals.Held(),
		need:       max(0, ask.Need-row.Totals.Granted),
		least:      max(0, ask.Least-row.Totals.Granted),
		want:       max(0, ask.Want-row.Totals.Granted),
		rate:       row.Rate,
		largest:    row.Largest,
		largestSum: row.Largest,
	}
}

// live returns what the region has that is not in doubt, and its forecast.
func (p *Page) live(a *PageAccount, now time.Time) (granitehoist.Tokens, float64) {
	total := a.Stock()
	var rate float64
	for _, id := range sorted(a.Rows) {
		if now.Sub(time.Unix(p.Members[id].Seen, 0)) > doubtAfter {
			continue
		}
		total += a.Rows[id].Totals.Held()
		rate += a.Rows[id].Rate
	}
	return total, rate
}

// RegionAsk is what a region reports to the root about one budget and asks of it.
type RegionAsk struct {
	Budget granitehoist.BudgetID
	// Received is the total that the page has seen of what the root gave, and
	// Returned the total that it has given back.
	Received, Returned granitehoist.Tokens
	// Spent is the region's total of charges, and Live what it has that is not in
	// doubt.
	Spent, Live granitehoist.Tokens
	// Rate is the region's forecast in tokens a second.
	Rate float64
	// Largest is the largest bound of a request, and LargestSum the sum of the largest
	// of every box.
	Largest, LargestSum granitehoist.Tokens
	// Least, Need and Want are additions to what the region has.
	Least, Need, Want granitehoist.Tokens
}

// prepareAsk returns what the region has of a budget and asks of the root. After
// that it counts the stock beyond the root's limit as sent back; the next report
// names it, since it may be reported only once the page is written.
func (p *Page) prepareAsk(k granitehoist.BudgetID, split Split, now time.Time) RegionAsk {
	a := p.account(k)
	live, rate := p.live(a, now)
	ask := RegionAsk{Budget: k, Spent: a.Spent(), Rate: rate}
	for _, id := range sorted(a.Rows) {
		row := a.Rows[id]
		ask.Need += row.Need
		ask.Largest = max(ask.Largest, row.Largest)
		ask.LargestSum += row.Largest
		if row.Least > 0 && (ask.Least == 0 || row.Least < ask.Least) {
			ask.Least = row.Least
		}
	}
	stock := a.Stock()
	least := ask.Least
	ask.Need = max(0, ask.Need-stock)
	ask.Least = min(ask.Need, max(0, ask.Least-stock))
	ask.Live = live
	ask.Received, ask.Returned = a.Received, a.Sent
	target := max(tokensFor(rate, split.withDefaults().forRegions().Cover), quietRequests*ask.LargestSum)
	ask.Want = max(ask.Need, target-ask.Live)
	if ask.Need == 0 || stock < least {
		a.returnSurplus(live)
	}
	return ask
}

// returning reports whether tokens were given back that the root has not
// confirmed.
func (p *Page) returning() bool {
	for _, a := range p.Accounts {
		if a.Sent > a.Confirmed {
			return true
		}
	}
	return false
}

// takeReply takes the root's answer into the page.
func (p *Page) takeReply(r regionReply, now time.Time) {
	a := p.account(r.Budget)
	a.ReportedAt = now.Unix()
	a.Confirmed = max(a.Confirmed, r.Returned)
	a.Received = max(a.Received, r.Given)
	a.Limit = r.Limit
	a.Elsewhere = r.Elsewhere
}
