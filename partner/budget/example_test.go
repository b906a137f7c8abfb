// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget_test

import (
	"context"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/budget"
	"granitehoist.example/granitehoist/standin"
)

// ExampleLedger waits for tokens, receives a grant and settles the reservation at the
// actual use.
func ExampleLedger() {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	id := granitehoist.NewBudgetID("tuul", "kiosk", "season")
	allocator := budget.NewAllocator(budget.AllocatorSettings{
		Region: "tuul",
		Store:  standin.NewStore(standin.StoreSettings{}),
		Prepaid: func(granitehoist.BudgetID) (granitehoist.Tokens, granitehoist.Serial, bool) {
			return 1000, 1, true
		},
	})
	ledger := budget.NewLedger(budget.LedgerSettings{Incarnation: "box-1"})

	fmt.Println("held at first:", ledger.Reserve(id, 300))
	waiter := ledger.Wait(id, 300, now)
	reports, _ := ledger.Reports(now)
	result, err := allocator.Sync(context.Background(), 0, budget.SyncParams{Incarnation: "box-1", Reports: reports}, now)
	if err != nil {
		fmt.Println(err)
		return
	}
	ledger.Apply(reports, result.Replies, now)
	fmt.Println("granted:", ledger.EndWait(id, waiter, now) == budget.Granted)
	ledger.Settle(id, 300, 120, now)
	fmt.Println("spent:", ledger.State(id, now).Totals.Spent)
	// Output:
	// held at first: false
	// granted: true
	// spent: 120
}
