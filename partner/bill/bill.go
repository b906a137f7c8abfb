// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package bill

import (
	"time"

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
	// Orphan says that another router made the charge, from the upstream's record
	// of an attempt whose incarnation died. It has no number, and does not count
	// if the incarnation's own charge for the attempt is in the store too.
	Orphan bool `json:"orphan,omitempty"`
	// At is when the charge was made.
	At time.Time `json:"at"`
}

// Batch is consecutive charges of one incarnation, oldest first.
type Batch struct {
	Charges []Charge `json:"charges"`
}

// MethodCollect carries CollectParams to a collector and its CollectResult back.
const MethodCollect = "bill.collect"

// CollectParams is a Batch in the form in which routers send it.
type CollectParams = pack.Message[Batch]

// CollectResult confirms that a batch is in the store, in the segment of that key.
type CollectResult struct {
	Segment string `json:"segment"`
}
