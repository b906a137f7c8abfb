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
