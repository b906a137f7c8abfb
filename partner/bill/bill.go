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
	// Incarnation identifies the router run that made the charge; Seq numbers its
	// charges from 1.
	Incarnation granitehoist.Incarnation `json:"incarnation"`
	Seq         uint64                   `json:"seq"`

	Request granitehoist.RequestID `json:"request"`
	// Attempts lists the attempts that may have run; Tokens is the sum of their costs.
	Attempts []granitehoist.AttemptID `json:"attempts"`
	Budget   granitehoist.BudgetID    `json:"budget"`
	// Owner is the partner whose capacity served the request.
	Owner    granitehoist.Partner  `json:"owner"`
	Service  granitehoist.Service  `json:"service"`
	Upstream granitehoist.Upstream `json:"upstream"`
	Tokens   granitehoist.Tokens   `json:"tokens"`
	// Estimated is set if the upstream reported no usage of an attempt and the attempt's
	// maximum cost was charged.
	Estimated bool `json:"estimated,omitempty"`
	// Orphan is set if another router made the charge from the upstream's record of
	// an attempt whose incarnation crashed. Such a charge has no Seq, and is ignored
	// if the store also holds the incarnation's own charge for the attempt.
	Orphan bool `json:"orphan,omitempty"`
	// At is the time of the charge.
	At time.Time `json:"at"`
}

// Batch holds consecutive charges of one incarnation, oldest first.
type Batch struct {
	Charges []Charge `json:"charges"`
}

// MethodCollect is the method by which a router sends CollectParams to a collector; the
// result is a CollectResult.
const MethodCollect = "bill.collect"

// CollectParams is a Batch as encoded between routers.
type CollectParams = pack.Message[Batch]

// CollectResult confirms that a batch is in the store; Segment is the segment's key.
type CollectResult struct {
	Segment string `json:"segment"`
}
