// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"sort"

	"granitehoist.example/granitehoist"
)

// Bill is the cost of one request id of a workspace, over all routers that
// served it.
type Bill struct {
	Request granitehoist.RequestID `json:"request"`
	Budget  granitehoist.BudgetID  `json:"budget"`
	Tokens  granitehoist.Tokens    `json:"tokens"`
	Charges []Charge               `json:"charges"`
}

// billID is what makes charges one bill.
type billID struct {
	partner   granitehoist.Partner
	workspace granitehoist.Workspace
	request   granitehoist.RequestID
}

// Bills returns one bill for each request id of a workspace, in the order of their
// first charges. A caller that repeated a request at another router, while the
// first still served it, therefore gets one bill for both executions.
func Bills(charges []Charge) []Bill {
	index := map[billID]int{}
	var bills []Bill
	for _, c := range charges {
		id := billID{c.Budget.Partner(), c.Budget.Workspace(), c.Request}
		at, ok := index[id]
		if !ok {
			at = len(bills)
			index[id] = at
			bills = append(bills, Bill{Request: c.Request, Budget: c.Budget})
		}
		bills[at].Tokens += c.Tokens
		bills[at].Charges = append(bills[at].Charges, c)
	}
	return bills
}

// Summary is what was charged to one budget.
type Summary struct {
	Budget granitehoist.BudgetID
	// Requests is the number of bills, and Charges that of charges.
	Requests int
	Charges  int
	Tokens   granitehoist.Tokens
	// Estimated is the part of Tokens that no upstream reported.
	Estimated granitehoist.Tokens
	// Lent is the part that another partner's capacity served.
	Lent granitehoist.Tokens
}

// chargeID identifies a charge that is not an orphan's.
type chargeID struct {
	incarnation granitehoist.Incarnation
	seq         uint64
}

// Merge returns each charge once, even if several segments hold it. A charge of an
// incarnation is identified by incarnation and number, a charge of an orphan by its
// attempt; it does not count if an incarnation charged the attempt itself. The
// charges are in the order of incarnations and their numbers.
func Merge(segments []Segment) []Charge {
	var charges []Charge
	seen := map[chargeID]bool{}
	charged := map[granitehoist.AttemptID]bool{}
	for _, c := range chargesOf(segments, false) {
		id := chargeID{c.Incarnation, c.Seq}
		if seen[id] {
			continue
		}
		seen[id] = true
		charges = append(charges, c)
		for _, attempt := range c.Attempts {
			charged[attempt] = true
		}
	}
	for _, c := range chargesOf(segments, true) {
		if len(c.Attempts) != 1 || charged[c.Attempts[0]] {
			continue
		}
		charged[c.Attempts[0]] = true
		charges = append(charges, c)
	}
	sort.SliceStable(charges, func(i, j int) bool {
		if charges[i].Incarnation != charges[j].Incarnation {
			return charges[i].Incarnation < charges[j].Incarnation
		}
		return charges[i].Seq < charges[j].Seq
	})
	return charges
}

// chargesOf returns the charges of orphans in the segments, or all others.
func chargesOf(segments []Segment, orphans bool) []Charge {
	var charges []Charge
	for _, s := range segments {
		for _, c := range s.Charges {
			if c.Orphan == orphans {
				charges = append(charges, c)
			}
		}
	}
	return charges
}

// Summarise returns the sums by budget, in the order of their names.
func Summarise(charges []Charge) []Summary {
	sums := map[granitehoist.BudgetID]*Summary{}
	for _, c := range charges {
		s, ok := sums[c.Budget]
		if !ok {
			s = &Summary{Budget: c.Budget}
			sums[c.Budget] = s
		}
		s.Charges++
		s.Tokens += c.Tokens
		if c.Estimated {
			s.Estimated += c.Tokens
		}
		if c.Owner != c.Budget.Partner() {
			s.Lent += c.Tokens
		}
	}
	for _, b := range Bills(charges) {
		sums[b.Budget].Requests++
	}
	list := make([]Summary, 0, len(sums))
	for _, s := range sums {
		list = append(list, *s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Budget < list[j].Budget })
	return list
}
