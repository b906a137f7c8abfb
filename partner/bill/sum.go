// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"sort"

	"granitehoist.example/granitehoist"
)

// Bill is the cost of one request of a workspace, over all routers that served it.
type Bill struct {
	Request granitehoist.RequestID `json:"request"`
	Budget  granitehoist.BudgetID  `json:"budget"`
	Tokens  granitehoist.Tokens    `json:"tokens"`
	Charges []Charge               `json:"charges"`
}

// billID identifies the charges that form one bill.
type billID struct {
	partner   granitehoist.Partner
	workspace granitehoist.Workspace
	request   granitehoist.RequestID
}

// Bills groups charges by workspace and request id, in order of their first charges. A
// request that a caller retried at another router gets one bill for both executions.
func Bills(charges []Charge) []Bill {
	index := map[billID]int{}
	var bills []Bill
	for _, c := range charges {
		id := billID{c.Budget.Partner(), c.Budget.Workspace(), c.Request}
		i, ok := index[id]
		if !ok {
			i = len(bills)
			index[id] = i
			bills = append(bills, Bill{Request: c.Request, Budget: c.Budget})
		}
		bills[i].Tokens += c.Tokens
		bills[i].Charges = append(bills[i].Charges, c)
	}
	return bills
}

// Summary holds the totals charged to one budget.
type Summary struct {
	Budget granitehoist.BudgetID
	// Requests is the number of bills and Charges the number of charges.
	Requests int
	Charges  int
	Tokens   granitehoist.Tokens
	// Estimated is the part of Tokens from estimated charges.
	Estimated granitehoist.Tokens
	// Lent is the part of Tokens served on another partner's capacity.
	Lent granitehoist.Tokens
}

// chargeID identifies a charge that an incarnation made itself (Charge.Orphan unset).
type chargeID struct {
	incarnation granitehoist.Incarnation
	seq         uint64
}

// Merge returns the charges of all segments without duplicates, ordered by incarnation and
// Seq. Charges are identified by incarnation and Seq, orphan charges by their attempt. An
// orphan charge is dropped if the incarnation charged the attempt itself, or if it does not
// name exactly one attempt.
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

// chargesOf returns the charges whose Orphan field equals orphans.
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

// Summarise returns the totals of each budget, ordered by budget id.
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
