// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"fmt"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// Charge is the cost of one request.
type Charge struct {
	// Incarnation made the charge and Seq numbers its charges from 1.
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Seq         uint64                   `json:"seq"`

	Request granitehoist.RequestID `json:"request"`
	// Attempts are those that may have run; Tokens is the sum of their costs.
	Attempts []granitehoist.AttemptID `json:"attempts"`
	Budget   granitehoist.BudgetID    `json:"budget"`
	// Owner is the partner whose capacity served the request.
	Owner    granitehoist.Partner  `json:"owner"`
	Service  granitehoist.Service  `json:"service"`
	Upstream granitehoist.Upstream `json:"upstream"`
	Tokens   granitehoist.Tokens   `json:"tokens"`
	// Estimated says that the upstream reported no use, and that the reserved
	// upper bound was charged.
	Estimated bool `json:"estimated,omitempty"`
	// Orphan says that the charge was made by another router, from the
	// upstream's record of an attempt whose incarnation is gone. It has no
	// number, and gives way to a charge of the incarnation's own.
	Orphan bool `json:"orphan,omitempty"`
	// At is when the charge was made.
	At time.Time `json:"at"`
}

// Batch is consecutive charges of one incarnation.
type Batch struct {
	Charges []Charge `json:"charges"`
}

// MethodCollect hands CollectParams to a collector.
const MethodCollect = "bill.collect"

// CollectParams is a Batch on its way between routers.
type CollectParams = pack.Message[Batch]

// CollectResult confirms that a batch is in the store.
type CollectResult struct {
	Segment string `json:"segment"`
}

const segmentFormat = 1

// Segment is a record of charges in the store.
type Segment struct {
	Format  int      `json:"format"`
	ID      string   `json:"id"`
	Charges []Charge `json:"charges"`
}

// KeyPrefix is where segments stand in the store.
const KeyPrefix = "bills/"

// SegmentKey returns the store's key of a collector's n-th segment.
func SegmentKey(r granitehoist.Region, collector granitehoist.Incarnation, n uint64) string {
	return fmt.Sprintf("%s%s/%s/%08d", KeyPrefix, r, collector, n)
}

// OrphanKey returns the store's key of the n-th segment of a dead incarnation's
// orphans.
func OrphanKey(dead granitehoist.Incarnation, n int) string {
	return fmt.Sprintf("%sorphans/%s/%04d", KeyPrefix, dead, n)
}

// EncodeSegment returns the stored form of charges. It panics if there are
// none.
func EncodeSegment(id string, charges []Charge) ([]byte, error) {
	if len(charges) == 0 {
		panic("bill: empty segment")
	}
	return pack.Pack(Segment{Format: segmentFormat, ID: id, Charges: charges})
}

// DecodeSegment reads a stored segment. What can't be read is an error and
// never an empty segment.
func DecodeSegment(e granitehoist.Entry) (Segment, error) {
	var s Segment
	if err := pack.Unpack(e.Value, &s); err != nil {
		return s, eris.Wrapf(err, "bill: segment %s can't be read", e.Key)
	}
	if s.Format != segmentFormat || len(s.Charges) == 0 {
		return s, eris.Errorf("bill: segment %s has format %d and %d charges", e.Key, s.Format, len(s.Charges))
	}
	return s, nil
}

// Bill is the cost of one request id of a workspace, over all routers that
// served it.
type Bill struct {
	Request granitehoist.RequestID `json:"request"`
	Budget  granitehoist.BudgetID  `json:"budget"`
	Tokens  granitehoist.Tokens    `json:"tokens"`
	Charges []Charge               `json:"charges"`
}

type billID struct {
	partner   granitehoist.Partner
	workspace granitehoist.Workspace
	request   granitehoist.RequestID
}

// Bills returns one bill a request id of a workspace, in the order of their
// first charges. A caller that sent a request again to another router, while
// the first served it, so gets one bill for both executions.
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

type chargeID struct {
	incarnation granitehoist.Incarnation
	seq         uint64
}

// Merge returns each charge once, however often and in however many segments it
// stands: the incarnations' own by incarnation and number, and those of orphans
// by attempt, where no incarnation charged the attempt itself.
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

// chargesOf returns the charges of segments that are of orphans, or those that are
// not.
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
